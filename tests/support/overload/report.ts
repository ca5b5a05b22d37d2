/** The report of an overload run, and the checks that it must pass. */
import assert from "node:assert/strict";
import { START_LATENCY_BOUND_S } from "../../../src/core/model/constants.js";
import { type ClassLoad, TASK_S, TOTAL_CPUS, USER_TIMEOUT_S } from "./workload.js";

/** Counters of one job class. */
export interface ClassCounters {
  submitted: number;
  accepted: number;
  givenUp: number;
  longestAdmissionS: number;
  /** Number of completed tasks in each interval of `INTERVAL_S`. */
  readonly tasksDone: number[];
}

/** Counters and CPU usage of one job class. */
export interface ClassReport extends ClassCounters {
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
  load: ClassLoad,
  counters: ClassCounters,
  seconds: number,
  isDisturbed: (interval: number) => boolean,
): ClassReport {
  const cpusByInterval = counters.tasksDone.map((tasks) => (tasks * TASK_S) / INTERVAL_S);
  const completeIntervals = cpusByInterval.slice(1, Math.floor(seconds / INTERVAL_S));
  const undisturbedIntervals = completeIntervals.filter((_, index) => !isDisturbed(index + 1));
  return {
    ...counters,
    cpus: cpusByInterval.reduce((sum, used) => sum + used, 0) / cpusByInterval.length,
    leastCpus: undisturbedIntervals.length === 0 ? null : Math.min(...undisturbedIntervals),
    guaranteed: load.guaranteedCpus,
  };
}

/**
 * Checks the results that must hold on hardware of any speed: the CPU usage of a class is compared with the total CPU
 * usage, and not with the capacity.
 */
export function assertOverloadReport(report: OverloadReport): void {
  assert.deepEqual(report.faults, []);
  assert.ok(
    report.identicalDecisions > report.seconds,
    "too few admission decisions were compared",
  );
  assert.ok(report.decisions.rejected > 0 && report.windows > 3, "the cluster was not overloaded");
  const totalCpus = Object.values(report.classes).reduce((sum, { cpus }) => sum + cpus, 0);
  for (const [name, classReport] of Object.entries(report.classes)) {
    const guaranteedCpus = (classReport.guaranteed / TOTAL_CPUS) * totalCpus;
    assert.ok(
      classReport.cpus >= 0.8 * guaranteedCpus,
      `${name}: ${classReport.cpus} of ${guaranteedCpus} CPUs`,
    );
    assert.ok(classReport.accepted > 0, `no job of ${name} was accepted`);
    // Every job must start within START_LATENCY_BOUND_S. In a shorter run, a gang that needs half of the CPUs may not
    // have started yet.
    const hasStarted =
      report.seconds < START_LATENCY_BOUND_S || classReport.cpus > 0.01 * totalCpus;
    assert.ok(hasStarted, `${name} was starved: ${classReport.cpus} CPUs`);
    const { longestAdmissionS } = classReport;
    assert.ok(
      longestAdmissionS <= USER_TIMEOUT_S,
      `${name}: ${longestAdmissionS} s until a job was accepted`,
    );
  }
}
