/** Operator settings, read from an INI file. All of them are optional. */
import { parse } from "ini";
import * as z from "zod";
import { type AdmissionSettings, decodeAdmission } from "../admission/index.js";
import { iniBoolean } from "./ini-values.js";

const ratioSchema = (defaultValue: number, min: number, max: number) =>
  z.coerce.number().min(min).max(max).default(defaultValue);

const sectionSchemas = {
  term: z.object({
    /** Length of the leadership lease, as a multiple of the heartbeat interval. */
    lease_ratio: ratioSchema(0.5, 0.2, 10),
    /**
     * Grace period in which a leader that cannot reach the state service answers heartbeats, as a multiple of the
     * worker lease. `nodeTiming` sets a lower bound for it.
     */
    grace_ratio: ratioSchema(1, 0, 4),
    /**
     * Lease extension: time for which a partitioned node keeps extending the leases of machines that run service or
     * gang tasks, as a multiple of the worker lease. If grace_ratio is larger, its value is used instead.
     */
    keep_ratio: ratioSchema(6, 0, 50),
  }),
  renting: z.object({
    /** Spare capacity for each class of jobs, as a multiple of the capacity that the class uses. */
    spare_ratio: ratioSchema(1, 0, 10),
    /** Maximum number of machines. */
    max_machines: z.coerce.number().int().min(1).max(100_000).default(100_000),
    /** Idle time, as a multiple of the worker lease, after which a machine beyond the spare capacity is released. */
    idle_leases: ratioSchema(20, 1, 1000),
  }),
  api: z.object({
    /**
     * Upper limit on concurrent queries, and also on concurrent submissions and cancellations, regardless of the
     * measured durations.
     */
    max_in_progress: z.coerce.number().int().min(4).max(100_000).default(400),
  }),
  tracing: z.object({
    /** Whether to emit spans for jobs. Embedding programs must register an OpenTelemetry provider. */
    enabled: iniBoolean.default(false),
  }),
} as const;

/** Operator settings. The schemas above document their meaning. */
export interface OperatorSettings {
  readonly termLeaseRatio: number;
  readonly graceRatio: number;
  readonly extensionRatio: number;
  readonly spareCapacityRatio: number;
  readonly maxMachines: number;
  /** Number of worker leases for which a machine may be idle before it is released. */
  readonly maxIdleLeases: number;
  readonly maxConcurrentRequests: number;
  readonly admission: AdmissionSettings;
  readonly tracingEnabled: boolean;
}

/** Result of decoding the operators' settings file. */
export interface DecodedOperatorSettings {
  /** Null if there are faults. */
  readonly operator: OperatorSettings | null;
  /** One line per invalid value, beginning with its key. The program does not start if there are any. */
  readonly faults: readonly string[];
  /** Keys that this version does not recognise. They are reported and ignored. */
  readonly unknown: readonly string[];
}

/** Decodes the text of the INI file. Settings that are left out have their defaults. */
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

/** Decodes all sections except `admission`. Returns null if any of them is invalid. */
function decodeSections(raw: Record<string, unknown>, problems: Problems): Sections | null {
  const term = decodeSection("term", sectionSchemas.term, raw, problems);
  const renting = decodeSection("renting", sectionSchemas.renting, raw, problems);
  const api = decodeSection("api", sectionSchemas.api, raw, problems);
  const tracing = decodeSection("tracing", sectionSchemas.tracing, raw, problems);
  if (term === null || renting === null || api === null || tracing === null) return null;
  return { term, renting, api, tracing };
}

/** Decodes one section. Returns null if it is invalid, and adds its faults and unknown keys to the given lists. */
function decodeSection<S extends z.ZodObject>(
  name: string,
  schema: S,
  raw: Record<string, unknown>,
  { faults, unknown }: Problems,
): z.infer<S> | null {
  const section = raw[name] ?? {};
  if (typeof section !== "object" || section === null) {
    faults.push(`${name}: not a section`);
    return null;
  }
  for (const key of Object.keys(section)) {
    if (!(key in schema.shape)) unknown.push(`${name}.${key}`);
  }
  const parsed = schema.safeParse(section);
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

/** Settings in force without an operators' file. */
export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = decodeOperatorSettings("").operator!;
