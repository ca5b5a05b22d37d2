/**
 * Decides whether a job is admitted: a pure function of the admission window, the team's ledger and the job.
 *
 * A class may submit a job of any size as long as part of its grant is unused (as in surplus round robin). It
 * therefore exceeds its grant by less than one job, and the excess counts against it in later windows as unfinished
 * work. This way a class whose smallest job is larger than its share does not starve.
 *
 * Within a window, ledgers only grow, so the verdict on a job can only change from admission to rejection. Each
 * admission is a transaction that has the ledger as a precondition, so all controllers reach the same decision on a
 * job.
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

/** Ledger entry to which all classes without a grant of their own are charged. No class can have this name. */
export const OTHER_CLASSES = "";

/** Returns whether the window is in force in this epoch and limits admission. */
export function isLimiting(
  window: AdmissionWindow | null,
  epoch: number,
): window is AdmissionWindow {
  return window !== null && window.mode === "limited" && window.epoch === epoch;
}

/**
 * Returns the grant that applies to a class of a team: its own grant or else the grant for the team's other classes.
 * Returns null if the window has neither.
 */
export function grantFor(window: AdmissionWindow, team: string, className: string): Grant | null {
  let grantForOthers: Grant | null = null;
  for (const grant of window.grants) {
    if (grant.team !== team) continue;
    if (grant.class === className) return grant;
    if (grant.class === null) grantForOthers = grant;
  }
  return grantForOthers;
}

/**
 * Returns the dominant share of `resources`: the largest ratio of `resources` to `capacity` over all resource types,
 * in the units of `WHOLE_SHARE`, rounded up.
 */
export function dominantShare(resources: ResourceVector, capacity: ResourceVector): number {
  let maxShare = 0;
  for (const resource of RESOURCES) {
    if (resources[resource] <= 0) continue;
    // Any demand for a resource that the cluster does not have counts as the whole capacity.
    const share = capacity[resource] > 0 ? resources[resource] / capacity[resource] : 1;
    maxShare = Math.max(maxShare, share);
  }
  return Math.min(Number.MAX_SAFE_INTEGER, Math.ceil(WHOLE_SHARE * maxShare));
}

/** Returns the name of the entry in the team's ledger that the job is charged to. */
export function chargedClass(window: AdmissionWindow, job: JobSpec): string {
  return grantFor(window, job.team, job.class)?.class ?? OTHER_CLASSES;
}

/** Returns the ledger if it belongs to this window, otherwise null: a ledger of an earlier window counts as empty. */
function currentLedger(window: AdmissionWindow, ledger: TeamLedger | null): TeamLedger | null {
  return ledger !== null && ledger.window === window.version ? ledger : null;
}

/**
 * Returns the verdict on one job.
 *
 * @param window - the newest window, or null if none was ever stored
 * @param epoch - the current leadership epoch; a window of another epoch limits nothing
 * @param ledger - the admissions charged to the job's team, or null if there are none yet
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

/** Returns the team's ledger with `claim` more units charged to it for the job. */
export function charge(
  window: AdmissionWindow,
  ledger: TeamLedger | null,
  job: JobSpec,
  claim: number,
): TeamLedger {
  const current = currentLedger(window, ledger);
  const used = new Map(current?.used ?? []);
  const className = chargedClass(window, job);
  const previous = used.get(className) ?? { new: 0, follower: 0 };
  const lane = laneOf(job);
  const total = Math.min(Number.MAX_SAFE_INTEGER, previous[lane] + claim);
  used.set(className, { ...previous, [lane]: total });
  return { window: window.version, used };
}
