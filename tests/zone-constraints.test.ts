/** Jobs with zone constraints: relocation, reservations and scale-out in the zones that they allow, and feasibility. */
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

test("a service whose zone lacks capacity for the rest of it is relocated as a whole", () => {
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
  // Two of the zone's three machines are lost, and four come up in the other zone.
  workers.crashMachine("m3b");
  workers.crashMachine("m4b");
  workers.addMachine("m5a", "small");
  workers.addMachine("m6a", "small");
  workers.runFor(150);
  assert.deepEqual(zonesNow(), new Set(["a"]));
  assert.equal(leader.scheduler.cluster.jobs.get("s")!.pendingCount, 0);
  assert.deepEqual(workers.duplicateStarts, []);
});

test("a service stays and waits while no other zone has capacity for all of it", () => {
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

test("a service that waits for its team's quota is not relocated", () => {
  const leader = new TestLeader();
  const types = new Map(["m1a", "m2a", "m3a", "m4b", "m5b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => 1e9);
  workers.runFor(4);
  const service = { kind: "service", spot: false } as const;
  leader.submit(jobSpec("first", { ...service, tasks: 10, zone: "a" }));
  leader.submit(jobSpec("full-a", { ...service, tasks: 2, zone: "a", team: "maps" }));
  leader.submit(jobSpec("full-b", { ...service, tasks: 2, zone: "b", team: "maps" }));
  workers.runFor(4);
  // Of the team's 16 CPUs 10 are in use: six replicas of seven run, and fill their zone.
  leader.submit(jobSpec("s", { ...service, tasks: 7, oneZone: true }));
  workers.runFor(4);
  workers.addMachine("m6a", "small");
  workers.addMachine("m7a", "small");
  workers.runFor(150);
  assert.equal(workers.starts.filter((start) => start.job === "s").length, 6);
  assert.equal(leader.scheduler.cluster.jobs.get("s")!.placements.size, 6);
});

test("capacity is reserved for a spread gang on free machines, though other jobs come first", () => {
  const leader = new TestLeader();
  const names = ["m1a", "m2a", "m3a", "m4a", "m5b", "m6b", "m7b", "m8b"];
  for (const name of names) leader.receiveHeartbeat(name, [], { type: "big" });
  const wide = { team: "maps", class: "gpu", cpus: 6, gpus: 4, types: ["big"] };
  for (const zone of ["a", "b"]) {
    for (const index of [1, 2, 3]) {
      leader.submit(
        jobSpec(`now${index}${zone}`, { ...wide, zone, kind: "gang", priority: "high" }),
      );
    }
  }
  while (leader.unansweredRequests.length > 0) {
    const start = leader.unansweredRequests[0]!.commands[0]!;
    leader.answerRequest([taskStatus(start.job, 0, start.attempt)]);
  }
  leader.submit(jobSpec("g", { ...wide, tasks: 4, spread: true, kind: "gang", priority: "high" }));
  for (let step = 0; step < 4; step++) leader.tick(0.3);
  const held = [...leader.scheduler.cluster.machines.values()].filter(
    (machine) => machine.reservation?.job.spec.id === "g",
  );
  assert.equal(held.length, 2);
});

test("the cluster scales out in a zone that the job's other tasks allow", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j", { tasks: 6, oneZone: true, spot: false, team: "maps" }));
  const job = leader.scheduler.cluster.jobs.get("j")!;
  const bound = job.zones.mainZone;
  for (let request = 0; request < 8; request++) {
    const scaleOut = planScaleOut(
      {
        cluster: leader.scheduler.cluster,
        types: MACHINE_TYPES,
        now: leader.now,
        capacityBackoffUntil: new Map(),
        spareRatio: 0,
        maxMachines: 50,
        // The other zone has fewer machines, so it is preferred if both zones are allowed.
        machinesByZone: new Map([[bound!, 1000]]),
        lateBootsByOffer: new Map(),
      },
      [job],
      [],
    );
    assert.equal(scaleOut?.zone, bound);
    leader.tick();
  }
});

test("tasks are preempted in the zone of the job's other tasks", () => {
  const leader = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => 1e9);
  workers.runFor(4);
  leader.submit(jobSpec("low", { tasks: 11, priority: "low", team: "maps" }));
  workers.runFor(4);
  // One machine has a free place for one task; the rest of the job needs room in that zone.
  leader.submit(jobSpec("s", { tasks: 3, kind: "service", priority: "production", oneZone: true }));
  const job = leader.scheduler.cluster.jobs.get("s")!;
  const bound = job.zones.mainZone;
  workers.runFor(20);
  assert.equal(job.placements.size, 3);
  assert.deepEqual(new Set(workers.stops.map((stop) => zoneOf(stop.machine))), new Set([bound]));
});

test("a new leader stops the rest of a gang that had lost tasks", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("g", { kind: "gang", tasks: 6, spread: true }));
  for (const _ of [0, 1]) {
    const request = old.unansweredRequests[0]!;
    old.answerRequest(
      request.commands
        .filter((command) => command.op === "start")
        .map((command) => taskStatus("g", command.task, command.attempt)),
    );
  }
  // A worker's incarnation ends; the loss of its tasks is stored, and the leader fails before it stops the rest.
  old.receiveHeartbeat("m1a", [], { incarnation: 2 });
  const leader = new TestLeader({ replica: old.replica, epoch: 2, now: old.now });
  leader.epoch = 2;
  const left = [...leader.scheduler.cluster.jobs.get("g")!.placements.values()];
  assert.equal(left.length, 3);
  leader.receiveHeartbeat(
    "m2b",
    left.map((placement) => taskStatus("g", placement.task, placement.attempt)),
  );
  assert.match(leader.takeTrace(), /stop g\/\d#1/);
});

test("422: a spread gang that is allowed in a single zone can never run", () => {
  const { settings, types } = clusterForJob({});
  const gang = jobSpec("g", { kind: "gang", tasks: 4, spread: true });
  assert.equal(canEverRun(gang, settings, types), true);
  assert.equal(canEverRun({ ...gang, zone: "a" }, settings, types), false);
  assert.equal(canEverRun({ ...gang, kind: "array", zone: "a" }, settings, types), true);
  assert.equal(canEverRun({ ...gang, types: [] }, settings, types), false);
  assert.equal(canEverRun({ ...gang, zone: "nowhere" }, settings, types), false);
});

test("constraints are decoded as they were sent", () => {
  const of = (change: Record<string, unknown>) => decodeJob({ ...jobBody(), ...change });
  const { breeds: _, paddock: __, ...bare } = jobBody();
  assert.deepEqual([decodeJob(bare)?.types, decodeJob(bare)?.zone], [null, null]);
  assert.deepEqual(of({ breeds: [] })?.types, []);
  assert.deepEqual(of({ breeds: ["g8", "c4"], paddock: "b" })?.types, ["g8", "c4"]);
  assert.equal(of({ paddock: "" }), null);
  assert.equal(of({ together: null }), null);
  assert.equal(of({ together: true, apart: true }), null);
  const both = of({ together: true, loaners: false });
  assert.deepEqual([both?.oneZone, both?.spread, both?.spot], [true, false, false]);
});
