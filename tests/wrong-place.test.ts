/** Protocol rule `wrong_place`: a task is only where its job's constraints allow it, given the other tasks at that moment. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobKind, JobSpec } from "../src/core/model/jobs.js";
import type { StateReplica } from "../src/core/state/state-replica.js";
import { encodeJobRecord } from "../src/core/state/stored-values.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { CONSTRAINTS, type Constraint, placeFaults, without } from "./support/placement-checker.js";
import { ProtocolRuleChecker } from "./support/protocol-rule-checker.js";
import { clusterForJob } from "./support/simulated-clusters.js";
import { Simulation } from "./support/simulation.js";
import { leaderWithTwoMachines, TestLeader } from "./support/test-leader.js";

const BINDING: Record<Constraint, Partial<JobSpec>> = {
  types: { types: ["big"], tasks: 3 },
  zone: { zone: "c", tasks: 3 },
  spot: { spot: false, tasks: 3 },
  oneZone: { oneZone: true, tasks: 5 },
  spread: { spread: true, tasks: 5 },
};
const KINDS: readonly JobKind[] = ["array", "gang", "service"];

/** Simulates one kind of job on 18 machines; with `ignored`, the leader receives the jobs without that constraint. */
function play(seed: number, job: Partial<JobSpec>, ignored: Constraint | null): Simulation {
  const seen = (spec: JobSpec): JobSpec => (ignored === null ? spec : without(spec, ignored));
  const world = new Simulation(seed, seen, clusterForJob(job));
  for (let step = 0; step < 300 && world.violations.length === 0; step++) world.step();
  return world;
}

for (const kind of KINDS) {
  for (const constraint of CONSTRAINTS) {
    test(`the checker finds violations of a planner that ignores ${constraint}: ${kind}`, () => {
      const job = { ...BINDING[constraint], kind };
      const found = new Set<string>();
      for (let seed = 1; seed <= 8 && found.size === 0; seed++) {
        for (const violation of play(seed, job, constraint).violations) found.add(violation.rule);
      }
      assert.deepEqual([...found], ["wrong_place"]);
    });
    test(`wrong_place: ${constraint} holds for a ${kind}`, () => {
      for (let seed = 1; seed <= 8; seed++) {
        const world = play(seed, { ...BINDING[constraint], kind }, null);
        assert.deepEqual(world.violations, [], world.trace.slice(-30).join("\n"));
        assert.ok(world.startCount > 0);
      }
    });
  }
}

test("the placement checker counts independently of the scheduler", () => {
  const at = (zone: string, type = "small", spot = false) => ({ machine: "m", type, zone, spot });
  const names = (
    change: Partial<JobSpec>,
    here: ReturnType<typeof at>,
    others = [at("a")],
  ): string[] =>
    placeFaults(jobSpec("j", { tasks: 5, ...change }), here, others).map(
      (fault) => fault.constraint,
    );
  assert.deepEqual(names({}, at("b")), []);
  assert.deepEqual(names({ types: ["big"] }, at("a")), ["types"]);
  assert.deepEqual(names({ zone: "b" }, at("a")), ["zone"]);
  assert.deepEqual(names({ spot: false }, at("a", "small", true)), ["spot"]);
  assert.deepEqual(names({ oneZone: true }, at("b")), ["oneZone"]);
  assert.deepEqual(names({ oneZone: true }, at("a")), []);
  assert.deepEqual(names({ spread: true }, at("a"), [at("a"), at("a")]), []);
  assert.deepEqual(names({ spread: true }, at("a"), [at("a"), at("a"), at("a")]), ["spread"]);
});

/** The state service holds another value, as some other version wrote it. */
function store(records: StateReplica, key: string, value: unknown): void {
  const mark = records.revision + 1;
  records.apply([{ key, value, removed: false, modRevision: mark }], mark);
}

const zoneOf = (machine: string): string => machine.at(-1)!;

/** Zones to which starts of a job were sent, in order. */
const startedIn = (leader: TestLeader, job: string): string[] =>
  leader.unansweredRequests.flatMap((request) =>
    request.commands
      .filter((command) => command.op === "start" && command.job === job)
      .map(() => zoneOf(request.machine)),
  );

test("wrong_place: a one-zone array is placed in one zone by one scheduling cycle", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j", { tasks: 6, oneZone: true }));
  // Four fit each machine. Two waited in the same pass for the machine in the other zone.
  const zones = startedIn(leader, "j");
  assert.equal(zones.length, 4);
  assert.equal(new Set(zones).size, 1);
});

test("wrong_place: a one-zone service is placed where all of it fits", () => {
  const leader = leaderWithTwoMachines();
  leader.receiveHeartbeat("m3b", []);
  leader.submit(jobSpec("j", { tasks: 6, kind: "service", oneZone: true, spot: false }));
  assert.deepEqual(startedIn(leader, "j"), ["b", "b", "b", "b", "b", "b"]);
});

test("wrong_place: what a former leader placed in two zones is not started by its successor", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("j", { tasks: 6, cpus: 1 }));
  assert.equal(new Set(startedIn(old, "j")).size, 2);
  // As the version before stored a job that must be in one zone.
  const stored = old.replica.activeJobs.get("j")!;
  const job = { ...stored.value.spec, oneZone: true };
  const value = encodeJobRecord({ ...stored.value, spec: job });
  store(old.replica, "p/j", value);
  const leader = new TestLeader({ replica: old.replica, epoch: 2, now: old.now });
  leader.epoch = 2;
  // Tasks placed in one zone run; no start has reached the machine in the other zone.
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

test("wrong_place: one-zone tasks that run in two zones are consolidated into one before others start", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("j", { tasks: 7, cpus: 1, kind: "service" }));
  const stored = old.replica.activeJobs.get("j")!;
  const job = { ...stored.value.spec, oneZone: true, tasks: 8 };
  const value = encodeJobRecord({ ...stored.value, spec: job });
  store(old.replica, "p/j", value);
  const leader = new TestLeader({ replica: old.replica, epoch: 2, now: old.now });
  leader.epoch = 2;
  const on = [...leader.scheduler.cluster.jobs.get("j")!.placements.values()];
  for (const machine of ["m1a", "m2b"]) {
    const here = on.filter((placement) => placement.machine.name === machine);
    leader.receiveHeartbeat(
      machine,
      here.map(({ task, attempt }) => taskStatus("j", task, attempt)),
    );
  }
  for (let step = 0; step < 4; step++) leader.tick();
  const stopped = leader.unansweredRequests.flatMap((request) =>
    request.commands.filter((command) => command.op === "stop").map(() => request.machine),
  );
  assert.equal(new Set(stopped).size, 1, leader.takeTrace());
  assert.deepEqual(startedIn(leader, "j"), []);
});

test("wrong_place: a start is withheld if a heartbeat contains an unrecorded task after the placement", () => {
  const leader = leaderWithTwoMachines();
  leader.isStoreAvailable = false;
  leader.submit(jobSpec("j", { tasks: 1, oneZone: true }));
  const [placement] = leader.scheduler.cluster.jobs.get("j")!.placements.values();
  const here = placement!.machine.name;
  const other = here === "m1a" ? "m2b" : "m1a";
  leader.receiveHeartbeat(other, [taskStatus("j", 0, 7)]);
  leader.isStoreAvailable = true;
  leader.tick();
  assert.deepEqual(startedIn(leader, "j"), []);
  assert.equal(leader.scheduler.cluster.jobs.get("j")!.placements.size, 0);
});

test("ran_twice: a task with an unrecorded running attempt is not placed elsewhere", () => {
  const leader = leaderWithTwoMachines();
  leader.isStoreAvailable = false;
  leader.submit(jobSpec("j", { tasks: 1, cpus: 4 }));
  leader.receiveHeartbeat("m2b", [taskStatus("k", 0, 1)]);
  const [placement] = leader.scheduler.cluster.jobs.get("j")!.placements.values();
  const other = placement!.machine.name === "m1a" ? "m2b" : "m1a";
  leader.receiveHeartbeat(other, [taskStatus("j", 0, 7)]);
  leader.isStoreAvailable = true;
  const job = leader.scheduler.cluster.jobs.get("j")!;
  for (let step = 0; step < 6; step++) {
    leader.tick();
    assert.equal(job.placements.size, 0, leader.takeTrace());
    assert.deepEqual([job.pendingCount, ...job.pendingTasks()], [0]);
  }
  assert.deepEqual(startedIn(leader, "j"), []);
  // The attempt exits: now the task can be placed again.
  leader.unansweredRequests.splice(0);
  leader.receiveHeartbeat(other, [taskStatus("j", 0, 7, "exited", "stopped")]);
  for (let step = 0; step < 4; step++) leader.tick();
  assert.equal(startedIn(leader, "j").length, 1, leader.takeTrace());
});

test("quota: a start is withheld while its team exceeds its limit by unrecorded tasks", () => {
  const leader = leaderWithTwoMachines();
  leader.receiveHeartbeat("m3a", []);
  leader.receiveHeartbeat("m4b", []);
  leader.receiveHeartbeat("m5a", [], { type: "big" });
  leader.submit(jobSpec("old", { tasks: 1, cpus: 4, kind: "service" }));
  leader.unansweredRequests.splice(0);
  leader.isStoreAvailable = false;
  // 16 CPUs are the limit, and 4 of them are in use.
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
  // The list is the cloud's word, and may be old: the worker's stands.
  const listed = { name: "m9b", address: "m9b:9000", state: "running", ageS: 30 } as const;
  leader.scheduler.machineListAnswered(
    [{ ...listed, type: "small", zone: "a", spot: false }],
    leader.now,
  );
  assert.deepEqual([machine.type.name, machine.zone, machine.spot], ["big", "b", true]);
  const records = [...leader.replica.machineShards.values()].map((shard) => shard.value.m9b);
  assert.deepEqual(records, [["m9b:9000", "big", "b", true]]);
});

test("wrong_place: a start is withheld if its machine proves to be in another zone", () => {
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

test("wrong_place: a task on a machine without a record counts as being in any zone", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("s", { tasks: 3, kind: "service", spread: true, spot: false }));
  old.submit(jobSpec("z", { tasks: 6, oneZone: true }));
  for (const [shardNumber, shard] of old.replica.machineShards) {
    const value = Object.fromEntries(
      Object.entries(shard.value).filter(([name]) => name !== "m1a"),
    );
    store(old.replica, `g/${shardNumber}`, value);
  }
  const leader = new TestLeader({ replica: old.replica, epoch: 2, now: old.now });
  leader.epoch = 2;
  leader.receiveHeartbeat("m2b", []);
  leader.receiveHeartbeat("m3b", []);
  for (let step = 0; step < 20; step++) leader.tick();
  const m1a = leader.scheduler.cluster.machines.get("m1a")!;
  assert.equal(m1a.zone, "");
  for (const job of ["s", "z"]) {
    const here = [...leader.scheduler.cluster.jobs.get(job)!.placements.values()];
    const onUnknown = here.filter((placement) => placement.machine === m1a).length;
    const started = startedIn(leader, job).length;
    const most = job === "s" ? 2 : 0;
    assert.ok(onUnknown === 0 || onUnknown + started <= most, `${job}: ${onUnknown}, ${started}`);
  }
});

test("the protocol rule checker detects a task in a wrong place", () => {
  const log = new ProtocolRuleChecker();
  log.addMachine({ machine: "m1", type: "small", zone: "a", spot: false });
  log.addMachine({ machine: "m2", type: "small", zone: "b", spot: true });
  log.jobSubmitted(jobSpec("j", { tasks: 2, oneZone: true, spot: false }));
  log.taskChanged("j/0", "m1", true, null);
  assert.equal(log.violations.length, 0);
  log.taskChanged("j/1", "m2", true, null);
  assert.deepEqual(
    log.violations.map((violation) => violation.slice(0, 15)),
    ["wrong_place: j/", "wrong_place: j/"],
  );
});
