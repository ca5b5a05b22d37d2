/**
 * Network failures: machines whose messages pass in one direction only, late copies of heartbeats, and zones that are
 * cut off from the leader.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LeaseExtension } from "../src/core/leadership/lease-extension.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { leaderWithTwoMachines, TestLeader } from "./support/test-leader.js";

test("a machine that sends heartbeats but receives nothing gets no new tasks and is released", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j"));
  leader.answerRequest(null);
  leader.takeTrace();
  leader.unreachableMachines.add("m1a");
  leader.submit(jobSpec("k"));
  assert.match(leader.takeTrace(), /write p\/k done= at=\[\["m2b"/);
  leader.answerRequest([taskStatus("k", 0, 1)]);
  for (let step = 0; step < 8; step++) {
    leader.receiveHeartbeat("m1a", []);
    leader.receiveHeartbeat("m2b", [taskStatus("k", 0, 1)]);
    while (leader.unansweredRequests.length > 0) leader.answerRequest(null);
    leader.tick(1);
  }
  const trace = leader.takeTrace();
  assert.match(trace, /cloud return m1a/);
  // Until the cloud has released the machine, the unanswered start may still arrive there.
  assert.equal(/m2b: start j/.test(trace), false);
  leader.performEffects(leader.scheduler.releaseAnswered(["m1a"], true, leader.now));
  leader.tick();
  assert.match(leader.takeTrace(), /send m2b: start j\/0#2/);
});

test("a machine that answers direct requests but whose heartbeats reach no controller gets no new tasks", () => {
  // Without this rule each task on the machine ran until the worker's lease expired, and was placed there again.
  const leader = leaderWithTwoMachines();
  for (let step = 0; step < 16; step++) {
    leader.performEffects(
      leader.scheduler.probeAnswered("m1a", leader.makeHeartbeat("m1a", []), leader.now),
    );
    leader.receiveHeartbeat("m2b", []);
    leader.tick(0.85);
  }
  leader.submit(jobSpec("j", { cpus: 4 }));
  leader.submit(jobSpec("k", { cpus: 4 }));
  leader.takeTrace();
  const machinesOf = (id: string) =>
    [...leader.scheduler.cluster.jobs.get(id)!.placements.values()].map(
      (placement) => placement.machine.name,
    );
  assert.deepEqual([machinesOf("j"), machinesOf("k")], [["m2b"], []]);
  // The machine is used again as soon as one of its heartbeats arrives.
  leader.receiveHeartbeat("m1a", []);
  leader.tick();
  assert.deepEqual(machinesOf("k"), ["m1a"]);
});

test("tasks of a machine whose lease expired although its heartbeats were answered are placed again", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j"));
  leader.answerRequest([taskStatus("j", 0, 1)]);
  leader.takeTrace();
  // The worker received none of the answers, so it killed its tasks and began a new incarnation.
  leader.receiveHeartbeat("m1a", [], { incarnation: 2 });
  assert.match(leader.takeTrace(), /write p\/j done= at=\[\["m..",\d,2,"0"\]\]/);
});

test("a late copy of a heartbeat to the same leader renews no lease and changes no task", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j"));
  leader.answerRequest([taskStatus("j", 0, 1)]);
  const lateCopy = leader.makeHeartbeat("m1a", []);
  leader.receiveHeartbeat("m1a", [taskStatus("j", 0, 1)]);
  const machine = leader.scheduler.cluster.machines.get("m1a")!;
  const { lastMessageAt: lastHeard, leaseRenewedAt: lastRenewed } = machine;
  leader.now += 2;
  leader.takeTrace();
  const { commands, effects } = leader.scheduler.handleHeartbeat(lateCopy, leader.now);
  assert.deepEqual([commands, effects], [[], []]);
  assert.deepEqual([machine.lastMessageAt, machine.leaseRenewedAt], [lastHeard, lastRenewed]);
  leader.scheduler.recordGracePeriodAnswer(lateCopy, leader.now);
  assert.deepEqual([machine.lastMessageAt, machine.leaseRenewedAt], [lastHeard, lastRenewed]);
  assert.equal(machine.placements.size, 1);
});

test("a late copy from an earlier incarnation neither restores nor completes its tasks", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("j", { tasks: 1, checkpointS: 5 }));
  leader.answerRequest([taskStatus("j", 0, 1)]);
  const lateCopy = leader.makeHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "done")]);
  leader.receiveHeartbeat("m1a", [], { incarnation: 2 });
  leader.takeTrace();
  leader.scheduler.handleHeartbeat(lateCopy, leader.now);
  leader.tick();
  assert.equal(/d\/j/.test(leader.takeTrace()), false);
});

test("a successor neither frees a placement nor sends a start because of a late copy with an older token", () => {
  const former = leaderWithTwoMachines();
  former.submit(jobSpec("j"));
  former.answerRequest([taskStatus("j", 0, 1)]);
  const lateCopy = former.makeHeartbeat("m1a", []);
  const leader = new TestLeader({ replica: former.replica, epoch: 2, now: former.now });
  leader.epoch = 2;
  leader.takeTrace();
  const { commands } = leader.scheduler.handleHeartbeat(lateCopy, leader.now);
  assert.deepEqual(commands, []);
  leader.submit(jobSpec("k"));
  const trace = leader.takeTrace();
  assert.equal(/start/.test(trace), false);
  assert.equal(leader.scheduler.cluster.machines.get("m1a")!.placements.size, 1);
});

test("a late copy from a released machine does not add the machine again", () => {
  const leader = leaderWithTwoMachines();
  const lateCopy = leader.makeHeartbeat("m1a", []);
  leader.performEffects(leader.scheduler.releaseAnswered(["m1a"], true, leader.now));
  leader.takeTrace();
  leader.scheduler.handleHeartbeat(lateCopy, leader.now);
  leader.submit(jobSpec("j"));
  assert.match(leader.takeTrace(), /at=\[\["m2b"/);
  assert.equal(leader.scheduler.cluster.machines.has("m1a"), false);
});

test("machines of a zone that is cut off are kept, and an unresponsive machine of another zone is released", () => {
  const leader = new TestLeader();
  const names = [..."123456789"].flatMap((index) => [`m${index}a`, `m${index}b`]);
  for (const machine of names) leader.receiveHeartbeat(machine, []);
  leader.takeTrace();
  const live = names.filter((machine) => machine.endsWith("a") && machine !== "m1a");
  leader.unreachableMachines.add("m1a");
  for (const machine of names) if (machine.endsWith("b")) leader.unreachableMachines.add(machine);
  for (let step = 0; step < 8; step++) {
    for (const machine of live) leader.receiveHeartbeat(machine, []);
    leader.tick(1);
  }
  const returned = [...leader.takeTrace().matchAll(/cloud return (.*)/g)].map((match) => match[1]);
  assert.deepEqual([...new Set(returned)], ["m1a"]);
});

test("a node that is cut off with its zone extends leases for a bounded time, and only after long contact", () => {
  // A lease of 21 s, contact at least every 2 s, and extensions for at most 126 s.
  const extension = new LeaseExtension(21, 2, 126);
  const recordContacts = (from: number, to: number): void => {
    for (let second = from; second <= to; second++) extension.recordContact(second);
  };
  recordContacts(0, 15);
  assert.equal(extension.mayExtendLeases(20), false, "the contact was too short");
  recordContacts(20, 60);
  assert.equal(extension.mayExtendLeases(61), false, "still in contact");
  assert.equal(extension.mayExtendLeases(63), true);
  assert.equal(extension.mayExtendLeases(185), true);
  assert.equal(extension.mayExtendLeases(187), false, "cut off for longer than the limit");
  // After a short contact no leases are extended, so that a worker that cannot reach the leader loses its lease.
  recordContacts(190, 200);
  assert.equal(extension.mayExtendLeases(205), false);
});

test("in a cut-off zone array tasks move after one lease, service tasks once no node can extend their leases", () => {
  const leader = new TestLeader({
    gracePeriodS: 0,
    leaseExtensionS: 60,
    controllersPerZone: new Map([["b", 1]]),
  });
  for (const machine of ["m1a", "m2a", "m3b", "m4b", "m5b"]) leader.receiveHeartbeat(machine, []);
  leader.submit(jobSpec("web", { kind: "service", cpus: 4, zone: "b" }));
  leader.submit(jobSpec("j", { cpus: 4, zone: "b" }));
  while (leader.unansweredRequests.length > 0) {
    const command = leader.unansweredRequests[0]!.commands[0]!;
    leader.answerRequest([taskStatus(command.job, command.task, 1)]);
  }
  const machineOf = (job: string): string =>
    [...leader.scheduler.cluster.jobs.get(job)!.placements.values()][0]?.machine.name ?? "";
  const [webMachine, arrayMachine] = [machineOf("web"), machineOf("j")];
  const startedAt = leader.now;
  const moveTimes = new Map<string, number>();
  for (const machine of ["m3b", "m4b", "m5b"]) leader.unreachableMachines.add(machine);
  for (let step = 0; step < 400 && moveTimes.size < 2; step++) {
    for (const machine of ["m1a", "m2a"]) leader.receiveHeartbeat(machine, []);
    leader.tick(0.7);
    if (machineOf("web") !== webMachine && !moveTimes.has("web"))
      moveTimes.set("web", leader.now - startedAt);
    if (machineOf("j") !== arrayMachine && !moveTimes.has("j"))
      moveTimes.set("j", leader.now - startedAt);
  }
  const movedAfterS = (job: string): number => moveTimes.get(job) ?? Number.NaN;
  assert.ok(
    movedAfterS("j") > 21 && movedAfterS("j") < 26,
    `array moved after ${movedAfterS("j")} s`,
  );
  // The node in the zone extends leases for 60 s, beginning up to one lease after its last contact.
  assert.ok(
    movedAfterS("web") > 21 + 60 + 21 && movedAfterS("web") < 115,
    `service task moved after ${movedAfterS("web")} s`,
  );
});

test("ran_cancelled: an unreachable machine is released when a task on it is cancelled", () => {
  // Without this rule tasks whose leases were extended in a cut-off zone outlived their cancellation by minutes.
  const leader = new TestLeader({ leaseExtensionS: 126, controllersPerZone: new Map([["b", 1]]) });
  const unreachable = ["m2b", "m3b", "m4b", "m5b"];
  const reachable = ["m1a", "m6a", "m7a"];
  for (const machine of [...reachable, ...unreachable]) leader.receiveHeartbeat(machine, []);
  leader.submit(jobSpec("web", { kind: "service", zone: "b" }));
  leader.answerRequest([taskStatus("web", 0, 1)]);
  const taskMachine = [...leader.scheduler.cluster.jobs.get("web")!.placements.values()][0]!.machine
    .name;
  for (const machine of unreachable) leader.unreachableMachines.add(machine);
  for (let step = 0; step < 5; step++) {
    for (const machine of reachable) leader.receiveHeartbeat(machine, []);
    leader.tick(0.8);
  }
  assert.equal(/cloud return/.test(leader.takeTrace()), false);
  leader.cancel("web");
  while (leader.unansweredRequests.length > 0) leader.answerRequest(null);
  for (let step = 0; step < 2; step++) {
    for (const machine of reachable) leader.receiveHeartbeat(machine, []);
    leader.tick(0.8);
  }
  assert.match(leader.takeTrace(), new RegExp(`cloud return ${taskMachine}`));
});

test("ran_cancelled: a job is reported as cancelled only when every task is proven gone", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("web", { kind: "service" }));
  leader.answerRequest([taskStatus("web", 0, 1)]);
  leader.cancel("web");
  assert.equal(leader.replica.view("web")?.state, "running");
  leader.answerRequest([taskStatus("web", 0, 1, "exited", "stopped")]);
  assert.equal(leader.replica.view("web")?.state, "cancelled");
  assert.match(leader.takeTrace(), /d\/web cancelled/);
});
