/** The operators' own settings: an INI file, all of it optional. */
import { parse } from "ini";
import * as z from "zod";
import { type AdmissionSettings, decodeAdmission } from "../admission/index.js";
import { flag } from "./ini-values.js";

const ratio = (d: number, min: number, max: number) =>
  z.coerce.number().min(min).max(max).default(d);

const schema = {
  term: z.object({
    /** Length of the term's lease, as a ratio to the workers' report interval. */
    lease_ratio: ratio(0.5, 0.2, 10),
    /** How long a leader that lost the state service answers reports, as a ratio to lease_s. */
    grace_ratio: ratio(1, 0, 4),
    /**
     * How long a node that is cut off keeps machines with replicas or gangs alive, as a ratio to
     * lease_s. It is no shorter than the grace.
     */
    keep_ratio: ratio(6, 0, 50),
  }),
  renting: z.object({
    /** Free room kept for each class of jobs, as a ratio to what it uses. */
    spare_ratio: ratio(1, 0, 10),
    /** Machines at the most. */
    max_machines: z.coerce.number().int().min(1).max(100_000).default(100_000),
    /** Idle machines beyond the spare room go back after this many worker leases. */
    idle_leases: ratio(20, 1, 1000),
  }),
  api: z.object({
    /** Requests in progress at the most, whatever the measured times. */
    max_in_progress: z.coerce.number().int().min(4).max(100_000).default(400),
  }),
  tracing: z.object({
    /** Spans of jobs, for programs that registered a provider of OpenTelemetry. */
    enabled: flag.default(false),
  }),
} as const;

export interface Operator {
  readonly termLeaseRatio: number;
  readonly graceRatio: number;
  readonly keepRatio: number;
  readonly spareRatio: number;
  readonly maxMachines: number;
  readonly idleLeases: number;
  readonly maxInProgress: number;
  readonly admission: AdmissionSettings;
  readonly tracing: boolean;
}

/** Faults stop the program; unknown keys are only reported. */
export function decodeOperator(text: string): {
  operator: Operator | null;
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
    if (!(key in schema) && key !== "admission") unknown.push(key);
  }
  const term = read("term", schema.term);
  const renting = read("renting", schema.renting);
  const api = read("api", schema.api);
  const tracing = read("tracing", schema.tracing);
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
      keepRatio: Math.max(term.keep_ratio, term.grace_ratio),
      spareRatio: renting.spare_ratio,
      maxMachines: renting.max_machines,
      idleLeases: renting.idle_leases,
      maxInProgress: api.max_in_progress,
      admission: admission.settings,
      tracing: tracing.enabled,
    },
    faults,
    unknown,
  };
}

export const DEFAULT_OPERATOR: Operator = decodeOperator("").operator!;
