/** Jobs with zone constraints: relocation, reservation, preemption and scale-out in allowed zones; feasibility. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { planScaleOut } from "../src/core/capacity/scaling.js";
import { canEverRun } from "../src/core/jobs/feasibility.js";
import { decodeJob } from "../src/wire/jobs.js";
import { jobBody, jobSpec, taskStatus } from "./support/job-builders.js";
import { MACHINE_TYPES } from "./support/machine-types.js";
import { clusterForJob } from "./support/simulated-clusters.js";
import { SimulatedWorkers } from "./support/simulated-workers.js";
import { leaderWithTwoMachines, TestLeader } from "./support/test-leader.js";

const zoneOf = (machine: string): string => machine.at(-1)!;

test("a one-zone service whose zone lacks capacity for its pending tasks is relocated as a whole", () => {
  const leader = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b", "m4b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => 1e9);
  workers.runFor(4);
  leader.submit(
    jobSpec("first", { tasks: 2, kind: "service", team: "maps", zone: "b", spot: false }),
  );
  leader.submit(
    jobSpec("s", { tasks: 8, kind: "service", team: "maps", oneZone: true, spot: false }),
  );
  workers.runFor(8);
  const zonesNow = (): Set<string> =>
    new Set(
      [...leader.scheduler.cluster.jobs.get("s")!.placements.values()].map(
        (placement) => placement.machine.zone,
      ),
    );
  assert.deepEqual(zonesNow(), new Set(["b"]));
  // Two of the zone's three machines are lost, and two more come up in the other zone.
  workers.crashMachine("m3b");
  workers.crashMachine("m4b");
  workers.addMachine("m5a", "small");
  workers.addMachine("m6a", "small");
  workers.runFor(150);
  assert.deepEqual(zonesNow(), new Set(["a"]));
  assert.equal(leader.scheduler.cluster.jobs.get("s")!.pendingCount, 0);
  assert.deepEqual(workers.duplicateStarts, []);
});

test("a one-zone service stays in its zone while no other zone has capacity for all its tasks", () => {
  const leader = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => 1e9);
  workers.runFor(4);
  leader.submit(
    jobSpec("s", { tasks: 8, kind: "service", team: "maps", oneZone: true, spot: false }),
  );
  workers.runFor(8);
  workers.crashMachine("m3b");
  workers.runFor(150);
  const placed = [...leader.scheduler.cluster.jobs.get("s")!.placements.values()];
  assert.deepEqual(new Set(placed.map((placement) => placement.machine.zone)), new Set(["b"]));
  assert.equal(placed.length, 4);
});

test("a one-zone service that waits for its team's quota is not relocated", () => {
  const leader = new TestLeader();
  const types = new Map(["m1a", "m2a", "m3a", "m4b", "m5b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => 1e9);
  workers.runFor(4);
  const serviceOptions = { kind: "service", spot: false } as const;
  leader.submit(jobSpec("first", { ...serviceOptions, tasks: 10, zone: "a" }));
  leader.submit(jobSpec("full-a", { ...serviceOptions, tasks: 2, zone: "a", team: "maps" }));
  leader.submit(jobSpec("full-b", { ...serviceOptions, tasks: 2, zone: "b", team: "maps" }));
  workers.runFor(4);
  // 10 of the team's 16 CPUs are in use, so six of the seven service tasks run, and they fill their zone.
  leader.submit(jobSpec("s", { ...serviceOptions, tasks: 7, oneZone: true }));
  workers.runFor(4);
  workers.addMachine("m6a", "small");
  workers.addMachine("m7a", "small");
  workers.runFor(150);
  assert.equal(workers.starts.filter((start) => start.job === "s").length, 6);
  assert.equal(leader.scheduler.cluster.jobs.get("s")!.placements.size, 6);
});

test("capacity for a spread gang is reserved on free machines while earlier jobs occupy the others", () => {
  const leader = new TestLeader();
  const names = ["m1a", "m2a", "m3a", "m4a", "m5b", "m6b", "m7b", "m8b"];
  for (const name of names) leader.receiveHeartbeat(name, [], { type: "big" });
  const gpuJob = { team: "maps", class: "gpu", cpus: 6, gpus: 4, types: ["big"] };
  for (const zone of ["a", "b"]) {
    for (const index of [1, 2, 3]) {
      leader.submit(
        jobSpec(`now${index}${zone}`, { ...gpuJob, zone, kind: "gang", priority: "high" }),
      );
    }
  }
  while (leader.unansweredRequests.length > 0) {
    const start = leader.unansweredRequests[0]!.commands[0]!;
    leader.answerRequest([taskStatus(start.job, 0, start.attempt)]);
  }
  leader.submit(
    jobSpec("g", { ...gpuJob, tasks: 4, spread: true, kind: "gang", priority: "high" }),
  );
  for (let step = 0; step < 4; step++) leader.tick(0.3);
  const reservedMachines = [...leader.scheduler.cluster.machines.values()].filter(
    (machine) => machine.reservation?.job.spec.id === "g",
  );
  assert.equal(reservedMachines.length, 2);
});

test("the cluster scales out in the zone of a one-zone job's placed tasks", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j", { tasks: 6, oneZone: true, spot: false, team: "maps" }));
  const job = leader.scheduler.cluster.jobs.get("j")!;
  const mainZone = job.zones.mainZone;
  for (let request = 0; request < 8; request++) {
    const scaleOut = planScaleOut(
      {
        cluster: leader.scheduler.cluster,
        types: MACHINE_TYPES,
        now: leader.now,
        capacityBackoffUntil: new Map(),
        spareRatio: 0,
        maxMachines: 50,
        // The other zone has fewer machines, so it would be preferred if both zones were allowed.
        machinesByZone: new Map([[mainZone!, 1000]]),
        lateBootsByOffer: new Map(),
      },
      [job],
      [],
    );
    assert.equal(scaleOut?.zone, mainZone);
    leader.tick();
  }
});

test("tasks are preempted only in the zone of the one-zone job that needs the capacity", () => {
  const leader = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => 1e9);
  workers.runFor(4);
  leader.submit(jobSpec("low", { tasks: 11, priority: "low", team: "maps" }));
  workers.runFor(4);
  // One machine has capacity for one task. The job's other tasks need capacity in the same zone.
  leader.submit(jobSpec("s", { tasks: 3, kind: "service", priority: "production", oneZone: true }));
  const job = leader.scheduler.cluster.jobs.get("s")!;
  const mainZone = job.zones.mainZone;
  workers.runFor(20);
  assert.equal(job.placements.size, 3);
  assert.deepEqual(new Set(workers.stops.map((stop) => zoneOf(stop.machine))), new Set([mainZone]));
});

test("a new leader stops the remaining tasks of a gang that lost some under the former leader", () => {
  const former = leaderWithTwoMachines();
  former.submit(jobSpec("g", { kind: "gang", tasks: 6, spread: true }));
  for (const _ of [0, 1]) {
    const request = former.unansweredRequests[0]!;
    former.answerRequest(
      request.commands
        .filter((command) => command.op === "start")
        .map((command) => taskStatus("g", command.task, command.attempt)),
    );
  }
  // A worker's incarnation ends. The loss of its tasks is stored, and the leader fails before it stops the others.
  former.receiveHeartbeat("m1a", [], { incarnation: 2 });
  const leader = new TestLeader({ replica: former.replica, epoch: 2, now: former.now });
  leader.epoch = 2;
  const remaining = [...leader.scheduler.cluster.jobs.get("g")!.placements.values()];
  assert.equal(remaining.length, 3);
  leader.receiveHeartbeat(
    "m2b",
    remaining.map((placement) => taskStatus("g", placement.task, placement.attempt)),
  );
  assert.match(leader.takeTrace(), /stop g\/\d#1/);
});

test("a spread gang that is allowed in a single zone only counts as never able to run (422)", () => {
  const { settings, types } = clusterForJob({});
  const gang = jobSpec("g", { kind: "gang", tasks: 4, spread: true });
  assert.equal(canEverRun(gang, settings, types), true);
  assert.equal(canEverRun({ ...gang, zone: "a" }, settings, types), false);
  assert.equal(canEverRun({ ...gang, kind: "array", zone: "a" }, settings, types), true);
  assert.equal(canEverRun({ ...gang, types: [] }, settings, types), false);
  assert.equal(canEverRun({ ...gang, zone: "nowhere" }, settings, types), false);
});

test("placement constraints are decoded as they were sent, and invalid ones are rejected", () => {
  const decodeWith = (change: Record<string, unknown>) => decodeJob({ ...jobBody(), ...change });
  const { breeds: _, paddock: __, ...bare } = jobBody();
  assert.deepEqual([decodeJob(bare)?.types, decodeJob(bare)?.zone], [null, null]);
  assert.deepEqual(decodeWith({ breeds: [] })?.types, []);
  assert.deepEqual(decodeWith({ breeds: ["g8", "c4"], paddock: "b" })?.types, ["g8", "c4"]);
  assert.equal(decodeWith({ paddock: "" }), null);
  assert.equal(decodeWith({ together: null }), null);
  assert.equal(decodeWith({ together: true, apart: true }), null);
  const both = decodeWith({ together: true, loaners: false });
  assert.deepEqual([both?.oneZone, both?.spread, both?.spot], [true, false, false]);
});
