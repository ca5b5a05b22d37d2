/** Client of the cloud API: the catalog of machine types, the list of machines, scale-out and scale-in. */
import type { ScaleOutResult } from "../core/effects.js";
import type { ListedMachine, MachineType } from "../core/model/machines.js";
import { HttpConnectionPool, type HttpResponse } from "../net/http-connection-pool.js";
import {
  decodeCatalog,
  decodeMachineList,
  decodeProvisionedMachines,
  encodeRelease,
  encodeScaleOut,
  type ScaleOutRequest,
} from "../wire/cloud.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";

const MAX_CONNECTIONS = 8;
const MACHINES_PER_PAGE = 500;

/** Sends requests to the cloud. If the cloud does not answer, the methods return a failure and do not reject. */
export class CloudClient {
  private readonly connections: HttpConnectionPool;

  constructor(
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.connections = new HttpConnectionPool(address, MAX_CONNECTIONS);
  }

  /** Fetches the machine types that the cloud offers; null if that failed. */
  async fetchCatalog(): Promise<MachineType[] | null> {
    const response = await this.call("GET", PATH.catalog);
    return response?.status === 200 ? decodeCatalog(decode(response.body)) : null;
  }

  /** Fetches all pages of the list of machines; null if one of them failed. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let since = "";
    for (;;) {
      const path = `${PATH.machines}?since=${since}&most=${MACHINES_PER_PAGE}`;
      const response = await this.call("GET", path);
      if (response?.status !== 200) return null;
      const page = decodeMachineList(decode(response.body));
      if (page === null) return null;
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) return machines;
      since = last.name;
    }
  }

  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const response = await this.call("POST", PATH.machines, encodeScaleOut(request));
    if (response === null) return { kind: "failed" };
    if (response.status === 200) {
      const machines = decodeProvisionedMachines(decode(response.body));
      return machines === null ? { kind: "failed" } : { kind: "provisioned", machines };
    }
    if (response.status === 503) {
      const body = decode(response.body) as { error?: string } | null;
      return { kind: body?.error === "no capacity" ? "no capacity" : "failed" };
    }
    return { kind: response.status === 400 ? "no capacity" : "failed" };
  }

  /** Releases machines. False if the cloud did not confirm the release; it may have released them all the same. */
  async releaseMachines(machines: readonly string[]): Promise<boolean> {
    const response = await this.call("POST", PATH.releaseMachines, encodeRelease(machines));
    return response?.status === 200;
  }

  /** Sends a request; null if there was no response. */
  private async call(method: string, path: string, body?: unknown): Promise<HttpResponse | null> {
    try {
      const bytes = body === undefined ? null : encode(body);
      return await this.connections.request(method, path, bytes, this.timeoutMs);
    } catch {
      return null;
    }
  }
}
