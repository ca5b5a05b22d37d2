/**
 * Stored formats of windows, ledgers and rejection records, and the keys under which they are stored. The one-letter
 * field names are part of the stored format. A value in any other format decodes to null.
 */
import * as z from "zod";
import type {
  AdmissionWindow,
  Grant,
  RefusedClass,
  RejectionRecord,
  ResourceVector,
  TeamLedger,
} from "./model.js";

/** Prefix of all keys of admission control. */
const KEY_PREFIX = "a/";
const LEDGER_PREFIX = `${KEY_PREFIX}t/`;
const REJECTIONS_PREFIX = `${KEY_PREFIX}r/`;

/** Keys of the window, of the ledger of each team and of the rejection record of each controller. */
export const ADMISSION_KEY = {
  window: `${KEY_PREFIX}w`,
  ledger: (team: string) => `${LEDGER_PREFIX}${encodeURIComponent(team)}`,
  rejections: (member: string) => `${REJECTIONS_PREFIX}${encodeURIComponent(member)}`,
} as const;

/** A decoded key of admission control. */
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

/** Decodes a key. Returns null if it is not a key of admission control. */
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

function encodeResources({ cpus, gpus, memoryGb }: ResourceVector): [number, number, number] {
  return [cpus, gpus, memoryGb];
}

const grantSchema = z
  .tuple([z.string(), z.string().nullable(), countSchema, countSchema])
  .transform(
    ([team, className, newUnits, followerUnits]): Grant => ({
      team,
      class: className,
      lanes: { new: newUnits, follower: followerUnits },
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
    (stored): AdmissionWindow => ({
      version: stored.n,
      epoch: stored.e,
      mode: stored.m,
      capacity: stored.c,
      grants: stored.g,
      periods: stored.p,
    }),
  );

/** Returns the stored form of a window. */
export function encodeWindow(window: AdmissionWindow) {
  return {
    n: window.version,
    e: window.epoch,
    m: window.mode,
    c: encodeResources(window.capacity),
    g: window.grants.map(({ team, class: className, lanes }) => [
      team,
      className,
      lanes.new,
      lanes.follower,
    ]),
    p: [...window.periods],
  };
}

/** Decodes a stored window. Returns null if the value has another format. */
export function decodeWindow(value: unknown): AdmissionWindow | null {
  return windowSchema.safeParse(value).data ?? null;
}

const ledgerSchema = z
  .object({ w: countSchema, u: z.array(z.tuple([z.string(), countSchema, countSchema])) })
  .transform(
    (stored): TeamLedger => ({
      window: stored.w,
      used: new Map(
        stored.u.map(([name, newUnits, followerUnits]) => [
          name,
          { new: newUnits, follower: followerUnits },
        ]),
      ),
    }),
  );

/** Returns the stored form of a ledger. */
export function encodeLedger(ledger: TeamLedger) {
  return {
    w: ledger.window,
    u: [...ledger.used].map(([name, used]) => [name, used.new, used.follower]),
  };
}

/** Decodes a stored ledger. Returns null if the value has another format. */
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
    ([team, className, lane, jobs, resources, ids]): RefusedClass => ({
      team,
      class: className,
      lane,
      jobs,
      resources,
      ids,
    }),
  );
const rejectionsSchema = z.object({
  w: countSchema,
  s: countSchema,
  r: z.array(refusedClassSchema),
});

/** Returns the stored form of a rejection record. */
export function encodeRejections(record: RejectionRecord) {
  return {
    w: record.window,
    s: record.sequence,
    r: record.classes.map((refused) => [
      refused.team,
      refused.class,
      refused.lane,
      refused.jobs,
      encodeResources(refused.resources),
      refused.ids,
    ]),
  };
}

/** Decodes the stored rejection record of controller `member`. Returns null if the value has another format. */
export function decodeRejections(member: string, value: unknown): RejectionRecord | null {
  const stored = rejectionsSchema.safeParse(value).data;
  if (stored === undefined) return null;
  return { member, window: stored.w, sequence: stored.s, classes: stored.r };
}
