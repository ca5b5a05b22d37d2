/**
 * The decision on one job: a pure function of the window, the team's ledger and the job.
 *
 * A class is admitted a job as long as anything of its grant is left, however large the job (surplus round robin): the
 * excess is at most one job, and counts against the class in later windows, as its unfinished work does. So a class
 * whose smallest job is larger than its share is not shut out.
 *
 * The verdict on a job can only turn from admission to rejection within a window, since ledgers only grow. Together
 * with writes that are conditional on the ledger this makes the decision on a job the same at every controller.
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

/** A class that the window does not name is charged under this name, which no class has. */
export const OTHER_CLASSES = "";

/** Is the window in force under this term, and does it limit anything? */
export function isLimiting(
  window: AdmissionWindow | null,
  epoch: number,
): window is AdmissionWindow {
  return window !== null && window.mode === "limited" && window.epoch === epoch;
}

/** The grant that a class of a team falls under; null: the window knows nothing of the team. */
export function grantFor(window: AdmissionWindow, team: string, className: string): Grant | null {
  let others: Grant | null = null;
  for (const grant of window.grants) {
    if (grant.team !== team) continue;
    if (grant.class === className) return grant;
    if (grant.class === null) others = grant;
  }
  return others;
}

/** The largest share of any resource that these amounts are of the capacity, in units of `WHOLE`, rounded up. */
export function dominantShare(amounts: ResourceVector, capacity: ResourceVector): number {
  let most = 0;
  for (const resource of RESOURCES) {
    if (amounts[resource] <= 0) continue;
    // Of a resource that there is nothing of, anything is all of it.
    const share = capacity[resource] > 0 ? amounts[resource] / capacity[resource] : 1;
    most = Math.max(most, share);
  }
  return Math.min(Number.MAX_SAFE_INTEGER, Math.ceil(WHOLE_SHARE * most));
}

/** The name under which a job is charged in its team's ledger. */
export function chargedClass(window: AdmissionWindow, job: JobSpec): string {
  return grantFor(window, job.team, job.class)?.class ?? OTHER_CLASSES;
}

export function decide(
  window: AdmissionWindow | null,
  epoch: number,
  ledger: TeamLedger | null,
  job: JobSpec,
): Verdict {
  if (!isLimiting(window, epoch)) return { admitted: true, reason: "open", claim: 0 };
  const lane = laneOf(job);
  const granted = grantFor(window, job.team, job.class)?.lanes[lane] ?? 0;
  const current = ledger !== null && ledger.window === window.version ? ledger : null;
  const used = current?.used.get(chargedClass(window, job))?.[lane] ?? 0;
  if (used >= granted) return { admitted: false, reason: "share used", claim: 0 };
  const claim = Math.max(1, dominantShare(resourcesOf(job, job.tasks), window.capacity));
  return { admitted: true, reason: "within share", claim };
}

/** The team's ledger once the job is charged to it. */
export function charge(
  window: AdmissionWindow,
  ledger: TeamLedger | null,
  job: JobSpec,
  claim: number,
): TeamLedger {
  const current = ledger !== null && ledger.window === window.version ? ledger : null;
  const used = new Map(current?.used ?? []);
  const name = chargedClass(window, job);
  const before = used.get(name) ?? { new: 0, follower: 0 };
  const lane = laneOf(job);
  const sum = Math.min(Number.MAX_SAFE_INTEGER, before[lane] + claim);
  used.set(name, { ...before, [lane]: sum });
  return { window: window.version, used };
}
