/**
 * A stand-in for the cloud, after PROTOCOL "Controller nodes -> cloud": a catalog, rentals by name within a capacity,
 * returns, and a list that is `list_lag_s` late. `createWorker(name, breed, zone, spot)` makes the worker of a machine.
 */
import { Bucket, serve, sleep } from "./wire.mjs";

export class Cloud {
  constructor({ rps, list_lag_s }, { catalog, capacity, createWorker, record, latencyMs = 200 }) {
    Object.assign(this, { list_lag_s, catalog, capacity, createWorker, record, latencyMs });
    this.requests = new Bucket(rps, 2);
    this.machines = new Map();
    this.rentals = new Map();
    this.nextNumber = 1;
  }

  async start() {
    this.server = await serve((...request) => this.answer(...request));
    this.address = this.server.address;
  }

  stop() {
    for (const { worker } of this.machines.values()) worker?.stop("end of the test");
    this.server.close();
  }

  /** Rents a machine that is up after `bootS`. Resolves once its worker is made, which is at once if bootS is 0. */
  async rent(sku, zone, spot, bootS) {
    const name = `m-${String(this.nextNumber++).padStart(6, "0")}`;
    const breed = this.catalog.find((type) => type.sku === sku);
    const machine = { name, breed, zone, spot, rentedAt: performance.now(), upAt: Infinity, goneAt: Infinity };
    this.machines.set(name, machine);
    const boot = async () => {
      if (machine.goneAt < Infinity) return;
      machine.worker = this.createWorker(name, breed, zone, spot);
      await machine.worker.start();
      machine.upAt = performance.now();
      this.record("machine up", { machine: name, breed: sku, zone });
    };
    if (bootS === 0) await boot();
    else setTimeout(() => void boot(), 1000 * bootS);
    return machine;
  }

  async answer(method, { pathname, searchParams }, body) {
    if (!this.requests.take(1)) return { status: 429, body: {} };
    await sleep(this.latencyMs);
    if (pathname === "/catalog") return { status: 200, body: { breeds: this.catalog } };
    if (pathname === "/machines" && method === "GET") return this.list(searchParams);
    if (pathname === "/machines") return this.hire(body);
    if (pathname === "/machines/return") return this.giveBack(body);
    return { status: 400, body: {} };
  }

  async hire({ hire, breed, paddock, loaners, howMany }) {
    if (this.rentals.has(hire)) return { status: 200, body: { mounts: this.rentals.get(hire) } };
    const key = `${breed} ${paddock} ${loaners ? "spot" : "ordinary"}`;
    const count = Math.min(howMany, this.capacity[key] ?? 0);
    if (count === 0) return { status: 503, body: { error: "no capacity" } };
    this.capacity[key] -= count;
    const { readyS } = this.catalog.find((type) => type.sku === breed);
    const mounts = [];
    for (let i = 0; i < count; i++) mounts.push((await this.rent(breed, paddock, loaners, 0.7 * readyS)).name);
    this.rentals.set(hire, mounts);
    this.record("machines rented", { hire, breed, paddock, loaners, mounts });
    return { status: 200, body: { mounts } };
  }

  giveBack({ mounts }) {
    for (const name of mounts) {
      const machine = this.machines.get(name);
      if (machine === undefined || machine.goneAt < Infinity) continue;
      machine.goneAt = performance.now();
      machine.worker?.stop("returned");
      this.record("machine returned", { machine: name });
    }
    return { status: 200, body: {} };
  }

  list(query) {
    const at = performance.now() - 1000 * this.list_lag_s;
    const since = query.get("since") ?? "";
    const most = Math.min(500, Number(query.get("most")) || 500);
    const listed = [...this.machines.values()].filter(
      ({ name, rentedAt, goneAt }) => name > since && rentedAt <= at && goneAt > at,
    );
    const mounts = listed.slice(0, most).map((machine) => ({
      nameId: machine.name,
      address: machine.worker?.address ?? "",
      breed: machine.breed.sku, paddock: machine.zone, loaners: machine.spot,
      stance: this.stanceAt(machine, at), ageS: (at - machine.rentedAt) / 1000,
    }));
    return { status: 200, body: { mounts, more: listed.length > most } };
  }

  /** A machine that died is listed as running for about 30 s more. */
  stanceAt({ upAt, diedAt = Infinity }, at) {
    if (at < upAt) return "booting";
    return at > diedAt + 30_000 ? "failed" : "running";
  }
}
