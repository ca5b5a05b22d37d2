/** What was found on fleets of a thousand machines and more, and when all of it restarts at once. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { DEFAULT_OPERATOR_SETTINGS } from "../src/config/operator.js";
import { countMachinesByZone, planScaleOut } from "../src/core/capacity/scaling.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import { Controller } from "../src/node/controller.js";
import { decodeSettings } from "../src/wire/settings.js";
import { maxWorkerConnections } from "../src/workers/sockets.js";
import { jobSpec, MACHINE_TYPES, settingsText, TestLeader, taskStatus } from "./support/helpers.js";

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
  const h = new TestLeader();
  for (const n of names) h.receiveHeartbeat(n, [], { type: "big" });
  h.takeTrace();
  return h;
}

test("low work within its team's guarantee does not stop a gang for two of its CPUs", () => {
  const h = gpuMachines(["m1a"]);
  h.submit(gpu("gang"));
  h.answerRequest([taskStatus("gang", 0, 1, "fetching")]);
  h.takeTrace();
  // Team vision is guaranteed four CPUs; the gang is beyond any guarantee.
  h.submit(jobSpec("sheet", { cpus: 4, priority: "low" }));
  for (let i = 0; i < 90; i++)
    h.receiveHeartbeat("m1a", [taskStatus("gang", 0, 1, "fetching")], { type: "big" });
  assert.doesNotMatch(h.takeTrace(), /stop gang/);
  // Production may.
  h.submit(jobSpec("web", { cpus: 4, kind: "service", priority: "production" }));
  for (let i = 0; i < 60; i++)
    h.receiveHeartbeat("m1a", [taskStatus("gang", 0, 1, "fetching")], { type: "big" });
  assert.match(h.takeTrace(), /stop gang/);
});

test("when a zone is back from a cut, those not heard yet are not given up at once", () => {
  const names = [..."123456789"].flatMap((n) => [`m${n}a`, `m${n}b`]);
  const h = new TestLeader();
  for (const m of names) h.receiveHeartbeat(m, []);
  const [inA, inB] = ["a", "b"].map((z) => names.filter((m) => m.endsWith(z)));
  const run = (heard: readonly string[], seconds: number): string[] => {
    h.unreachableMachines.clear();
    for (const m of names) if (!heard.includes(m)) h.unreachableMachines.add(m);
    h.takeTrace();
    for (let i = 0; i < seconds; i++) {
      for (const m of heard) {
        h.receiveHeartbeatOnly(m, []);
        // Whoever is heard answers when it is looked at.
        if (h.scheduler.cluster.machines.get(m)!.unreachableSince === null) continue;
        h.performEffects(h.scheduler.probeAnswered(m, h.makeHeartbeat(m, []), h.now));
      }
      h.tick(1);
    }
    return [...h.takeTrace().matchAll(/cloud return (.*)/g)].map((x) => x[1]!);
  };
  assert.deepEqual(run(inA!, 10), [], "cut off as a whole");
  const back = [...inA!, ...inB!.slice(1)];
  assert.deepEqual(run(back, 2), [], "one of nine is late by two seconds");
  assert.deepEqual([...new Set(run(back, 10))], [inB![0]], "it is gone after all");
});

test("two gangs that each have half of what they need do not keep it from each other", () => {
  const h = gpuMachines(["m1a", "m2a", "m3a", "m4a"]);
  h.isStoreAvailable = false;
  h.submit(gpu("second", { tasks: 4, oneZone: true, estimateS: 100 }));
  const second = h.scheduler.cluster.jobs.get("second")!;
  for (const p of [...second.allPlacements()]) h.scheduler.cluster.releasePlacement(p, h.now);
  for (const m of ["m1a", "m2a"]) {
    const until = h.now + 100;
    h.scheduler.cluster.machines.get(m)!.reservation = { job: second, until, held: false };
  }
  h.submit(gpu("first", { tasks: 4, oneZone: true, estimateS: 1 }));
  h.tick(1);
  assert.equal(h.scheduler.cluster.jobs.get("first")!.placements.size, 4);
});

test("one gang at a time gathers room in a zone: what it has no use for yet is not split up", () => {
  const h = gpuMachines(["m1a", "m2a", "m3a", "m4a", "m5a"]);
  for (let i = 1; i <= 3; i++) h.submit(gpu(`now${i}`));
  for (let i = 1; i <= 3; i++) h.answerRequest([taskStatus(`now${i}`, 0, 1)]);
  h.submit(gpu("three", { tasks: 3, oneZone: true, estimateS: 1 }));
  h.submit(gpu("next", { tasks: 3, oneZone: true, estimateS: 2 }));
  for (let i = 0; i < 4; i++) h.tick(0.3);
  const held = [...h.scheduler.cluster.machines.values()].map((m) => m.reservation?.job.spec.id);
  assert.deepEqual([...new Set(held)].sort(), ["three", undefined]);
  assert.equal(h.scheduler.cluster.jobs.get("next")!.reservedZone, null);
});

test("a gang lets others go first for a moment if many machines hold its image, and no longer", () => {
  const names = Array.from({ length: 12 }, (_, i) => `m${i}a`);
  const h = gpuMachines(names);
  for (const m of names.slice(1)) {
    const machine = h.scheduler.cluster.machines.get(m)!;
    machine.images.set("img", { at: h.now, gb: 4, ready: true });
  }
  // All that hold it are taken.
  for (let i = 0; i < 11; i++) h.submit(gpu(`now${i}`, { imageGb: 4 }));
  for (let i = 0; i < 11; i++) h.answerRequest([taskStatus(`now${i}`, 0, 1)]);
  h.receiveHeartbeat("m0a", [], { type: "big" });
  h.submit(gpu("next", { imageGb: 4 }));
  const next = h.scheduler.cluster.jobs.get("next")!;
  h.tick(0.3);
  assert.equal(next.placements.size, 0, "eight seconds of fetching: a moment's wait is worth it");
  h.receiveHeartbeat("m0a", [], { type: "big" });
  for (let i = 0; i < 4; i++) h.tick(0.6);
  assert.equal(next.placements.size, 1);
});

test("what fetching would make too late for its next aim waits for a machine that holds its image", () => {
  const names = Array.from({ length: 6 }, (_, i) => `m${i}a`);
  const h = gpuMachines(names);
  for (const m of names.slice(1)) {
    const machine = h.scheduler.cluster.machines.get(m)!;
    machine.images.set("img", { at: h.now, gb: 4, ready: true });
  }
  // Class web is to start within a second, and fetching takes eight.
  const web = { class: "web", imageGb: 4 };
  for (let i = 0; i < 5; i++) h.submit(gpu(`now${i}`, web));
  for (let i = 0; i < 5; i++) h.answerRequest([taskStatus(`now${i}`, 0, 1)]);
  h.receiveHeartbeat("m0a", [], { type: "big" });
  h.submit(gpu("next", web));
  const next = h.scheduler.cluster.jobs.get("next")!;
  assert.equal(next.placements.size, 0);
  assert.equal(h.scheduler.cluster.machines.get("m0a")!.reservation, null, "others may have it");
  // Once it is too late for the aim in any case, any machine will do.
  for (let i = 0; i < 3; i++) h.receiveHeartbeat("m0a", [], { type: "big" });
  h.tick(1);
  h.tick(1);
  assert.equal(next.placements.size, 1);
});

test("a gang task that has its image starts when the first that fetches for long is ready", () => {
  const h = gpuMachines(["m1a", "m2a", "m3a"]);
  h.scheduler.cluster.machines.get("m2a")!.images.set("img", { at: h.now, gb: 20, ready: true });
  // 20 GB at half a GB a second: 40 s, and a task waits for the others for 45.
  h.submit(gpu("gang", { tasks: 3, oneZone: true, imageGb: 20 }));
  const job = h.scheduler.cluster.jobs.get("gang")!;
  const on = (m: string) => [...job.placements.values()].find((p) => p.machine.name === m)!.task;
  const sent = (): string[] =>
    h.unansweredRequests
      .splice(0)
      .map((o) => o.machine)
      .sort();
  assert.deepEqual(sent(), ["m1a", "m3a"]);
  for (const m of ["m1a", "m3a"]) {
    h.scheduler.commandsAnswered(
      m,
      [],
      { kind: "answered", executed: true, heartbeat: report(m, "fetching") },
      h.now,
    );
  }
  function report(m: string, state: "fetching" | "waiting") {
    return h.makeHeartbeat(m, [taskStatus("gang", on(m), 1, state)], { type: "big" });
  }
  for (let i = 0; i < 12; i++) {
    for (const m of ["m1a", "m3a"])
      h.performEffects(h.scheduler.handleHeartbeat(report(m, "fetching"), h.now).outputs);
    h.receiveHeartbeat("m2a", [], { type: "big" });
    h.tick(2.5);
    assert.deepEqual(sent(), [], "neither has its image");
  }
  h.performEffects(h.scheduler.handleHeartbeat(report("m1a", "waiting"), h.now).outputs);
  h.tick();
  assert.deepEqual(sent(), ["m2a"]);
});

test("after a neglected gang the others go first for a while: part of the room is theirs", () => {
  const h = gpuMachines(["m1a", "m2a", "m3a", "m4a"]);
  const end = (machine: number): void =>
    h.receiveHeartbeat(`m${machine}a`, [taskStatus(`now${machine}`, 0, 1, "exited", "done")], {
      type: "big",
    });
  for (let i = 1; i <= 4; i++) h.submit(gpu(`now${i}`, { estimateS: 10 }));
  for (const o of [...h.unansweredRequests]) {
    const name = o.commands[0]!.job;
    h.answerRequest([taskStatus(name, 0, 1)]);
    assert.equal(`now${o.machine[1]}`, name);
  }
  for (const id of ["large1", "large2"]) h.submit(gpu(id, { tasks: 2, oneZone: true }), 130);
  for (const id of ["small1", "small2"]) h.submit(gpu(id, { estimateS: 5 }));
  end(1);
  end(2);
  h.tick();
  const placed = (id: string): number => h.scheduler.cluster.jobs.get(id)!.placements.size;
  assert.deepEqual([placed("large1"), placed("small1")], [2, 0]);
  // Without that the second large one would hold this machine and wait for another.
  end(3);
  h.tick();
  assert.deepEqual([placed("large2"), placed("small1")], [0, 1]);
});

test("one request rents for all that the same kind of machine serves", () => {
  const h = new TestLeader();
  h.receiveHeartbeat("m1a", []);
  for (let i = 0; i < 6; i++)
    h.submit(jobSpec(`j${i}`, { tasks: 8, team: "maps", types: ["small"] }));
  const r = planScaleOut(
    {
      cluster: h.scheduler.cluster,
      settings: (decodeSettings(settingsText()) as { settings: Controller["settings"] }).settings
        .cluster,
      types: MACHINE_TYPES,
      now: h.now,
      capacityBackoffUntil: new Map(),
      spareRatio: 1,
      maxMachines: 1000,
      machinesByZone: countMachinesByZone(h.scheduler.cluster),
      lateBootsByOffer: new Map(),
    },
    [...h.scheduler.cluster.jobs.values()],
    [],
  );
  // Forty-eight tasks, four to a machine, four of them on the one that is there.
  assert.deepEqual([r?.type, r?.count], ["small", 11]);
});

test("connections to workers leave room for those of workers and users", () => {
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

test("with no socket left a controller goes on", async () => {
  const read = decodeSettings(settingsText());
  if (!("settings" in read)) throw new Error("test settings");
  const settings = { ...read.settings, serveOn: "127.0.0.1:0", meshAddress: "127.0.0.1:0" };
  const node = new Controller(settings, DEFAULT_OPERATOR_SETTINGS, pino({ level: "silent" }));
  await node.start();
  // What `net` says when a connection cannot be accepted; without a listener it ends the process.
  const full = Object.assign(new Error("accept EMFILE"), { code: "EMFILE" });
  for (let i = 0; i < 3; i++) {
    assert.equal(node.server.emit("error", full), true);
  }
  await node.stop();
});

test("room that a gang had begun to make in one zone does not keep it from making room in another", () => {
  const h = gpuMachines(["m1a", "m2b", "m3b"]);
  for (const m of ["m1a", "m2b", "m3b"]) {
    h.submit(gpu(`low-${m}`, { kind: "array", priority: "low", zone: m.at(-1)! }));
  }
  for (let i = 0; i < 3; i++)
    h.answerRequest([taskStatus(h.unansweredRequests[0]!.commands[0]!.job, 0, 1)]);
  h.submit(gpu("gang", { tasks: 2, oneZone: true, priority: "high" }));
  const job = h.scheduler.cluster.jobs.get("gang")!;
  const until = h.now + 100;
  h.scheduler.cluster.machines.get("m1a")!.reservation = { job, until, held: false };
  h.takeTrace();
  for (let i = 0; i < 4; i++) {
    for (const m of ["m1a", "m2b", "m3b"])
      h.receiveHeartbeatOnly(m, [taskStatus(`low-${m}`, 0, 1)]);
    h.tick(1);
  }
  assert.equal(job.reservedZone, "b");
  assert.match(h.takeTrace(), /send m[23]b: stop low-m[23]b/);
});
