/** The operators' own settings: an INI file, all of it optional. */
import { parse } from "ini";
import * as z from "zod";
import { type AdmissionSettings, decodeAdmission } from "../admission/index.js";
import { iniBoolean } from "./ini-values.js";

const ratioSchema = (byDefault: number, min: number, max: number) =>
  z.coerce.number().min(min).max(max).default(byDefault);

const sectionSchemas = {
  term: z.object({
    /** Length of the leadership lease, as a ratio to the heartbeat interval. */
    lease_ratio: ratioSchema(0.5, 0.2, 10),
    /** Grace period: how long a leader without the state service answers heartbeats, as a ratio to lease_s. */
    grace_ratio: ratioSchema(1, 0, 4),
    /**
     * Lease extension: how long a partitioned node keeps machines with replicas or gangs alive, as a ratio to lease_s.
     * It is no shorter than the grace period.
     */
    keep_ratio: ratioSchema(6, 0, 50),
  }),
  renting: z.object({
    /** Spare capacity for each class of jobs, as a ratio to what it uses. */
    spare_ratio: ratioSchema(1, 0, 10),
    /** The largest number of machines. */
    max_machines: z.coerce.number().int().min(1).max(100_000).default(100_000),
    /** Idle machines beyond the spare capacity are released after this many worker leases. */
    idle_leases: ratioSchema(20, 1, 1000),
  }),
  api: z.object({
    /** The largest number of concurrent requests, whatever the measured durations. */
    max_in_progress: z.coerce.number().int().min(4).max(100_000).default(400),
  }),
  tracing: z.object({
    /** Spans of jobs, for embedding programs that registered an OpenTelemetry provider. */
    enabled: iniBoolean.default(false),
  }),
} as const;

/** The operators' settings; the sections above say what each means. */
export interface OperatorSettings {
  readonly termLeaseRatio: number;
  readonly graceRatio: number;
  readonly extensionRatio: number;
  readonly spareCapacityRatio: number;
  readonly maxMachines: number;
  /** Worker leases for which a machine may be idle before it is released. */
  readonly maxIdleLeases: number;
  readonly maxConcurrentRequests: number;
  readonly admission: AdmissionSettings;
  readonly tracingEnabled: boolean;
}

/** What was read of the operators' file. */
export interface DecodedOperatorSettings {
  /** Null if there are faults. */
  readonly operator: OperatorSettings | null;
  /** One line for each value that is not allowed, beginning with its key. They stop the program. */
  readonly faults: readonly string[];
  /** Keys that this version does not know. They are only reported. */
  readonly unknown: readonly string[];
}

/** Decodes the text of the INI file; what is left out has its default. */
export function decodeOperatorSettings(text: string): DecodedOperatorSettings {
  const raw = parse(text) as Record<string, unknown>;
  const problems: Problems = { faults: [], unknown: [] };
  problems.unknown.push(...unknownSections(raw));
  const sections = decodeSections(raw, problems);
  const admission = decodeAdmission(raw.admission);
  problems.faults.push(...admission.faults);
  problems.unknown.push(...admission.unknown);
  const operator =
    sections === null || admission.settings === null
      ? null
      : toOperatorSettings(sections, admission.settings);
  return { operator, ...problems };
}

interface Problems {
  readonly faults: string[];
  readonly unknown: string[];
}

const unknownSections = (raw: Record<string, unknown>): string[] =>
  Object.keys(raw).filter((key) => !(key in sectionSchemas) && key !== "admission");

type Sections = {
  readonly [K in keyof typeof sectionSchemas]: z.infer<(typeof sectionSchemas)[K]>;
};

/** All sections but `admission`, or null if one of them has a fault. */
function decodeSections(raw: Record<string, unknown>, problems: Problems): Sections | null {
  const term = decodeSection("term", sectionSchemas.term, raw, problems);
  const renting = decodeSection("renting", sectionSchemas.renting, raw, problems);
  const api = decodeSection("api", sectionSchemas.api, raw, problems);
  const tracing = decodeSection("tracing", sectionSchemas.tracing, raw, problems);
  if (term === null || renting === null || api === null || tracing === null) return null;
  return { term, renting, api, tracing };
}

/** One section; null, and its problems noted, if it has a fault. */
function decodeSection<S extends z.ZodObject>(
  name: string,
  schema: S,
  raw: Record<string, unknown>,
  { faults, unknown }: Problems,
): z.infer<S> | null {
  const given = raw[name] ?? {};
  if (typeof given !== "object" || given === null) {
    faults.push(`${name}: not a section`);
    return null;
  }
  for (const key of Object.keys(given)) {
    if (!(key in schema.shape)) unknown.push(`${name}.${key}`);
  }
  const parsed = schema.safeParse(given);
  if (parsed.success) return parsed.data;
  for (const issue of parsed.error.issues) {
    faults.push(`${name}.${issue.path.join(".")}: ${issue.message}`);
  }
  return null;
}

const toOperatorSettings = (
  { term, renting, api, tracing }: Sections,
  admission: AdmissionSettings,
): OperatorSettings => ({
  termLeaseRatio: term.lease_ratio,
  graceRatio: term.grace_ratio,
  extensionRatio: Math.max(term.keep_ratio, term.grace_ratio),
  spareCapacityRatio: renting.spare_ratio,
  maxMachines: renting.max_machines,
  maxIdleLeases: renting.idle_leases,
  maxConcurrentRequests: api.max_in_progress,
  admission,
  tracingEnabled: tracing.enabled,
});

/** What is in force without an operators' file. */
export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = decodeOperatorSettings("").operator!;
