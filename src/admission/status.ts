/** Output of `peatsaddle admission`: the window, and the granted, used and rejected work of each class. */
import { isLimiting, OTHER_CLASSES } from "./decision.js";
import { type AdmissionWindow, type Grant, type Lane, UNLIMITED, WHOLE_SHARE } from "./model.js";
import type { AdmissionReplica } from "./replica.js";

/**
 * The status of one class of a team in one lane, printed as JSON under these field names. `granted` and `used` are
 * dominant shares: fractions of the cluster's capacity for the resource of which the work needs the largest fraction.
 */
export interface ClassStatus {
  readonly team: string;
  /** Null in the one entry that stands for all classes of the team without a grant of their own. */
  readonly class: string | null;
  readonly lane: Lane;
  /** Granted share, or null if it is unlimited. */
  readonly granted: number | null;
  readonly used: number;
  /** Number of jobs rejected in the window, according to the stored rejection records. */
  readonly refusedJobs: number;
}

/** The stored admission state, printed as JSON under these field names. */
export interface AdmissionStatus {
  /** Version of the newest window, or null if none was ever stored. */
  readonly window: number | null;
  /** Whether the window is in force and limits admission. If not, `classes` is empty. */
  readonly limited: boolean;
  /** Current leadership epoch. */
  readonly epoch: number;
  /** Names of the weight calendar's periods that were active when the leader computed the window. */
  readonly periods: readonly string[];
  readonly classes: readonly ClassStatus[];
}

const LANES: readonly Lane[] = ["new", "follower"];

function grantedShare(units: number): number | null {
  // Half of `UNLIMITED` is 45 million times the cluster's capacity. No limited grant is expected to be as large.
  return units >= UNLIMITED / 2 ? null : units / WHOLE_SHARE;
}

function countRefusedJobs(
  replica: AdmissionReplica,
  window: AdmissionWindow,
  grant: Grant,
  lane: Lane,
): number {
  const namedClasses = new Set(
    window.grants
      .filter((other) => other.team === grant.team && other.class !== null)
      .map((other) => other.class),
  );
  let jobs = 0;
  for (const record of replica.allRejections()) {
    if (record.window !== window.version) continue;
    for (const refused of record.classes) {
      // The grant is the team's grant for other classes, and the class has no grant of its own.
      const isCoveredByGrantForOthers = grant.class === null && !namedClasses.has(refused.class);
      const isSameTeamAndLane = refused.team === grant.team && refused.lane === lane;
      if (isSameTeamAndLane && (refused.class === grant.class || isCoveredByGrantForOthers))
        jobs += refused.jobs;
    }
  }
  return jobs;
}

function classStatusOf(
  replica: AdmissionReplica,
  window: AdmissionWindow,
  grant: Grant,
  lane: Lane,
): ClassStatus {
  const ledger = replica.ledgerOf(grant.team);
  const usedByClass = ledger?.window === window.version ? ledger.used : undefined;
  const used = usedByClass?.get(grant.class ?? OTHER_CLASSES)?.[lane] ?? 0;
  return {
    team: grant.team,
    class: grant.class,
    lane,
    granted: grantedShare(grant.lanes[lane]),
    used: used / WHOLE_SHARE,
    refusedJobs: countRefusedJobs(replica, window, grant, lane),
  };
}

/** Returns the status of the admission state that a replica holds. */
export function admissionStatus(replica: AdmissionReplica): AdmissionStatus {
  const window = replica.window?.value ?? null;
  const limited = isLimiting(window, replica.epoch);
  const classes = limited
    ? window.grants.flatMap((grant) =>
        LANES.map((lane) => classStatusOf(replica, window, grant, lane)),
      )
    : [];
  return {
    window: window?.version ?? null,
    limited,
    epoch: replica.epoch,
    periods: window?.periods ?? [],
    classes,
  };
}

const formatShare = (share: number | null): string =>
  share === null ? "unlimited" : `${(100 * share).toFixed(2)}%`;

/**
 * Returns the cells of the table without its header, classes with the most rejected jobs first. Rows of the lane
 * `follower` without use or rejections are left out.
 */
function tableRows(classes: readonly ClassStatus[]): string[][] {
  return classes
    .filter(({ lane, used, refusedJobs }) => lane === "new" || used > 0 || refusedJobs > 0)
    .sort((left, right) => right.refusedJobs - left.refusedJobs)
    .map((status) => [
      status.team,
      status.class ?? "(others)",
      status.lane,
      formatShare(status.granted),
      formatShare(status.used),
      String(status.refusedJobs),
    ]);
}

/** Formats the rows with left-aligned columns. */
function formatTable(table: readonly (readonly string[])[]): string[] {
  const widths = table[0]!.map((_, column) => Math.max(...table.map((row) => row[column]!.length)));
  return table.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join("  ")
      .trimEnd(),
  );
}

/** Formats the status as text for a terminal. */
export function formatStatus(status: AdmissionStatus): string {
  if (status.window === null) return "no window: admission was never limited\n";
  const mode = status.limited ? "limited" : "open";
  const periods = status.periods.length > 0 ? `, ${status.periods.join(", ")}` : "";
  const head = `window ${status.window}, ${mode}, term ${status.epoch}${periods}`;
  const rows = tableRows(status.classes);
  if (rows.length === 0) return `${head}\n`;
  const table = formatTable([["team", "class", "lane", "granted", "used", "refused"], ...rows]);
  return `${[head, ...table].join("\n")}\n`;
}
