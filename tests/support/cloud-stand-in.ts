/** A stand-in for the cloud provider, whose machines are worker stand-ins in this process. */
import type { ListedMachine, MachineType } from "../../src/core/model/machines.js";
import { decodeRelease, encodeCatalog, encodeMachineList } from "../../src/wire/inverse-codecs.js";
import { PATH } from "../../src/wire/names.js";
import { type StandInResponse, StandInServer, UNAVAILABLE } from "./stand-in-server.js";
import type { WorkerStandIn } from "./worker-stand-in.js";

const ONLY_TYPE: MachineType = {
  name: "small",
  cpus: 4,
  gpus: 0,
  memoryGb: 32,
  cacheGb: 40,
  fetchGbPerS: 10,
  price: 0.2,
  spotPrice: 0.1,
  bootS: 15,
  zones: ["a", "b"],
};

/**
 * Lists and releases the workers that a test adds. It provisions none: each such request is answered "no capacity".
 */
export class CloudStandIn {
  readonly workers = new Map<string, WorkerStandIn>();
  /** Whether requests for the machine type catalog are answered with 503. */
  isCatalogUnavailable = false;
  private readonly server = new StandInServer((...request) => this.handle(...request));

  get address(): string {
    return this.server.address;
  }

  start(): Promise<void> {
    return this.server.start();
  }

  /** Stops the server and all workers. */
  stop(): void {
    for (const worker of this.workers.values()) worker.stop();
    this.server.stop();
  }

  private handle(method: string, { pathname }: URL, body: unknown): StandInResponse {
    if (pathname === PATH.catalog) {
      if (this.isCatalogUnavailable) return UNAVAILABLE;
      return { status: 200, body: encodeCatalog([ONLY_TYPE]) };
    }
    if (pathname === PATH.releaseMachines) {
      for (const name of decodeRelease(body)) this.release(name);
      return { status: 200, body: {} };
    }
    if (pathname === PATH.machines && method === "GET") {
      return { status: 200, body: encodeMachineList(this.listMachines(), false) };
    }
    return { status: 503, body: { error: "no capacity" } };
  }

  private release(name: string): void {
    this.workers.get(name)?.stop();
    this.workers.delete(name);
  }

  private listMachines(): ListedMachine[] {
    return [...this.workers.values()].map(({ name, address, zone }) => ({
      name,
      address,
      type: ONLY_TYPE.name,
      zone,
      spot: false,
      state: "running",
      ageS: performance.now() / 1000,
    }));
  }
}
