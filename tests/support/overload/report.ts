/** The report of an overload run, and the checks that it must pass. */
import assert from "node:assert/strict";
import { START_BOUND_S } from "../../../src/core/model/constants.js";
import { CPUS, type Load, PATIENCE_S, TASK_S } from "./workload.js";

/** Counters of one job class. */
export interface ClassFigures {
  submitted: number;
  accepted: number;
  givenUp: number;
  longestAdmissionS: number;
  /** Number of completed tasks in each interval of `INTERVAL_S`. */
  readonly tasksDone: number[];
}

/** Counters and CPU usage of one job class. */
export interface ClassReport extends ClassFigures {
  /** Average number of CPUs in use. */
  readonly cpus: number;
  /** CPUs in use in the worst undisturbed interval; null if there was none. */
  readonly leastCpus: number | null;
  readonly guaranteed: number;
}

/** The measurements, as `npm run overload` prints them. */
export interface OverloadReport {
  readonly seconds: number;
  /** Number of revisions for which all controllers that read them logged identical admission decisions. */
  readonly identicalDecisions: number;
  readonly decisions: { admitted: number; rejected: number };
  readonly windows: number;
  readonly writesPerSecond: number;
  readonly answerMs: { p50: number; p99: number; max: number };
  readonly classes: Record<string, ClassReport>;
  readonly faults: readonly string[];
}

/** Length in seconds of the intervals by which completed tasks are counted. */
export const INTERVAL_S = 10;

/** Returns the report of one class. Intervals for which `isDisturbed` is true count for the average only. */
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

/**
 * Checks the results that must hold on hardware of any speed: the CPU usage of a class is compared with the total CPU
 * usage, and not with the capacity.
 */
export function assertFair(report: OverloadReport): void {
  assert.deepEqual(report.faults, []);
  assert.ok(
    report.identicalDecisions > report.seconds,
    "too few admission decisions were compared",
  );
  assert.ok(report.decisions.rejected > 0 && report.windows > 3, "the cluster was not overloaded");
  const used = Object.values(report.classes).reduce((sum, { cpus }) => sum + cpus, 0);
  for (const [name, figures] of Object.entries(report.classes)) {
    const guaranteed = (figures.guaranteed / CPUS) * used;
    assert.ok(figures.cpus >= 0.8 * guaranteed, `${name}: ${figures.cpus} of ${guaranteed} CPUs`);
    assert.ok(figures.accepted > 0, `no job of ${name} was accepted`);
    // Every job must start within START_BOUND_S. In a shorter run a gang of half the cluster need not have started.
    const hasRun = report.seconds < START_BOUND_S || figures.cpus > 0.01 * used;
    assert.ok(hasRun, `${name} was starved: ${figures.cpus} CPUs`);
    const { longestAdmissionS } = figures;
    assert.ok(
      longestAdmissionS <= PATIENCE_S,
      `${name}: ${longestAdmissionS} s until a job was accepted`,
    );
  }
}
