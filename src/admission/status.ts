/** What is in force, for operators: the window, what each class was granted and has used, and what was refused. */
import { isLimiting, OTHER_CLASSES } from "./decision.js";
import { type AdmissionWindow, type Grant, type Lane, UNLIMITED, WHOLE_SHARE } from "./model.js";
import type { AdmissionReplica } from "./replica.js";

/** One class of a team, in one lane; shares are parts of the cluster's dominant resource. */
export interface ClassStatus {
  readonly team: string;
  /** Null: the classes that the window does not name. */
  readonly class: string | null;
  readonly lane: Lane;
  /** Null: nothing limits it. */
  readonly granted: number | null;
  readonly used: number;
  /** Jobs refused, as far as it is stored. */
  readonly refusedJobs: number;
}

export interface AdmissionStatus {
  /** Null: there never was a window. */
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
  const named = new Set(
    window.grants.filter((g) => g.team === grant.team && g.class !== null).map((g) => g.class),
  );
  let jobs = 0;
  for (const record of replica.allRejections()) {
    if (record.window !== window.version) continue;
    for (const refused of record.classes) {
      const isOther = grant.class === null && !named.has(refused.class);
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
    ? window.grants.flatMap((g) => LANES.map((lane) => classStatusOf(replica, window, g, lane)))
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

/** A table for a terminal: those of which most was refused first. */
export function formatStatus(status: AdmissionStatus): string {
  if (status.window === null) return "no window: admission was never limited\n";
  const mode = status.limited ? "limited" : "open";
  const periods = status.periods.length > 0 ? `, ${status.periods.join(", ")}` : "";
  const head = `window ${status.window}, ${mode}, term ${status.epoch}${periods}`;
  const rows = [...status.classes]
    .filter((c) => c.lane === "new" || c.used > 0 || c.refusedJobs > 0)
    .sort((a, b) => b.refusedJobs - a.refusedJobs)
    .map((c) => [
      c.team,
      c.class ?? "(others)",
      c.lane,
      formatShare(c.granted),
      formatShare(c.used),
      String(c.refusedJobs),
    ]);
  if (rows.length === 0) return `${head}\n`;
  const table = [["team", "class", "lane", "granted", "used", "refused"], ...rows];
  const widths = table[0]!.map((_, column) => Math.max(...table.map((r) => r[column]!.length)));
  const lines = table.map((r) =>
    r
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join("  ")
      .trimEnd(),
  );
  return `${[head, ...lines].join("\n")}\n`;
}
