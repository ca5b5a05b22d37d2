/**
 * Protocol rule `wrong_place`: a task runs only where its job's constraints allow it, given the job's other tasks.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobKind, JobSpec } from "../src/core/model/jobs.js";
import type { StateReplica } from "../src/core/state/state-replica.js";
import { encodeJobRecord } from "../src/core/state/stored-values.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import {
  PLACEMENT_CONSTRAINTS,
  type PlacementConstraint,
  placementViolations,
  withoutConstraint,
} from "./support/placement-checker.js";
import { ProtocolRuleChecker } from "./support/protocol-rule-checker.js";
import { clusterForJob } from "./support/simulated-clusters.js";
import { Simulation } from "./support/simulation.js";
import { leaderWithTwoMachines, TestLeader } from "./support/test-leader.js";

/** For each constraint, fields of a job whose placement it restricts. */
const CONSTRAINED_JOBS: Record<PlacementConstraint, Partial<JobSpec>> = {
  types: { types: ["big"], tasks: 3 },
  zone: { zone: "c", tasks: 3 },
  spot: { spot: false, tasks: 3 },
  oneZone: { oneZone: true, tasks: 5 },
  spread: { spread: true, tasks: 5 },
};
const KINDS: readonly JobKind[] = ["array", "gang", "service"];

/** Simulates one kind of job on 18 machines. The leader receives the jobs without the constraint `ignored`. */
function simulate(
  seed: number,
  job: Partial<JobSpec>,
  ignored: PlacementConstraint | null,
): Simulation {
  const specSeenByLeader = (spec: JobSpec): JobSpec =>
    ignored === null ? spec : withoutConstraint(spec, ignored);
  const simulation = new Simulation(seed, specSeenByLeader, clusterForJob(job));
  for (let step = 0; step < 300 && simulation.violations.length === 0; step++) simulation.step();
  return simulation;
}

for (const kind of KINDS) {
  for (const constraint of PLACEMENT_CONSTRAINTS) {
    test(`the checker detects a planner that ignores ${constraint} of a job of kind ${kind}`, () => {
      const job = { ...CONSTRAINED_JOBS[constraint], kind };
      const found = new Set<string>();
      for (let seed = 1; seed <= 8 && found.size === 0; seed++) {
        for (const violation of simulate(seed, job, constraint).violations)
          found.add(violation.rule);
      }
      assert.deepEqual([...found], ["wrong_place"]);
    });
    test(`wrong_place: ${constraint} holds for a job of kind ${kind}`, () => {
      for (let seed = 1; seed <= 8; seed++) {
        const simulation = simulate(seed, { ...CONSTRAINED_JOBS[constraint], kind }, null);
        assert.deepEqual(simulation.violations, [], simulation.trace.slice(-30).join("\n"));
        assert.ok(simulation.startCount > 0);
      }
    });
  }
}

test("the placement checker names each violated constraint", () => {
  const machineIn = (zone: string, type = "small", spot = false) => ({
    machine: "m",
    type,
    zone,
    spot,
  });
  const violatedConstraints = (
    change: Partial<JobSpec>,
    machine: ReturnType<typeof machineIn>,
    others = [machineIn("a")],
  ): string[] =>
    placementViolations(jobSpec("j", { tasks: 5, ...change }), machine, others).map(
      (fault) => fault.constraint,
    );
  assert.deepEqual(violatedConstraints({}, machineIn("b")), []);
  assert.deepEqual(violatedConstraints({ types: ["big"] }, machineIn("a")), ["types"]);
  assert.deepEqual(violatedConstraints({ zone: "b" }, machineIn("a")), ["zone"]);
  assert.deepEqual(violatedConstraints({ spot: false }, machineIn("a", "small", true)), ["spot"]);
  assert.deepEqual(violatedConstraints({ oneZone: true }, machineIn("b")), ["oneZone"]);
  assert.deepEqual(violatedConstraints({ oneZone: true }, machineIn("a")), []);
  assert.deepEqual(
    violatedConstraints({ spread: true }, machineIn("a"), [machineIn("a"), machineIn("a")]),
    [],
  );
  assert.deepEqual(
    violatedConstraints({ spread: true }, machineIn("a"), [
      machineIn("a"),
      machineIn("a"),
      machineIn("a"),
    ]),
    ["spread"],
  );
});

/** Replaces a value in the state service by one that another version wrote. */
function replaceStored(records: StateReplica, key: string, value: unknown): void {
  const revision = records.revision + 1;
  records.apply([{ key, value, removed: false, modRevision: revision }], revision);
}

const zoneOf = (machine: string): string => machine.at(-1)!;

/** The zones of the machines to which starts of a job were sent, in the order of sending. */
const startedIn = (leader: TestLeader, job: string): string[] =>
  leader.unansweredRequests.flatMap((request) =>
    request.commands
      .filter((command) => command.op === "start" && command.job === job)
      .map(() => zoneOf(request.machine)),
  );

test("wrong_place: one scheduling cycle places tasks of a one-zone array in one zone only", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j", { tasks: 6, oneZone: true }));
  // Each machine fits four tasks. The other two must wait although the machine in the other zone is free.
  const zones = startedIn(leader, "j");
  assert.equal(zones.length, 4);
  assert.equal(new Set(zones).size, 1);
});

test("wrong_place: a one-zone service is placed in the zone where all its tasks fit", () => {
  const leader = leaderWithTwoMachines();
  leader.receiveHeartbeat("m3b", []);
  leader.submit(jobSpec("j", { tasks: 6, kind: "service", oneZone: true, spot: false }));
  assert.deepEqual(startedIn(leader, "j"), ["b", "b", "b", "b", "b", "b"]);
});

test("wrong_place: a successor does not start one-zone tasks that the former leader placed in two zones", () => {
  const former = leaderWithTwoMachines();
  former.submit(jobSpec("j", { tasks: 6, cpus: 1 }));
  assert.equal(new Set(startedIn(former, "j")).size, 2);
  // The previous version could store a one-zone job with placements in two zones.
  const stored = former.replica.activeJobs.get("j")!;
  const job = { ...stored.value.spec, oneZone: true };
  const value = encodeJobRecord({ ...stored.value, spec: job });
  replaceStored(former.replica, "p/j", value);
  const leader = new TestLeader({ replica: former.replica, epoch: 2, now: former.now });
  leader.epoch = 2;
  // The tasks in zone a run; no start has reached the machine in the other zone.
  const placed = [...leader.scheduler.cluster.jobs.get("j")!.placements.values()];
  const running = placed.filter((placement) => zoneOf(placement.machine.name) === "a");
  const tasks = running.map((placement) => taskStatus("j", placement.task, placement.attempt));
  assert.ok(running.length > 0 && running.length < placed.length);
  // A successor sends no starts during its grace period.
  for (let step = 0; step < 6; step++) {
    leader.receiveHeartbeat("m1a", tasks);
    leader.receiveHeartbeat("m2b", []);
    leader.tick(2);
  }
  assert.deepEqual(startedIn(leader, "j"), [], leader.takeTrace());
});

test("wrong_place: one-zone tasks that run in two zones are consolidated into one zone before others start", () => {
  const former = leaderWithTwoMachines();
  former.submit(jobSpec("j", { tasks: 7, cpus: 1, kind: "service" }));
  const stored = former.replica.activeJobs.get("j")!;
  const job = { ...stored.value.spec, oneZone: true, tasks: 8 };
  const value = encodeJobRecord({ ...stored.value, spec: job });
  replaceStored(former.replica, "p/j", value);
  const leader = new TestLeader({ replica: former.replica, epoch: 2, now: former.now });
  leader.epoch = 2;
  const placements = [...leader.scheduler.cluster.jobs.get("j")!.placements.values()];
  for (const machine of ["m1a", "m2b"]) {
    const placementsThere = placements.filter((placement) => placement.machine.name === machine);
    leader.receiveHeartbeat(
      machine,
      placementsThere.map(({ task, attempt }) => taskStatus("j", task, attempt)),
    );
  }
  for (let step = 0; step < 4; step++) leader.tick();
  const stopped = leader.unansweredRequests.flatMap((request) =>
    request.commands.filter((command) => command.op === "stop").map(() => request.machine),
  );
  assert.equal(new Set(stopped).size, 1, leader.takeTrace());
  assert.deepEqual(startedIn(leader, "j"), []);
});

test("wrong_place: a start is withheld if a heartbeat reports an unrecorded attempt after the placement", () => {
  const leader = leaderWithTwoMachines();
  leader.isStoreAvailable = false;
  leader.submit(jobSpec("j", { tasks: 1, oneZone: true }));
  const [placement] = leader.scheduler.cluster.jobs.get("j")!.placements.values();
  const machineName = placement!.machine.name;
  const otherMachine = machineName === "m1a" ? "m2b" : "m1a";
  leader.receiveHeartbeat(otherMachine, [taskStatus("j", 0, 7)]);
  leader.isStoreAvailable = true;
  leader.tick();
  assert.deepEqual(startedIn(leader, "j"), []);
  assert.equal(leader.scheduler.cluster.jobs.get("j")!.placements.size, 0);
});

test("ran_twice: a task with an unrecorded running attempt is not placed until that attempt exits", () => {
  const leader = leaderWithTwoMachines();
  leader.isStoreAvailable = false;
  leader.submit(jobSpec("j", { tasks: 1, cpus: 4 }));
  leader.receiveHeartbeat("m2b", [taskStatus("k", 0, 1)]);
  const [placement] = leader.scheduler.cluster.jobs.get("j")!.placements.values();
  const otherMachine = placement!.machine.name === "m1a" ? "m2b" : "m1a";
  leader.receiveHeartbeat(otherMachine, [taskStatus("j", 0, 7)]);
  leader.isStoreAvailable = true;
  const job = leader.scheduler.cluster.jobs.get("j")!;
  for (let step = 0; step < 6; step++) {
    leader.tick();
    assert.equal(job.placements.size, 0, leader.takeTrace());
    assert.deepEqual([job.pendingCount, ...job.pendingTasks()], [0]);
  }
  assert.deepEqual(startedIn(leader, "j"), []);
  // After the attempt exits, the task can be placed again.
  leader.unansweredRequests.splice(0);
  leader.receiveHeartbeat(otherMachine, [taskStatus("j", 0, 7, "exited", "stopped")]);
  for (let step = 0; step < 4; step++) leader.tick();
  assert.equal(startedIn(leader, "j").length, 1, leader.takeTrace());
});

test("quota: a start is withheld while unrecorded tasks put its team over the limit", () => {
  const leader = leaderWithTwoMachines();
  leader.receiveHeartbeat("m3a", []);
  leader.receiveHeartbeat("m4b", []);
  leader.receiveHeartbeat("m5a", [], { type: "big" });
  leader.submit(jobSpec("old", { tasks: 1, cpus: 4, kind: "service" }));
  leader.unansweredRequests.splice(0);
  leader.isStoreAvailable = false;
  // The team's limit is 16 CPUs, of which 4 are in use.
  leader.submit(jobSpec("j", { tasks: 3, cpus: 4 }));
  assert.equal(leader.scheduler.cluster.usageOf("vision").cpus, 16);
  leader.receiveHeartbeat("m5a", [taskStatus("old", 0, 9)], { type: "big" });
  assert.equal(leader.scheduler.cluster.usageOf("vision").cpus, 20);
  leader.isStoreAvailable = true;
  leader.flushWrites();
  assert.equal(startedIn(leader, "j").length, 2, leader.takeTrace());
});

test("wrong_place: a worker's heartbeat corrects the record of its machine", () => {
  const leader = leaderWithTwoMachines();
  const request = { type: "small", zone: "a", spot: false, count: 1 };
  leader.scheduler.scaleOutAnswered(
    request,
    { kind: "provisioned", machines: ["m9b"] },
    leader.now,
  );
  const machine = leader.scheduler.cluster.machines.get("m9b")!;
  assert.equal(machine.zone, "a");
  leader.receiveHeartbeat("m9b", [], { type: "big", zone: "b", spot: true });
  assert.deepEqual([machine.type.name, machine.zone, machine.spot], ["big", "b", true]);
  // The cloud's list may be outdated, so the values that the worker reported are kept.
  const listed = { name: "m9b", address: "m9b:9000", state: "running", ageS: 30 } as const;
  leader.scheduler.machineListAnswered(
    [{ ...listed, type: "small", zone: "a", spot: false }],
    leader.now,
  );
  assert.deepEqual([machine.type.name, machine.zone, machine.spot], ["big", "b", true]);
  const records = [...leader.replica.machineShards.values()].map((shard) => shard.value.m9b);
  assert.deepEqual(records, [["m9b:9000", "big", "b", true]]);
});

test("wrong_place: a start is withheld if its machine reports another zone than recorded", () => {
  const leader = leaderWithTwoMachines();
  leader.isStoreAvailable = false;
  leader.submit(jobSpec("j", { tasks: 1, zone: "a" }));
  const [placement] = leader.scheduler.cluster.jobs.get("j")!.placements.values();
  assert.equal(placement!.machine.name, "m1a");
  leader.receiveHeartbeat("m1a", [], { zone: "b" });
  leader.isStoreAvailable = true;
  leader.flushWrites();
  assert.deepEqual(startedIn(leader, "j"), []);
  const records = [...leader.replica.machineShards.values()].map((shard) => shard.value.m1a);
  assert.deepEqual(records, [["m1a:9000", "small", "b", false]]);
});

test("wrong_place: a task on a machine without a record counts towards the limits of every zone", () => {
  const former = leaderWithTwoMachines();
  former.submit(jobSpec("s", { tasks: 3, kind: "service", spread: true, spot: false }));
  former.submit(jobSpec("z", { tasks: 6, oneZone: true }));
  for (const [shardNumber, shard] of former.replica.machineShards) {
    const value = Object.fromEntries(
      Object.entries(shard.value).filter(([name]) => name !== "m1a"),
    );
    replaceStored(former.replica, `g/${shardNumber}`, value);
  }
  const leader = new TestLeader({ replica: former.replica, epoch: 2, now: former.now });
  leader.epoch = 2;
  leader.receiveHeartbeat("m2b", []);
  leader.receiveHeartbeat("m3b", []);
  for (let step = 0; step < 20; step++) leader.tick();
  const m1a = leader.scheduler.cluster.machines.get("m1a")!;
  assert.equal(m1a.zone, "");
  for (const job of ["s", "z"]) {
    const placements = [...leader.scheduler.cluster.jobs.get(job)!.placements.values()];
    const onUnknown = placements.filter((placement) => placement.machine === m1a).length;
    const started = startedIn(leader, job).length;
    const maxTasks = job === "s" ? 2 : 0;
    assert.ok(
      onUnknown === 0 || onUnknown + started <= maxTasks,
      `${job}: ${onUnknown}, ${started}`,
    );
  }
});

test("the protocol rule checker detects tasks that violate their job's constraints", () => {
  const checker = new ProtocolRuleChecker();
  checker.addMachine({ machine: "m1", type: "small", zone: "a", spot: false });
  checker.addMachine({ machine: "m2", type: "small", zone: "b", spot: true });
  checker.jobSubmitted(jobSpec("j", { tasks: 2, oneZone: true, spot: false }));
  checker.taskChanged("j/0", "m1", true, null);
  assert.equal(checker.violations.length, 0);
  checker.taskChanged("j/1", "m2", true, null);
  assert.deepEqual(
    checker.violations.map((violation) => violation.slice(0, 15)),
    ["wrong_place: j/", "wrong_place: j/"],
  );
});
