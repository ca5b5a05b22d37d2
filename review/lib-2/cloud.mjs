/** A stand-in for the cloud: a catalog, a list of machines with a delay, and returns. It has no further capacity. */
import { now, startServer } from "./wire.mjs";

/** "When a machine dies, it is listed as `running` for about 30 s more." */
const DEAD_LISTED_AS_RUNNING_S = 30;

export class Cloud {
  constructor({ breeds, listLagS }) {
    this.breeds = breeds;
    this.listLagS = listLagS;
    /** Workers by the name of their machine. */
    this.workers = new Map();
    this.snapshots = [];
    this.onReturn = () => {};
  }

  async start(port) {
    this.server = await startServer(port, (...request) => this.handle(...request));
    this.timer = setInterval(() => this.takeSnapshot(), 250);
    this.takeSnapshot();
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  takeSnapshot() {
    const at = now();
    const mounts = [...this.workers.values()].map((worker) => ({
      nameId: worker.name,
      address: worker.address,
      breed: worker.breed,
      paddock: worker.paddock,
      loaners: false,
      stance: at - (worker.diedAt ?? at) > DEAD_LISTED_AS_RUNNING_S ? "failed" : "running",
      ageS: at - worker.rentedAt,
    }));
    this.snapshots.push({ at, mounts });
    if (this.snapshots.length > 400) this.snapshots.shift();
  }

  handle(method, { pathname, searchParams }, body) {
    if (pathname === "/catalog") return { status: 200, body: { breeds: this.breeds } };
    if (pathname === "/machines/return") {
      for (const name of body.mounts) this.remove(name);
      return { status: 200, body: {} };
    }
    if (pathname === "/machines" && method === "GET") {
      const since = searchParams.get("since") ?? "";
      const at = now() - this.listLagS;
      const known = this.snapshots.filter((snapshot) => snapshot.at <= at).at(-1) ?? this.snapshots[0];
      const mounts = known.mounts.filter(({ nameId }) => nameId > since);
      return { status: 200, body: { mounts, more: false } };
    }
    return { status: 503, body: { error: "no capacity" } };
  }

  /** A machine stops by itself, with all that is on it. It stays listed until it is returned. */
  die(name) {
    const worker = this.workers.get(name);
    worker.diedAt = now();
    worker.stop("machine stopped");
  }

  remove(name) {
    const worker = this.workers.get(name);
    if (worker === undefined) return;
    this.workers.delete(name);
    worker.stop("machine returned");
    this.onReturn(name);
  }
}
