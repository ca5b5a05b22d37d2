/** The operators' own settings: an INI file, all of it optional. */
import { parse } from "ini";
import * as z from "zod";
import { type AdmissionSettings, decodeAdmission } from "../admission/index.js";
import { iniBoolean } from "./ini-values.js";

const ratioSchema = (d: number, min: number, max: number) =>
  z.coerce.number().min(min).max(max).default(d);

const sectionSchemas = {
  term: z.object({
    /** Length of the term's lease, as a ratio to the workers' report interval. */
    lease_ratio: ratioSchema(0.5, 0.2, 10),
    /** How long a leader that lost the state service answers reports, as a ratio to lease_s. */
    grace_ratio: ratioSchema(1, 0, 4),
    /**
     * How long a node that is cut off keeps machines with replicas or gangs alive, as a ratio to
     * lease_s. It is no shorter than the grace.
     */
    keep_ratio: ratioSchema(6, 0, 50),
  }),
  renting: z.object({
    /** Free room kept for each class of jobs, as a ratio to what it uses. */
    spare_ratio: ratioSchema(1, 0, 10),
    /** Machines at the most. */
    max_machines: z.coerce.number().int().min(1).max(100_000).default(100_000),
    /** Idle machines beyond the spare room go back after this many worker leases. */
    idle_leases: ratioSchema(20, 1, 1000),
  }),
  api: z.object({
    /** Requests in progress at the most, whatever the measured times. */
    max_in_progress: z.coerce.number().int().min(4).max(100_000).default(400),
  }),
  tracing: z.object({
    /** Spans of jobs, for programs that registered a provider of OpenTelemetry. */
    enabled: iniBoolean.default(false),
  }),
} as const;

export interface OperatorSettings {
  readonly termLeaseRatio: number;
  readonly graceRatio: number;
  readonly extensionRatio: number;
  readonly spareCapacityRatio: number;
  readonly maxMachines: number;
  readonly maxIdleLeases: number;
  readonly maxConcurrentRequests: number;
  readonly admission: AdmissionSettings;
  readonly tracingEnabled: boolean;
}

/** Faults stop the program; unknown keys are only reported. */
export function decodeOperatorSettings(text: string): {
  operator: OperatorSettings | null;
  faults: string[];
  unknown: string[];
} {
  const raw = parse(text) as Record<string, unknown>;
  const faults: string[] = [];
  const unknown: string[] = [];
  const read = <S extends z.ZodObject>(section: string, s: S): z.infer<S> | null => {
    const given = raw[section] ?? {};
    if (typeof given !== "object" || given === null) {
      faults.push(`${section}: not a section`);
      return null;
    }
    for (const key of Object.keys(given)) {
      if (!(key in s.shape)) unknown.push(`${section}.${key}`);
    }
    const r = s.safeParse(given);
    if (r.success) return r.data;
    for (const i of r.error.issues) faults.push(`${section}.${i.path.join(".")}: ${i.message}`);
    return null;
  };
  for (const key of Object.keys(raw)) {
    if (!(key in sectionSchemas) && key !== "admission") unknown.push(key);
  }
  const term = read("term", sectionSchemas.term);
  const renting = read("renting", sectionSchemas.renting);
  const api = read("api", sectionSchemas.api);
  const tracing = read("tracing", sectionSchemas.tracing);
  const admission = decodeAdmission(raw.admission);
  faults.push(...admission.faults);
  unknown.push(...admission.unknown);
  if (
    term === null ||
    renting === null ||
    api === null ||
    tracing === null ||
    admission.settings === null
  ) {
    return { operator: null, faults, unknown };
  }
  return {
    operator: {
      termLeaseRatio: term.lease_ratio,
      graceRatio: term.grace_ratio,
      extensionRatio: Math.max(term.keep_ratio, term.grace_ratio),
      spareCapacityRatio: renting.spare_ratio,
      maxMachines: renting.max_machines,
      maxIdleLeases: renting.idle_leases,
      maxConcurrentRequests: api.max_in_progress,
      admission: admission.settings,
      tracingEnabled: tracing.enabled,
    },
    faults,
    unknown,
  };
}

export const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = decodeOperatorSettings("").operator!;
