/** How windows, ledgers and rejections are stored. Values that do not have these forms are ignored. */
import * as z from "zod";
import type {
  AdmissionWindow,
  Amounts,
  Grant,
  RefusedClass,
  RejectionRecord,
  TeamLedger,
} from "./model.js";

/** All keys of admission control begin so. */
const PREFIX = "a/";
const LEDGER_PREFIX = `${PREFIX}t/`;
const REJECTIONS_PREFIX = `${PREFIX}r/`;

export const ADMISSION_KEY = {
  window: `${PREFIX}w`,
  ledger: (team: string) => `${LEDGER_PREFIX}${encodeURIComponent(team)}`,
  rejections: (member: string) => `${REJECTIONS_PREFIX}${encodeURIComponent(member)}`,
} as const;

export type AdmissionKey =
  | { readonly kind: "window" }
  | { readonly kind: "ledger"; readonly team: string }
  | { readonly kind: "rejections"; readonly member: string };

function decoded(text: string): string | null {
  try {
    return decodeURIComponent(text);
  } catch {
    return null;
  }
}

/** What a key holds; null: nothing of admission control. */
export function parseKey(key: string): AdmissionKey | null {
  if (key === ADMISSION_KEY.window) return { kind: "window" };
  if (key.startsWith(LEDGER_PREFIX)) {
    const team = decoded(key.slice(LEDGER_PREFIX.length));
    return team === null ? null : { kind: "ledger", team };
  }
  if (key.startsWith(REJECTIONS_PREFIX)) {
    const member = decoded(key.slice(REJECTIONS_PREFIX.length));
    return member === null ? null : { kind: "rejections", member };
  }
  return null;
}

const count = z.number().int().nonnegative();
const amount = z.number().nonnegative();
const amounts = z
  .tuple([amount, amount, amount])
  .transform(([cpus, gpus, memoryGb]): Amounts => ({ cpus, gpus, memoryGb }));
const toAmounts = (a: Amounts): [number, number, number] => [a.cpus, a.gpus, a.memoryGb];

const grant = z.tuple([z.string(), z.string().nullable(), count, count]).transform(
  ([team, className, fresh, follower]): Grant => ({
    team,
    class: className,
    lanes: { new: fresh, follower },
  }),
);

const windowIn = z
  .object({
    n: count,
    e: count,
    m: z.enum(["open", "limited"]),
    c: amounts,
    g: z.array(grant),
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
    c: toAmounts(w.capacity),
    g: w.grants.map((g) => [g.team, g.class, g.lanes.new, g.lanes.follower]),
    p: [...w.periods],
  };
}

export function decodeWindow(value: unknown): AdmissionWindow | null {
  return windowIn.safeParse(value).data ?? null;
}

const ledgerIn = z.object({ w: count, u: z.array(z.tuple([z.string(), count, count])) }).transform(
  (l): TeamLedger => ({
    window: l.w,
    used: new Map(l.u.map(([name, fresh, follower]) => [name, { new: fresh, follower }])),
  }),
);

export function encodeLedger(l: TeamLedger) {
  return { w: l.window, u: [...l.used].map(([name, used]) => [name, used.new, used.follower]) };
}

export function decodeLedger(value: unknown): TeamLedger | null {
  return ledgerIn.safeParse(value).data ?? null;
}

const refusedClass = z
  .tuple([z.string(), z.string(), z.enum(["new", "follower"]), count, amounts, z.array(z.string())])
  .transform(
    ([team, className, lane, jobs, of, ids]): RefusedClass => ({
      team,
      class: className,
      lane,
      jobs,
      amounts: of,
      ids,
    }),
  );
const rejectionsIn = z.object({ w: count, s: count, r: z.array(refusedClass) });

export function encodeRejections(record: RejectionRecord) {
  return {
    w: record.window,
    s: record.sequence,
    r: record.classes.map((c) => [c.team, c.class, c.lane, c.jobs, toAmounts(c.amounts), c.ids]),
  };
}

export function decodeRejections(member: string, value: unknown): RejectionRecord | null {
  const read = rejectionsIn.safeParse(value).data;
  if (read === undefined) return null;
  return { member, window: read.w, sequence: read.s, classes: read.r };
}
