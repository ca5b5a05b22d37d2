/** Status for operators (`peatsaddle admission`): the window, and of each class what was granted, used and rejected. */
import { isLimiting, OTHER_CLASSES } from "./decision.js";
import { type AdmissionWindow, type Grant, type Lane, UNLIMITED, WHOLE_SHARE } from "./model.js";
import type { AdmissionReplica } from "./replica.js";

/**
 * One class of a team in one lane; printed as JSON as it is. Shares are ratios to the capacity of the cluster's dominant
 * resource.
 */
export interface ClassStatus {
  readonly team: string;
  /** Null: all classes that the window does not name. */
  readonly class: string | null;
  readonly lane: Lane;
  /** Null: unlimited. */
  readonly granted: number | null;
  readonly used: number;
  /** Number of jobs rejected, as far as it is stored. */
  readonly refusedJobs: number;
}

/** The admission state as it is stored; printed as JSON as it is. */
export interface AdmissionStatus {
  /** Version of the window; null: there never was one. */
  readonly window: number | null;
  readonly limited: boolean;
  readonly epoch: number;
  readonly periods: readonly string[];
  readonly classes: readonly ClassStatus[];
}

const LANES: readonly Lane[] = ["new", "follower"];

function grantedShare(units: number): number | null {
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
      const isOther = grant.class === null && !namedClasses.has(refused.class);
      const matches = refused.team === grant.team && refused.lane === lane;
      if (matches && (refused.class === grant.class || isOther)) jobs += refused.jobs;
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
  const charged = ledger?.window === window.version ? ledger.used : undefined;
  const used = charged?.get(grant.class ?? OTHER_CLASSES)?.[lane] ?? 0;
  return {
    team: grant.team,
    class: grant.class,
    lane,
    granted: grantedShare(grant.lanes[lane]),
    used: used / WHOLE_SHARE,
    refusedJobs: countRefusedJobs(replica, window, grant, lane),
  };
}

/** The admission state of a replica. */
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

/** Cells of the table, without its header: the classes with the most rejected jobs first. */
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

/** Aligns the cells of each column to the left. */
function formatTable(table: readonly (readonly string[])[]): string[] {
  const widths = table[0]!.map((_, column) => Math.max(...table.map((row) => row[column]!.length)));
  return table.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join("  ")
      .trimEnd(),
  );
}

/** The status as text for a terminal. */
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
