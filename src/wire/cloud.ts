/** Codecs of the cloud API: the catalog of machine types, the list of machines, provisioning and release. */
import * as z from "zod";
import type { ListedMachine, MachineType } from "../core/model/machines.js";
import { decodeList, isObject, nonNegativeNumber } from "./fields.js";

/** Rate at which images are pulled, in GB per second, on machine types whose catalog entry has none. */
const DEFAULT_FETCH_GB_PER_S = 1;

const machineTypeSchema = z
  .object({
    sku: z.string(),
    cpus: nonNegativeNumber,
    cards: nonNegativeNumber.nullish(),
    memoryGb: nonNegativeNumber,
    localGb: nonNegativeNumber.nullish(),
    fetchGbPerS: nonNegativeNumber.nullish(),
    hourly: nonNegativeNumber,
    spotPrice: nonNegativeNumber.nullish(),
    readyS: nonNegativeNumber,
    paddocks: z.array(z.string()),
  })
  .transform(
    (type): MachineType => ({
      name: type.sku,
      cpus: type.cpus,
      gpus: type.cards ?? 0,
      memoryGb: type.memoryGb,
      cacheGb: type.localGb ?? 0,
      fetchGbPerS: type.fetchGbPerS ?? DEFAULT_FETCH_GB_PER_S,
      price: type.hourly,
      spotPrice: type.spotPrice ?? type.hourly,
      bootS: type.readyS,
      zones: type.paddocks,
    }),
  );

const catalogSchema = z.object({ breeds: z.array(machineTypeSchema) });

/** Decodes the machine types that the cloud offers; null if the body is malformed. */
export function decodeCatalog(body: unknown): MachineType[] | null {
  const parsed = catalogSchema.safeParse(body);
  return parsed.success ? parsed.data.breeds : null;
}

const machineListSchema = z.object({ mounts: z.array(z.unknown()), more: z.boolean().nullish() });
const LISTED_STATES = new Set<unknown>(["booting", "running", "failed"]);

/**
 * Validates an entry field by field instead of with a schema, because lists of hundreds of machines arrive every few
 * seconds.
 */
function decodeListedMachine(entry: unknown): ListedMachine | null {
  if (!isObject(entry)) return null;
  const { nameId, address, breed, paddock, loaners, stance, ageS } = entry;
  if (typeof nameId !== "string" || typeof breed !== "string" || typeof paddock !== "string") {
    return null;
  }
  if (typeof loaners !== "boolean" || typeof ageS !== "number") return null;
  if (!LISTED_STATES.has(stance)) return null;
  return {
    name: nameId,
    address: typeof address === "string" ? address : "",
    type: breed,
    zone: paddock,
    spot: loaners,
    state: stance as ListedMachine["state"],
    ageS,
  };
}

/** One page of the list of machines. */
export interface MachineListPage {
  readonly machines: readonly ListedMachine[];
  /** True if another page follows. */
  readonly more: boolean;
}

/** Decodes a page of the list of machines; null if the body is malformed. */
export function decodeMachineList(body: unknown): MachineListPage | null {
  const parsed = machineListSchema.safeParse(body);
  if (!parsed.success) return null;
  const machines = decodeList(parsed.data.mounts, decodeListedMachine);
  return machines === null ? null : { machines, more: parsed.data.more ?? false };
}

const provisionedSchema = z.object({ mounts: z.array(z.string()) });

/** Decodes the names of the machines that a scale-out provisioned; null if the body is malformed. */
export function decodeProvisionedMachines(body: unknown): string[] | null {
  const parsed = provisionedSchema.safeParse(body);
  return parsed.success ? parsed.data.mounts : null;
}

/** A request to provision machines. */
export interface ScaleOutRequest {
  /** Idempotency key of the request: the cloud answers a repeated request with the same machines. */
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Encodes a request to provision machines. */
export const encodeScaleOut = ({ name, type, zone, spot, count }: ScaleOutRequest) => ({
  hire: name,
  breed: type,
  paddock: zone,
  loaners: spot,
  howMany: count,
});

/** Encodes a request to release machines. */
export const encodeRelease = (machines: readonly string[]) => ({ mounts: machines });
