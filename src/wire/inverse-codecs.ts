/**
 * The inverses of the controller's codecs: they encode what the controller decodes, and decode what it encodes. Only
 * the tests use them, where they stand in for users, workers, the state service and the cloud.
 */
import type { JobSpec } from "../core/model/jobs.js";
import type { ListedMachine, MachineType } from "../core/model/machines.js";
import type { Change, ChangeEvent, KeyValueItem, Precondition } from "../core/state/key-value.js";
import { WIRE_KIND, WIRE_PRIORITY } from "./names.js";

/** Encodes a submission, as users do. */
export const encodeJob = (spec: JobSpec): Record<string, unknown> => ({
  nameId: spec.id,
  herd: spec.class,
  outfit: spec.team,
  gait: WIRE_KIND[spec.kind],
  rank: WIRE_PRIORITY[spec.priority],
  strides: spec.tasks,
  cpus: spec.cpus,
  cards: spec.gpus,
  memoryGb: spec.memoryGb,
  tack: spec.image,
  pullGb: spec.imageGb,
  breeds: spec.types,
  paddock: spec.zone,
  together: spec.oneZone,
  apart: spec.spread,
  loaners: spec.spot,
  rideS: spec.estimateS,
  restS: spec.checkpointS,
  unsaddleS: spec.saveS,
  dueS: spec.deadlineS,
  ...(spec.after === undefined ? {} : { follows: spec.after }),
});

/** Decodes the state of a job from a response to a user; undefined if the response contains none. */
export function decodeJobState(body: unknown): string | undefined {
  return (body as { stance?: string } | null)?.stance;
}

/** Decodes the leader's member name from a redirect; null if the reply names no leader. */
export function decodeRedirect(body: unknown): string | null {
  return (body as { groom?: string } | null)?.groom ?? null;
}

interface WireTransaction {
  readonly if?: readonly { readonly k: string; readonly mark: number }[];
  readonly then?: readonly {
    readonly write?: string;
    readonly remove?: string;
    readonly data?: unknown;
    readonly tether?: number | null;
  }[];
}

/** A compare-and-swap of the state service. */
export interface Transaction {
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

/** Decodes a transaction, as the state service does. Changes that neither write nor remove a key are ignored. */
export function decodeTransaction(body: unknown): Transaction {
  const { if: conditions = [], then: writes = [] } = body as WireTransaction;
  const changes: Change[] = [];
  for (const { write, remove, data, tether } of writes) {
    const lease = tether === undefined || tether === null ? {} : { lease: tether };
    if (typeof write === "string") changes.push({ op: "put", key: write, value: data, ...lease });
    else if (typeof remove === "string") changes.push({ op: "delete", key: remove });
  }
  const preconditions = conditions.map(({ k, mark }) => ({ key: k, modRevision: mark }));
  return { preconditions, changes };
}

/** Encodes the response to a transaction. `failedKeys`: keys whose preconditions did not hold; empty if committed. */
export const encodeTransactionResult = (
  revision: number,
  failedKeys: readonly string[],
): Record<string, unknown> =>
  failedKeys.length === 0 ? { ledger: revision } : { failed: failedKeys, ledger: revision };

/** Encodes one page of stored keys with their values. */
export const encodeRange = (
  items: readonly KeyValueItem[],
  hasMore: boolean,
  revision: number,
): Record<string, unknown> => ({
  items: items.map(({ key, value, modRevision }) => ({ k: key, data: value, mark: modRevision })),
  more: hasMore,
  ledger: revision,
});

/** Encodes the response to a watch: changes in the order of their revisions. */
export const encodeWatchResponse = (
  events: readonly ChangeEvent[],
  revision: number,
): Record<string, unknown> => ({
  ledger: revision,
  log: events.map(({ key, value, removed, modRevision }) =>
    removed ? { remove: key, mark: modRevision } : { write: key, data: value, mark: modRevision },
  ),
});

/** Encodes the response to a granted lease. */
export const encodeLease = (id: number): Record<string, unknown> => ({ tether: id });

/** Encodes the catalog of machine types. */
export const encodeCatalog = (types: readonly MachineType[]): Record<string, unknown> => ({
  breeds: types.map((type) => ({
    sku: type.name,
    cpus: type.cpus,
    cards: type.gpus,
    memoryGb: type.memoryGb,
    localGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    hourly: type.price,
    spotPrice: type.spotPrice,
    readyS: type.bootS,
    paddocks: type.zones,
  })),
});

/** Encodes a page of the list of machines. */
export const encodeMachineList = (
  machines: readonly ListedMachine[],
  hasMore: boolean,
): Record<string, unknown> => ({
  mounts: machines.map((machine) => ({
    nameId: machine.name,
    address: machine.address,
    breed: machine.type,
    paddock: machine.zone,
    loaners: machine.spot,
    stance: machine.state,
    ageS: machine.ageS,
  })),
  more: hasMore,
});

/** Decodes the names of the machines that a request releases. */
export function decodeRelease(body: unknown): readonly string[] {
  return (body as { mounts: readonly string[] }).mounts;
}
