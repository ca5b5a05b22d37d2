/** How windows, ledgers and rejections are stored. Values that do not have these forms are ignored. */
import * as z from "zod";
import type {
  AdmissionWindow,
  Grant,
  RefusedClass,
  RejectionRecord,
  ResourceVector,
  TeamLedger,
} from "./model.js";

/** All keys of admission control begin so. */
const KEY_PREFIX = "a/";
const LEDGER_PREFIX = `${KEY_PREFIX}t/`;
const REJECTIONS_PREFIX = `${KEY_PREFIX}r/`;

export const ADMISSION_KEY = {
  window: `${KEY_PREFIX}w`,
  ledger: (team: string) => `${LEDGER_PREFIX}${encodeURIComponent(team)}`,
  rejections: (member: string) => `${REJECTIONS_PREFIX}${encodeURIComponent(member)}`,
} as const;

export type AdmissionKey =
  | { readonly kind: "window" }
  | { readonly kind: "ledger"; readonly team: string }
  | { readonly kind: "rejections"; readonly member: string };

function tryDecodeUriComponent(text: string): string | null {
  try {
    return decodeURIComponent(text);
  } catch {
    return null;
  }
}

/** What a key holds; null: nothing of admission control. */
export function parseAdmissionKey(key: string): AdmissionKey | null {
  if (key === ADMISSION_KEY.window) return { kind: "window" };
  if (key.startsWith(LEDGER_PREFIX)) {
    const team = tryDecodeUriComponent(key.slice(LEDGER_PREFIX.length));
    return team === null ? null : { kind: "ledger", team };
  }
  if (key.startsWith(REJECTIONS_PREFIX)) {
    const member = tryDecodeUriComponent(key.slice(REJECTIONS_PREFIX.length));
    return member === null ? null : { kind: "rejections", member };
  }
  return null;
}

const countSchema = z.number().int().nonnegative();
const amountSchema = z.number().nonnegative();
const resourcesSchema = z
  .tuple([amountSchema, amountSchema, amountSchema])
  .transform(([cpus, gpus, memoryGb]): ResourceVector => ({ cpus, gpus, memoryGb }));
const encodeResources = (a: ResourceVector): [number, number, number] => [
  a.cpus,
  a.gpus,
  a.memoryGb,
];

const grantSchema = z
  .tuple([z.string(), z.string().nullable(), countSchema, countSchema])
  .transform(
    ([team, className, fresh, follower]): Grant => ({
      team,
      class: className,
      lanes: { new: fresh, follower },
    }),
  );

const windowSchema = z
  .object({
    n: countSchema,
    e: countSchema,
    m: z.enum(["open", "limited"]),
    c: resourcesSchema,
    g: z.array(grantSchema),
    p: z.array(z.string()),
  })
  .transform(
    (w): AdmissionWindow => ({
      version: w.n,
      epoch: w.e,
      mode: w.m,
      capacity: w.c,
      grants: w.g,
      periods: w.p,
    }),
  );

export function encodeWindow(w: AdmissionWindow) {
  return {
    n: w.version,
    e: w.epoch,
    m: w.mode,
    c: encodeResources(w.capacity),
    g: w.grants.map((g) => [g.team, g.class, g.lanes.new, g.lanes.follower]),
    p: [...w.periods],
  };
}

export function decodeWindow(value: unknown): AdmissionWindow | null {
  return windowSchema.safeParse(value).data ?? null;
}

const ledgerSchema = z
  .object({ w: countSchema, u: z.array(z.tuple([z.string(), countSchema, countSchema])) })
  .transform(
    (l): TeamLedger => ({
      window: l.w,
      used: new Map(l.u.map(([name, fresh, follower]) => [name, { new: fresh, follower }])),
    }),
  );

export function encodeLedger(l: TeamLedger) {
  return { w: l.window, u: [...l.used].map(([name, used]) => [name, used.new, used.follower]) };
}

export function decodeLedger(value: unknown): TeamLedger | null {
  return ledgerSchema.safeParse(value).data ?? null;
}

const refusedClassSchema = z
  .tuple([
    z.string(),
    z.string(),
    z.enum(["new", "follower"]),
    countSchema,
    resourcesSchema,
    z.array(z.string()),
  ])
  .transform(
    ([team, className, lane, jobs, of, ids]): RefusedClass => ({
      team,
      class: className,
      lane,
      jobs,
      resources: of,
      ids,
    }),
  );
const rejectionsSchema = z.object({
  w: countSchema,
  s: countSchema,
  r: z.array(refusedClassSchema),
});

export function encodeRejections(record: RejectionRecord) {
  return {
    w: record.window,
    s: record.sequence,
    r: record.classes.map((c) => [
      c.team,
      c.class,
      c.lane,
      c.jobs,
      encodeResources(c.resources),
      c.ids,
    ]),
  };
}

export function decodeRejections(member: string, value: unknown): RejectionRecord | null {
  const read = rejectionsSchema.safeParse(value).data;
  if (read === undefined) return null;
  return { member, window: read.w, sequence: read.s, classes: read.r };
}
