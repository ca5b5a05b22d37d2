/** Gangs and capacity in large clusters, and clusters that restart as a whole: failures found at a thousand machines. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { DEFAULT_OPERATOR_SETTINGS } from "../src/config/operator.js";
import { countMachinesByZone, planScaleOut } from "../src/core/capacity/scaling.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import type { TaskState, WorkerHeartbeat } from "../src/core/model/workers.js";
import { Controller } from "../src/node/controller.js";
import { decodeSettings } from "../src/wire/settings.js";
import { maxWorkerConnections } from "../src/workers/sockets.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { MACHINE_TYPES } from "./support/machine-types.js";
import { settingsText } from "./support/node-settings.js";
import { TestLeader } from "./support/test-leader.js";

const gpu = (id: string, change: Partial<JobSpec> = {}): JobSpec =>
  jobSpec(id, {
    kind: "gang",
    priority: "high",
    team: "maps",
    class: "gpu",
    cpus: 6,
    gpus: 4,
    types: ["big"],
    ...change,
  });

function gpuMachines(names: readonly string[]): TestLeader {
  const leader = new TestLeader();
  for (const name of names) leader.receiveHeartbeat(name, [], { type: "big" });
  leader.takeTrace();
  return leader;
}

test("a low-priority job within its team's guarantee does not preempt a gang for a few CPUs", () => {
  const leader = gpuMachines(["m1a"]);
  leader.submit(gpu("gang"));
  leader.answerRequest([taskStatus("gang", 0, 1, "pulling image")]);
  leader.takeTrace();
  // Team vision is guaranteed four CPUs; the gang is beyond any guarantee.
  leader.submit(jobSpec("sheet", { cpus: 4, priority: "low" }));
  for (let second = 0; second < 90; second++)
    leader.receiveHeartbeat("m1a", [taskStatus("gang", 0, 1, "pulling image")], { type: "big" });
  assert.doesNotMatch(leader.takeTrace(), /stop gang/);
  // Production may.
  leader.submit(jobSpec("web", { cpus: 4, kind: "service", priority: "production" }));
  for (let second = 0; second < 60; second++)
    leader.receiveHeartbeat("m1a", [taskStatus("gang", 0, 1, "pulling image")], { type: "big" });
  assert.match(leader.takeTrace(), /stop gang/);
});

test("when a zone returns from a partition, machines whose heartbeats are still missing are not released at once", () => {
  const names = [..."123456789"].flatMap((digit) => [`m${digit}a`, `m${digit}b`]);
  const leader = new TestLeader();
  for (const name of names) leader.receiveHeartbeat(name, []);
  const [inA, inB] = ["a", "b"].map((zone) => names.filter((name) => name.endsWith(zone)));
  const run = (alive: readonly string[], seconds: number): string[] => {
    leader.unreachableMachines.clear();
    for (const name of names) {
      if (!alive.includes(name)) leader.unreachableMachines.add(name);
    }
    leader.takeTrace();
    for (let second = 0; second < seconds; second++) {
      for (const name of alive) {
        leader.receiveHeartbeatOnly(name, []);
        // A machine that sends heartbeats also answers probes.
        if (leader.scheduler.cluster.machines.get(name)!.unreachableSince === null) continue;
        leader.performEffects(
          leader.scheduler.probeAnswered(name, leader.makeHeartbeat(name, []), leader.now),
        );
      }
      leader.tick(1);
    }
    return [...leader.takeTrace().matchAll(/cloud return (.*)/g)].map((match) => match[1]!);
  };
  assert.deepEqual(run(inA!, 10), [], "partitioned as a whole");
  const back = [...inA!, ...inB!.slice(1)];
  assert.deepEqual(run(back, 2), [], "one of nine is late by two seconds");
  assert.deepEqual([...new Set(run(back, 10))], [inB![0]], "it is released after all");
});

test("two gangs that each hold reservations for half of their tasks do not deadlock", () => {
  const leader = gpuMachines(["m1a", "m2a", "m3a", "m4a"]);
  leader.isStoreAvailable = false;
  leader.submit(gpu("second", { tasks: 4, oneZone: true, estimateS: 100 }));
  const second = leader.scheduler.cluster.jobs.get("second")!;
  for (const placement of [...second.allPlacements()])
    leader.scheduler.cluster.releasePlacement(placement, leader.now);
  for (const name of ["m1a", "m2a"]) {
    const until = leader.now + 100;
    leader.scheduler.cluster.machines.get(name)!.reservation = { job: second, until, held: false };
  }
  leader.submit(gpu("first", { tasks: 4, oneZone: true, estimateS: 1 }));
  leader.tick(1);
  assert.equal(leader.scheduler.cluster.jobs.get("first")!.placements.size, 4);
});

test("one gang at a time reserves capacity in a zone, so that capacity is not split up", () => {
  const leader = gpuMachines(["m1a", "m2a", "m3a", "m4a", "m5a"]);
  for (let index = 1; index <= 3; index++) leader.submit(gpu(`now${index}`));
  for (let index = 1; index <= 3; index++) leader.answerRequest([taskStatus(`now${index}`, 0, 1)]);
  leader.submit(gpu("three", { tasks: 3, oneZone: true, estimateS: 1 }));
  leader.submit(gpu("next", { tasks: 3, oneZone: true, estimateS: 2 }));
  for (let step = 0; step < 4; step++) leader.tick(0.3);
  const held = [...leader.scheduler.cluster.machines.values()].map(
    (machine) => machine.reservation?.job.spec.id,
  );
  assert.deepEqual([...new Set(held)].sort(), ["three", undefined]);
  assert.equal(leader.scheduler.cluster.jobs.get("next")!.reservedZone, null);
});

test("a gang waits briefly for one of the machines that have its image, and no longer", () => {
  const names = Array.from({ length: 12 }, (_, index) => `m${index}a`);
  const leader = gpuMachines(names);
  for (const name of names.slice(1)) {
    const machine = leader.scheduler.cluster.machines.get(name)!;
    machine.images.set("img", { lastUsedAt: leader.now, sizeGb: 4, isPulled: true });
  }
  // All machines that have the image are in use.
  for (let index = 0; index < 11; index++) leader.submit(gpu(`now${index}`, { imageGb: 4 }));
  for (let index = 0; index < 11; index++) leader.answerRequest([taskStatus(`now${index}`, 0, 1)]);
  leader.receiveHeartbeat("m0a", [], { type: "big" });
  leader.submit(gpu("next", { imageGb: 4 }));
  const next = leader.scheduler.cluster.jobs.get("next")!;
  leader.tick(0.3);
  assert.equal(next.placements.size, 0, "a pull of eight seconds: a short wait is worth it");
  leader.receiveHeartbeat("m0a", [], { type: "big" });
  for (let step = 0; step < 4; step++) leader.tick(0.6);
  assert.equal(next.placements.size, 1);
});

test("a job whose start SLO an image pull would miss waits for a machine that has the image", () => {
  const names = Array.from({ length: 6 }, (_, index) => `m${index}a`);
  const leader = gpuMachines(names);
  for (const name of names.slice(1)) {
    const machine = leader.scheduler.cluster.machines.get(name)!;
    machine.images.set("img", { lastUsedAt: leader.now, sizeGb: 4, isPulled: true });
  }
  // Class web is to start within a second, and the image pull takes eight.
  const web = { class: "web", imageGb: 4 };
  for (let index = 0; index < 5; index++) leader.submit(gpu(`now${index}`, web));
  for (let index = 0; index < 5; index++) leader.answerRequest([taskStatus(`now${index}`, 0, 1)]);
  leader.receiveHeartbeat("m0a", [], { type: "big" });
  leader.submit(gpu("next", web));
  const next = leader.scheduler.cluster.jobs.get("next")!;
  assert.equal(next.placements.size, 0);
  assert.equal(
    leader.scheduler.cluster.machines.get("m0a")!.reservation,
    null,
    "other jobs may use it",
  );
  // Once the SLO is missed in any case, any machine will do.
  for (let heartbeat = 0; heartbeat < 3; heartbeat++)
    leader.receiveHeartbeat("m0a", [], { type: "big" });
  leader.tick(1);
  leader.tick(1);
  assert.equal(next.placements.size, 1);
});

test("a gang task whose machine has the image starts once the first peer with a long pull is ready", () => {
  const leader = gpuMachines(["m1a", "m2a", "m3a"]);
  const pulling = ["m1a", "m3a"];
  const withImage = leader.scheduler.cluster.machines.get("m2a")!;
  withImage.images.set("img", { lastUsedAt: leader.now, sizeGb: 20, isPulled: true });
  // 20 GB at half a GB a second: 40 s, and a task waits for the others for 45.
  leader.submit(gpu("gang", { tasks: 3, oneZone: true, imageGb: 20 }));
  const placements = [...leader.scheduler.cluster.jobs.get("gang")!.placements.values()];
  const heartbeat = (machine: string, state: TaskState): WorkerHeartbeat => {
    const { task } = placements.find((placement) => placement.machine.name === machine)!;
    return leader.makeHeartbeat(machine, [taskStatus("gang", task, 1, state)], { type: "big" });
  };
  const receive = (machine: string, state: TaskState): void => {
    const { effects } = leader.scheduler.handleHeartbeat(heartbeat(machine, state), leader.now);
    leader.performEffects(effects);
  };
  const takeSent = (): string[] => {
    const requests = leader.unansweredRequests.splice(0);
    return requests.map(({ machine }) => machine).sort();
  };
  assert.deepEqual(takeSent(), pulling);
  for (const machine of pulling) {
    const heartbeatWhilePulling = heartbeat(machine, "pulling image");
    const outcome = { kind: "answered", executed: true, heartbeat: heartbeatWhilePulling } as const;
    leader.scheduler.commandsAnswered(machine, [], outcome, leader.now);
  }
  for (let step = 0; step < 12; step++) {
    for (const machine of pulling) receive(machine, "pulling image");
    leader.receiveHeartbeat("m2a", [], { type: "big" });
    leader.tick(2.5);
    assert.deepEqual(takeSent(), [], "no image pull is complete");
  }
  receive("m1a", "waiting");
  leader.tick();
  assert.deepEqual(takeSent(), ["m2a"]);
});

test("after a starved gang was placed, other jobs come first for a while and get part of the capacity", () => {
  const leader = gpuMachines(["m1a", "m2a", "m3a", "m4a"]);
  const end = (machine: number): void =>
    leader.receiveHeartbeat(`m${machine}a`, [taskStatus(`now${machine}`, 0, 1, "exited", "done")], {
      type: "big",
    });
  for (let index = 1; index <= 4; index++) leader.submit(gpu(`now${index}`, { estimateS: 10 }));
  for (const request of [...leader.unansweredRequests]) {
    const name = request.commands[0]!.job;
    leader.answerRequest([taskStatus(name, 0, 1)]);
    assert.equal(`now${request.machine[1]}`, name);
  }
  for (const id of ["large1", "large2"]) leader.submit(gpu(id, { tasks: 2, oneZone: true }), 130);
  for (const id of ["small1", "small2"]) leader.submit(gpu(id, { estimateS: 5 }));
  end(1);
  end(2);
  leader.tick();
  const placed = (id: string): number => leader.scheduler.cluster.jobs.get(id)!.placements.size;
  assert.deepEqual([placed("large1"), placed("small1")], [2, 0]);
  // Without the cooldown the second large gang would reserve this machine and wait for another.
  end(3);
  leader.tick();
  assert.deepEqual([placed("large2"), placed("small1")], [0, 1]);
});

test("one scale-out request covers all jobs that fit the same machine type", () => {
  const leader = new TestLeader();
  leader.receiveHeartbeat("m1a", []);
  for (let index = 0; index < 6; index++)
    leader.submit(jobSpec(`j${index}`, { tasks: 8, team: "maps", types: ["small"] }));
  const request = planScaleOut(
    {
      cluster: leader.scheduler.cluster,
      types: MACHINE_TYPES,
      now: leader.now,
      capacityBackoffUntil: new Map(),
      spareRatio: 1,
      maxMachines: 1000,
      machinesByZone: countMachinesByZone(leader.scheduler.cluster),
      lateBootsByOffer: new Map(),
    },
    [...leader.scheduler.cluster.jobs.values()],
    [],
  );
  // Forty-eight tasks, four to a machine, four of them on the one that is there.
  assert.deepEqual([request?.type, request?.count], ["small", 11]);
});

test("connections to workers leave sockets for connections from workers and users", () => {
  for (const [sockets, machines] of [
    [3192, 1393],
    [3192, 2090],
    [1282, 624],
    [1282, 936],
  ] as const) {
    const kept = maxWorkerConnections(sockets, machines);
    assert.ok(kept >= 32, `${kept} kept`);
    assert.ok(kept + 1.05 * machines <= 0.87 * sockets, `${kept} kept, ${machines} machines`);
  }
});

test("a controller that runs out of file descriptors keeps running", async () => {
  const read = decodeSettings(settingsText());
  if (!("settings" in read)) throw new Error("test settings");
  const settings = { ...read.settings, listenAddress: "127.0.0.1:0", peerAddress: "127.0.0.1:0" };
  const node = new Controller(settings, DEFAULT_OPERATOR_SETTINGS, pino({ level: "silent" }));
  await node.start();
  // What `net` says when a connection cannot be accepted; without a listener it ends the process.
  const full = Object.assign(new Error("accept EMFILE"), { code: "EMFILE" });
  for (let attempt = 0; attempt < 3; attempt++) {
    assert.equal(node.server.emit("error", full), true);
  }
  await node.stop();
});

test("a reservation that a gang began in one zone does not prevent it from reserving capacity in another", () => {
  const leader = gpuMachines(["m1a", "m2b", "m3b"]);
  for (const name of ["m1a", "m2b", "m3b"]) {
    leader.submit(gpu(`low-${name}`, { kind: "array", priority: "low", zone: name.at(-1)! }));
  }
  for (let request = 0; request < 3; request++)
    leader.answerRequest([taskStatus(leader.unansweredRequests[0]!.commands[0]!.job, 0, 1)]);
  leader.submit(gpu("gang", { tasks: 2, oneZone: true, priority: "high" }));
  const job = leader.scheduler.cluster.jobs.get("gang")!;
  const until = leader.now + 100;
  leader.scheduler.cluster.machines.get("m1a")!.reservation = { job, until, held: false };
  leader.takeTrace();
  for (let step = 0; step < 4; step++) {
    for (const name of ["m1a", "m2b", "m3b"])
      leader.receiveHeartbeatOnly(name, [taskStatus(`low-${name}`, 0, 1)]);
    leader.tick(1);
  }
  assert.equal(job.reservedZone, "b");
  assert.match(leader.takeTrace(), /send m[23]b: stop low-m[23]b/);
});
