/**
 * The decision on one job: a pure function of the window, the team's ledger and the job.
 *
 * A class may submit a job while any of its grant is left, however large the job (surplus round robin). It exceeds its
 * grant by less than one job, and the excess counts against it in later windows as unfinished work. So a class whose
 * smallest job is larger than its share does not starve.
 *
 * Within a window ledgers only grow, so the verdict on a job can only turn from admission to rejection. Since each
 * admission is a transaction with the ledger among its preconditions, all controllers decide alike on a job.
 */
import type { JobSpec } from "../core/model/jobs.js";
import {
  type AdmissionWindow,
  type Grant,
  laneOf,
  RESOURCES,
  type ResourceVector,
  resourcesOf,
  type TeamLedger,
  type Verdict,
  WHOLE_SHARE,
} from "./model.js";

/** Ledger entry that all classes are charged to which the window does not name; no class has this name. */
export const OTHER_CLASSES = "";

/** Is the window in force in this epoch, and does it limit admission? */
export function isLimiting(
  window: AdmissionWindow | null,
  epoch: number,
): window is AdmissionWindow {
  return window !== null && window.mode === "limited" && window.epoch === epoch;
}

/** The grant that applies to a class of a team; null: the window grants the team nothing. */
export function grantFor(window: AdmissionWindow, team: string, className: string): Grant | null {
  let others: Grant | null = null;
  for (const grant of window.grants) {
    if (grant.team !== team) continue;
    if (grant.class === className) return grant;
    if (grant.class === null) others = grant;
  }
  return others;
}

/**
 * The dominant share: the largest ratio of `resources` to `capacity` over all kinds of resources, as a number of units of
 * which the whole capacity is `WHOLE_SHARE`; rounded up.
 */
export function dominantShare(resources: ResourceVector, capacity: ResourceVector): number {
  let most = 0;
  for (const resource of RESOURCES) {
    if (resources[resource] <= 0) continue;
    // Of a resource that the cluster does not have, any demand counts as the whole.
    const share = capacity[resource] > 0 ? resources[resource] / capacity[resource] : 1;
    most = Math.max(most, share);
  }
  return Math.min(Number.MAX_SAFE_INTEGER, Math.ceil(WHOLE_SHARE * most));
}

/** The name under which a job is charged in its team's ledger. */
export function chargedClass(window: AdmissionWindow, job: JobSpec): string {
  return grantFor(window, job.team, job.class)?.class ?? OTHER_CLASSES;
}

/** The ledger if it belongs to this window; a ledger of an earlier window counts as empty. */
function currentLedger(window: AdmissionWindow, ledger: TeamLedger | null): TeamLedger | null {
  return ledger !== null && ledger.window === window.version ? ledger : null;
}

/**
 * The verdict on one job.
 *
 * @param window - the newest window; null: there never was one
 * @param epoch - current epoch of the leadership; a window of another epoch limits nothing
 * @param ledger - what the job's team was admitted; null: nothing yet
 */
export function decide(
  window: AdmissionWindow | null,
  epoch: number,
  ledger: TeamLedger | null,
  job: JobSpec,
): Verdict {
  if (!isLimiting(window, epoch)) return { admitted: true, reason: "open", claim: 0 };
  const lane = laneOf(job);
  const granted = grantFor(window, job.team, job.class)?.lanes[lane] ?? 0;
  const current = currentLedger(window, ledger);
  const used = current?.used.get(chargedClass(window, job))?.[lane] ?? 0;
  if (used >= granted) return { admitted: false, reason: "share used", claim: 0 };
  const claim = Math.max(1, dominantShare(resourcesOf(job, job.tasks), window.capacity));
  return { admitted: true, reason: "within share", claim };
}

/** The team's ledger after `claim` units were charged to it for the job. */
export function charge(
  window: AdmissionWindow,
  ledger: TeamLedger | null,
  job: JobSpec,
  claim: number,
): TeamLedger {
  const current = currentLedger(window, ledger);
  const used = new Map(current?.used ?? []);
  const className = chargedClass(window, job);
  const before = used.get(className) ?? { new: 0, follower: 0 };
  const lane = laneOf(job);
  const sum = Math.min(Number.MAX_SAFE_INTEGER, before[lane] + claim);
  used.set(className, { ...before, [lane]: sum });
  return { window: window.version, used };
}
