/** What an overload run measured, and what must hold of it. */
import assert from "node:assert/strict";
import { START_LATENCY_BOUND_S } from "../../../src/core/model/constants.js";
import { CPUS, type Load, PATIENCE_S, TASK_S } from "./workload.js";

/** Counts of one class. */
export interface ClassFigures {
  submitted: number;
  accepted: number;
  givenUp: number;
  longestAdmissionS: number;
  /** Tasks completed, by interval of `INTERVAL_S`. */
  readonly tasksDone: number[];
}

/** Counts of one class, and what it used. */
export interface ClassReport extends ClassFigures {
  /** CPUs used on average. */
  readonly cpus: number;
  /** CPUs used in the worst interval without a disturbance; null: there was no such interval. */
  readonly leastCpus: number | null;
  readonly guaranteed: number;
}

/** The measurements, as `npm run overload` prints them. */
export interface OverloadReport {
  readonly seconds: number;
  /** Revisions with decisions for which all controllers that read them logged the same lines. */
  readonly identicalDecisions: number;
  readonly decisions: { admitted: number; rejected: number };
  readonly windows: number;
  readonly writesPerSecond: number;
  readonly answerMs: { p50: number; p99: number; max: number };
  readonly classes: Record<string, ClassReport>;
  readonly faults: readonly string[];
}

/** Completed tasks are counted by intervals of this length, in seconds. */
export const INTERVAL_S = 10;

/** The report of one class; `isDisturbed` tells the intervals that count only for the average. */
export function reportClass(
  load: Load,
  figures: ClassFigures,
  seconds: number,
  isDisturbed: (interval: number) => boolean,
): ClassReport {
  const cpus = figures.tasksDone.map((tasks) => (tasks * TASK_S) / INTERVAL_S);
  const completeIntervals = cpus.slice(1, Math.floor(seconds / INTERVAL_S));
  const undisturbed = completeIntervals.filter((_, index) => !isDisturbed(index + 1));
  return {
    ...figures,
    cpus: cpus.reduce((sum, used) => sum + used, 0) / cpus.length,
    leastCpus: undisturbed.length === 0 ? null : Math.min(...undisturbed),
    guaranteed: load.guaranteed,
  };
}

/** What must hold on any machine: shares are compared with the CPUs that were used in total. */
export function assertFair(report: OverloadReport): void {
  assert.deepEqual(report.faults, []);
  assert.ok(report.identicalDecisions > report.seconds, "decisions were compared");
  assert.ok(report.decisions.rejected > 0 && report.windows > 3, "it was overloaded");
  const used = Object.values(report.classes).reduce((sum, { cpus }) => sum + cpus, 0);
  for (const [name, figures] of Object.entries(report.classes)) {
    const guaranteed = (figures.guaranteed / CPUS) * used;
    assert.ok(figures.cpus >= 0.8 * guaranteed, `${name}: ${figures.cpus} of ${guaranteed} CPUs`);
    assert.ok(figures.accepted > 0, `${name} is shut out`);
    // Any job begins within the users' bound; in a shorter run a gang of half the cluster need not have begun.
    const hasRun = report.seconds < START_LATENCY_BOUND_S || figures.cpus > 0.01 * used;
    assert.ok(hasRun, `${name} starves: ${figures.cpus} CPUs`);
    const { longestAdmissionS } = figures;
    assert.ok(longestAdmissionS <= PATIENCE_S, `${name}: ${longestAdmissionS} s`);
  }
}
