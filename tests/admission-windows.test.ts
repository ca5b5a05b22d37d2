/** Sequences of windows: times at which admission is limited and opens, and progress of each class under overload. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobSpec } from "./support/job-builders.js";
import {
  CLUSTER_CPUS,
  type JobSource,
  OverloadSimulation,
  TASK_DURATION_S,
  WINDOW_S,
} from "./support/overload-simulation.js";

type SubmittedJob = OverloadSimulation["jobs"][number];

const isAdmittedAtOnce = (job: SubmittedJob): boolean => job.admittedAt === job.submittedAt;

const SMALL: JobSource = {
  job: jobSpec("small", { team: "guest", class: "small", cpus: 10 }),
  intervalS: 0.25,
};
const HUGE: JobSource = {
  job: jobSpec("huge", { team: "bookings", class: "huge", kind: "gang", tasks: 150 }),
  intervalS: 30,
};

test("without overload no window is written and no job is rejected", () => {
  const overload = new OverloadSimulation([
    { ...SMALL, intervalS: 2 },
    { ...HUGE, intervalS: 60 },
  ]);
  overload.run(0, 300);
  assert.equal(overload.windows.length, 0);
  assert.ok(overload.jobs.every(isAdmittedAtOnce));
});

test("a class of huge jobs and a class of four small jobs per second both make progress within a bound", () => {
  const overload = new OverloadSimulation([SMALL, HUGE]);
  overload.run(0, 600);
  assert.equal(overload.windows.at(-1)?.mode, "limited");
  // With its whole share, the class completes a huge job in 150 * 10 / 50 s, and the next window admits the next job.
  const boundS = (150 * TASK_DURATION_S) / (CLUSTER_CPUS / 2) + 2 * WINDOW_S;
  assert.ok(
    overload.longestWaitS("huge", 600) <= boundS,
    `${overload.longestWaitS("huge", 600)} s of ${boundS} s`,
  );
  // The huge jobs need 50 CPUs, which is the share of their class. The rest is for the small jobs.
  const totalCpuSeconds = 600 * CLUSTER_CPUS;
  assert.ok(overload.usedCpuSeconds("huge") >= 0.4 * totalCpuSeconds);
  assert.ok(overload.usedCpuSeconds("small") >= 0.4 * totalCpuSeconds);
  overload.model.check();
});

test("after the capacity falls by half, the next window has the new capacity and no class starves", () => {
  const overload = new OverloadSimulation([SMALL, HUGE]);
  overload.run(0, 200);
  overload.cpus = CLUSTER_CPUS / 2;
  overload.run(200, 203 + WINDOW_S);
  assert.equal(overload.windows.at(-1)!.capacity.cpus, CLUSTER_CPUS / 2);
  const servedBefore = overload.usedCpuSeconds("huge");
  overload.run(203 + WINDOW_S, 500);
  assert.ok(overload.usedCpuSeconds("huge") - servedBefore >= 0.35 * 297 * overload.cpus);
  overload.model.check();
});

test("admission opens when the flood ends, and no further window is written", () => {
  const overload = new OverloadSimulation([SMALL, HUGE]);
  overload.run(0, 100);
  // The jobs that arrive in 100 s take 500 s to complete.
  const lightLoad = [{ ...SMALL, intervalS: 5 }];
  overload.run(100, 800, lightLoad);
  assert.equal(overload.windows.at(-1)?.mode, "open");
  const windowCount = overload.windows.length;
  overload.run(800, 1000, lightLoad);
  assert.equal(overload.windows.length, windowCount);
  const laterJobs = overload.jobs.filter((job) => job.submittedAt >= 800);
  assert.ok(laterJobs.length > 0 && laterJobs.every(isAdmittedAtOnce));
});
