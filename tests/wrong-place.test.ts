/** The rule `wrong_place`: a task is where its job allows it, given the job's other tasks at that moment. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { planScaleOut } from "../src/core/capacity/scaling.js";
import { canEverRun } from "../src/core/jobs/feasibility.js";
import type { JobKind, JobSpec } from "../src/core/model/jobs.js";
import type { StateReplica } from "../src/core/state/state-replica.js";
import { decodeJob } from "../src/wire/schema.js";
import {
  jobBody,
  jobSpec,
  leaderWithTwoMachines,
  MACHINE_TYPES,
  SimulatedWorkers,
  TestLeader,
  taskStatus,
} from "./support/helpers.js";
import { CONSTRAINTS, type Constraint, placeFaults, without } from "./support/placement-checker.js";
import { ProtocolRuleChecker } from "./support/protocol-rule-checker.js";
import { clusterForJob } from "./support/simulated-clusters.js";
import { Simulation } from "./support/simulation.js";

const BINDING: Record<Constraint, Partial<JobSpec>> = {
  types: { types: ["big"], tasks: 3 },
  zone: { zone: "c", tasks: 3 },
  spot: { spot: false, tasks: 3 },
  oneZone: { oneZone: true, tasks: 5 },
  spread: { spread: true, tasks: 5 },
};
const KINDS: readonly JobKind[] = ["array", "gang", "service"];

/** Plays one sort of job on a site of 18 machines; the leader may be told of it without a constraint. */
function play(seed: number, job: Partial<JobSpec>, ignored: Constraint | null): Simulation {
  const seen = (s: JobSpec): JobSpec => (ignored === null ? s : without(s, ignored));
  const w = new Simulation(seed, seen, clusterForJob(job));
  for (let i = 0; i < 300 && w.violations.length === 0; i++) w.step();
  return w;
}

for (const kind of KINDS) {
  for (const constraint of CONSTRAINTS) {
    test(`the checks find a planner that knows nothing of ${constraint}: ${kind}`, () => {
      const job = { ...BINDING[constraint], kind };
      const found = new Set<string>();
      for (let seed = 1; seed <= 8 && found.size === 0; seed++) {
        for (const b of play(seed, job, constraint).violations) found.add(b.rule);
      }
      assert.deepEqual([...found], ["wrong_place"]);
    });
    test(`wrong_place: ${constraint} holds for a ${kind}`, () => {
      for (let seed = 1; seed <= 8; seed++) {
        const w = play(seed, { ...BINDING[constraint], kind }, null);
        assert.deepEqual(w.violations, [], w.trace.slice(-30).join("\n"));
        assert.ok(w.startCount > 0);
      }
    });
  }
}

test("the checker of places counts by itself", () => {
  const at = (zone: string, type = "small", spot = false) => ({ machine: "m", type, zone, spot });
  const names = (s: Partial<JobSpec>, here: ReturnType<typeof at>, others = [at("a")]): string[] =>
    placeFaults(jobSpec("j", { tasks: 5, ...s }), here, others).map((f) => f.constraint);
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
const startedIn = (h: TestLeader, job: string): string[] =>
  h.unansweredRequests.flatMap((o) =>
    o.commands.filter((c) => c.op === "start" && c.job === job).map(() => zoneOf(o.machine)),
  );

test("wrong_place: an array that must be in one zone is placed in one zone by one pass", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j", { tasks: 6, oneZone: true }));
  // Four fit each machine. Two waited in the same pass for the machine in the other zone.
  const zones = startedIn(h, "j");
  assert.equal(zones.length, 4);
  assert.equal(new Set(zones).size, 1);
});

test("wrong_place: a service that must be in one zone goes where all of it fits", () => {
  const h = leaderWithTwoMachines();
  h.receiveHeartbeat("m3b", []);
  h.submit(jobSpec("j", { tasks: 6, kind: "service", oneZone: true, spot: false }));
  assert.deepEqual(startedIn(h, "j"), ["b", "b", "b", "b", "b", "b"]);
});

test("wrong_place: what an older leader placed in two zones is not started by a newer one", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("j", { tasks: 6, cpus: 1 }));
  assert.equal(new Set(startedIn(old, "j")).size, 2);
  // As the version before stored a job that must be in one zone.
  const stored = old.replica.activeJobs.get("j")!;
  const job = { ...stored.value.j, oneZone: true };
  const value = { ...stored.value, j: job };
  store(old.replica, "p/j", value);
  const h = new TestLeader({ records: old.replica, epoch: 2, now: old.now });
  h.epoch = 2;
  // What stands in one zone runs; of what stands in the other no start has arrived.
  const placed = [...h.scheduler.cluster.jobs.get("j")!.placements.values()];
  const running = placed.filter((p) => zoneOf(p.machine.name) === "a");
  const tasks = running.map((p) => taskStatus("j", p.task, p.attempt));
  assert.ok(running.length > 0 && running.length < placed.length);
  // A successor sends nothing by itself for a while.
  for (let i = 0; i < 6; i++) {
    h.receiveHeartbeat("m1a", tasks);
    h.receiveHeartbeat("m2b", []);
    h.tick(2);
  }
  assert.deepEqual(startedIn(h, "j"), [], h.takeTrace());
});

test("wrong_place: tasks that run in two zones are brought back to one, and the rest follows", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("j", { tasks: 7, cpus: 1, kind: "service" }));
  const stored = old.replica.activeJobs.get("j")!;
  const value = { ...stored.value, j: { ...stored.value.j, oneZone: true, tasks: 8 } };
  store(old.replica, "p/j", value);
  const h = new TestLeader({ records: old.replica, epoch: 2, now: old.now });
  h.epoch = 2;
  const on = [...h.scheduler.cluster.jobs.get("j")!.placements.values()];
  for (const m of ["m1a", "m2b"]) {
    const here = on.filter((p) => p.machine.name === m);
    h.receiveHeartbeat(
      m,
      here.map((p) => taskStatus("j", p.task, p.attempt)),
    );
  }
  for (let i = 0; i < 4; i++) h.tick();
  const stopped = h.unansweredRequests.flatMap((o) =>
    o.commands.filter((c) => c.op === "stop").map(() => o.machine),
  );
  assert.equal(new Set(stopped).size, 1, h.takeTrace());
  assert.deepEqual(startedIn(h, "j"), []);
});

test("wrong_place: a task that turns up between placement and start keeps the start back", () => {
  const h = leaderWithTwoMachines();
  h.isStoreAvailable = false;
  h.submit(jobSpec("j", { tasks: 1, oneZone: true }));
  const [p] = h.scheduler.cluster.jobs.get("j")!.placements.values();
  const here = p!.machine.name;
  const other = here === "m1a" ? "m2b" : "m1a";
  h.receiveHeartbeat(other, [taskStatus("j", 0, 7)]);
  h.isStoreAvailable = true;
  h.tick();
  assert.deepEqual(startedIn(h, "j"), []);
  assert.equal(h.scheduler.cluster.jobs.get("j")!.placements.size, 0);
});

test("ran_twice: a task of which an unrecorded attempt runs is not placed elsewhere", () => {
  const h = leaderWithTwoMachines();
  h.isStoreAvailable = false;
  h.submit(jobSpec("j", { tasks: 1, cpus: 4 }));
  h.receiveHeartbeat("m2b", [taskStatus("k", 0, 1)]);
  const [p] = h.scheduler.cluster.jobs.get("j")!.placements.values();
  const other = p!.machine.name === "m1a" ? "m2b" : "m1a";
  h.receiveHeartbeat(other, [taskStatus("j", 0, 7)]);
  h.isStoreAvailable = true;
  const job = h.scheduler.cluster.jobs.get("j")!;
  for (let i = 0; i < 6; i++) {
    h.tick();
    assert.equal(job.placements.size, 0, h.takeTrace());
    assert.deepEqual([job.pendingCount, ...job.pendingTasks()], [0]);
  }
  assert.deepEqual(startedIn(h, "j"), []);
  // It ends: now there is no doubt, and the task is placed once more.
  h.unansweredRequests.splice(0);
  h.receiveHeartbeat(other, [taskStatus("j", 0, 7, "exited", "stopped")]);
  for (let i = 0; i < 4; i++) h.tick();
  assert.equal(startedIn(h, "j").length, 1, h.takeTrace());
});

test("quota: a start is kept back while unrecorded tasks take its team over the limit", () => {
  const h = leaderWithTwoMachines();
  h.receiveHeartbeat("m3a", []);
  h.receiveHeartbeat("m4b", []);
  h.receiveHeartbeat("m5a", [], { type: "big" });
  h.submit(jobSpec("old", { tasks: 1, cpus: 4, kind: "service" }));
  h.unansweredRequests.splice(0);
  h.isStoreAvailable = false;
  // 16 CPUs are the limit, and 4 of them are in use.
  h.submit(jobSpec("j", { tasks: 3, cpus: 4 }));
  assert.equal(h.scheduler.cluster.usageOf("vision").cpus, 16);
  h.receiveHeartbeat("m5a", [taskStatus("old", 0, 9)], { type: "big" });
  assert.equal(h.scheduler.cluster.usageOf("vision").cpus, 20);
  h.isStoreAvailable = true;
  h.flushWrites();
  assert.equal(startedIn(h, "j").length, 2, h.takeTrace());
});

test("wrong_place: a worker's own report corrects what is known of its machine", () => {
  const h = leaderWithTwoMachines();
  const request = { type: "small", zone: "a", spot: false, count: 1 };
  h.scheduler.scaleOutAnswered(request, { kind: "provisioned", machines: ["m9b"] }, h.now);
  const m = h.scheduler.cluster.machines.get("m9b")!;
  assert.equal(m.zone, "a");
  h.receiveHeartbeat("m9b", [], { type: "big", zone: "b", spot: true });
  assert.deepEqual([m.type.name, m.zone, m.spot], ["big", "b", true]);
  // The list is the cloud's word, and may be old: the worker's stands.
  const listed = { name: "m9b", address: "m9b:9000", state: "running", ageS: 30 } as const;
  h.scheduler.machineListAnswered([{ ...listed, type: "small", zone: "a", spot: false }], h.now);
  assert.deepEqual([m.type.name, m.zone, m.spot], ["big", "b", true]);
  const records = [...h.replica.machineShards.values()].map((g) => g.value.m9b);
  assert.deepEqual(records, [["m9b:9000", "big", "b", true]]);
});

test("wrong_place: a machine proves to be elsewhere between placement and start", () => {
  const h = leaderWithTwoMachines();
  h.isStoreAvailable = false;
  h.submit(jobSpec("j", { tasks: 1, zone: "a" }));
  const [p] = h.scheduler.cluster.jobs.get("j")!.placements.values();
  assert.equal(p!.machine.name, "m1a");
  h.receiveHeartbeat("m1a", [], { zone: "b" });
  h.isStoreAvailable = true;
  h.flushWrites();
  assert.deepEqual(startedIn(h, "j"), []);
  const records = [...h.replica.machineShards.values()].map((g) => g.value.m1a);
  assert.deepEqual(records, [["m1a:9000", "small", "b", false]]);
});

test("wrong_place: a task on a machine without a record may be in any zone", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("s", { tasks: 3, kind: "service", spread: true, spot: false }));
  old.submit(jobSpec("z", { tasks: 6, oneZone: true }));
  for (const [n, g] of old.replica.machineShards) {
    const value = Object.fromEntries(Object.entries(g.value).filter(([name]) => name !== "m1a"));
    store(old.replica, `g/${n}`, value);
  }
  const h = new TestLeader({ records: old.replica, epoch: 2, now: old.now });
  h.epoch = 2;
  h.receiveHeartbeat("m2b", []);
  h.receiveHeartbeat("m3b", []);
  for (let i = 0; i < 20; i++) h.tick();
  const m1a = h.scheduler.cluster.machines.get("m1a")!;
  assert.equal(m1a.zone, "");
  for (const job of ["s", "z"]) {
    const here = [...h.scheduler.cluster.jobs.get(job)!.placements.values()];
    const onUnknown = here.filter((p) => p.machine === m1a).length;
    const started = startedIn(h, job).length;
    const most = job === "s" ? 2 : 0;
    assert.ok(onUnknown === 0 || onUnknown + started <= most, `${job}: ${onUnknown}, ${started}`);
  }
});

test("a service whose zone has no room for the rest of it moves as a whole", () => {
  const h = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b", "m4b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(h, types, () => 1e9);
  workers.runFor(4);
  h.submit(jobSpec("first", { tasks: 2, kind: "service", team: "maps", zone: "b", spot: false }));
  h.submit(jobSpec("s", { tasks: 8, kind: "service", team: "maps", oneZone: true, spot: false }));
  workers.runFor(8);
  const zonesNow = (): Set<string> =>
    new Set([...h.scheduler.cluster.jobs.get("s")!.placements.values()].map((p) => p.machine.zone));
  assert.deepEqual(zonesNow(), new Set(["b"]));
  // Two of the zone's three machines are lost, and four come up in the other zone.
  workers.crashMachine("m3b");
  workers.crashMachine("m4b");
  workers.addMachine("m5a", "small");
  workers.addMachine("m6a", "small");
  workers.runFor(150);
  assert.deepEqual(zonesNow(), new Set(["a"]));
  assert.equal(h.scheduler.cluster.jobs.get("s")!.pendingCount, 0);
  assert.deepEqual(workers.duplicateStarts, []);
});

test("a service stays and waits where no other zone takes all of it", () => {
  const h = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(h, types, () => 1e9);
  workers.runFor(4);
  h.submit(jobSpec("s", { tasks: 8, kind: "service", team: "maps", oneZone: true, spot: false }));
  workers.runFor(8);
  workers.crashMachine("m3b");
  workers.runFor(150);
  const placed = [...h.scheduler.cluster.jobs.get("s")!.placements.values()];
  assert.deepEqual(new Set(placed.map((p) => p.machine.zone)), new Set(["b"]));
  assert.equal(placed.length, 4);
});

test("a service that waits for its team's limit does not move", () => {
  const h = new TestLeader();
  const types = new Map(["m1a", "m2a", "m3a", "m4b", "m5b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(h, types, () => 1e9);
  workers.runFor(4);
  const service = { kind: "service", spot: false } as const;
  h.submit(jobSpec("first", { ...service, tasks: 10, zone: "a" }));
  h.submit(jobSpec("full-a", { ...service, tasks: 2, zone: "a", team: "maps" }));
  h.submit(jobSpec("full-b", { ...service, tasks: 2, zone: "b", team: "maps" }));
  workers.runFor(4);
  // Of the team's 16 CPUs 10 are in use: six replicas of seven run, and fill their zone.
  h.submit(jobSpec("s", { ...service, tasks: 7, oneZone: true }));
  workers.runFor(4);
  workers.addMachine("m6a", "small");
  workers.addMachine("m7a", "small");
  workers.runFor(150);
  assert.equal(workers.starts.filter((x) => x.job === "s").length, 6);
  assert.equal(h.scheduler.cluster.jobs.get("s")!.placements.size, 6);
});

test("room is gathered for a spread gang on free machines, though others come first", () => {
  const h = new TestLeader();
  const names = ["m1a", "m2a", "m3a", "m4a", "m5b", "m6b", "m7b", "m8b"];
  for (const name of names) h.receiveHeartbeat(name, [], { type: "big" });
  const wide = { team: "maps", class: "gpu", cpus: 6, gpus: 4, types: ["big"] };
  for (const zone of ["a", "b"]) {
    for (const n of [1, 2, 3]) {
      h.submit(jobSpec(`now${n}${zone}`, { ...wide, zone, kind: "gang", priority: "high" }));
    }
  }
  while (h.unansweredRequests.length > 0) {
    const start = h.unansweredRequests[0]!.commands[0]!;
    h.answerRequest([taskStatus(start.job, 0, start.attempt)]);
  }
  h.submit(jobSpec("g", { ...wide, tasks: 4, spread: true, kind: "gang", priority: "high" }));
  for (let i = 0; i < 4; i++) h.tick(0.3);
  const held = [...h.scheduler.cluster.machines.values()].filter(
    (m) => m.reservation?.job.spec.id === "g",
  );
  assert.equal(held.length, 2);
});

test("room is rented and made where a job's other tasks allow it", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j", { tasks: 6, oneZone: true, spot: false, team: "maps" }));
  const job = h.scheduler.cluster.jobs.get("j")!;
  const bound = job.zones.mainZone;
  for (let i = 0; i < 8; i++) {
    const rental = planScaleOut(
      {
        cluster: h.scheduler.cluster,
        settings: clusterForJob({}).settings,
        types: MACHINE_TYPES,
        now: h.now,
        capacityBackoffUntil: new Map(),
        spareRatio: 0,
        maxMachines: 50,
        // The other zone has the fewest machines, so it is preferred where both will do.
        machinesByZone: new Map([[bound!, 1000]]),
        lateBootsByOffer: new Map(),
      },
      [job],
      [],
    );
    assert.equal(rental?.zone, bound);
    h.tick();
  }
});

test("room is made in the zone of a job's other tasks", () => {
  const h = new TestLeader();
  const types = new Map(["m1a", "m2b", "m3b"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(h, types, () => 1e9);
  workers.runFor(4);
  h.submit(jobSpec("low", { tasks: 11, priority: "low", team: "maps" }));
  workers.runFor(4);
  // One machine has a free place for one task; the rest of the job needs room in that zone.
  h.submit(jobSpec("s", { tasks: 3, kind: "service", priority: "production", oneZone: true }));
  const job = h.scheduler.cluster.jobs.get("s")!;
  const bound = job.zones.mainZone;
  workers.runFor(20);
  assert.equal(job.placements.size, 3);
  assert.deepEqual(new Set(workers.stops.map((x) => zoneOf(x.machine))), new Set([bound]));
});

test("a successor stops what is left of a gang that had lost tasks", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("g", { kind: "gang", tasks: 6, spread: true }));
  for (const _ of [0, 1]) {
    const o = old.unansweredRequests[0]!;
    old.answerRequest(
      o.commands.filter((c) => c.op === "start").map((c) => taskStatus("g", c.task, c.attempt)),
    );
  }
  // One machine's session ends; its tasks are stored as gone, and the leader ends before it has stopped the rest.
  old.receiveHeartbeat("m1a", [], { incarnation: 2 });
  const h = new TestLeader({ records: old.replica, epoch: 2, now: old.now });
  h.epoch = 2;
  const left = [...h.scheduler.cluster.jobs.get("g")!.placements.values()];
  assert.equal(left.length, 3);
  h.receiveHeartbeat(
    "m2b",
    left.map((p) => taskStatus("g", p.task, p.attempt)),
  );
  assert.match(h.takeTrace(), /stop g\/\d#1/);
});

test("422: a gang that is to be spread and may be in one zone only can never run", () => {
  const { settings, types } = clusterForJob({});
  const gang = jobSpec("g", { kind: "gang", tasks: 4, spread: true });
  assert.equal(canEverRun(gang, settings, types), true);
  assert.equal(canEverRun({ ...gang, zone: "a" }, settings, types), false);
  assert.equal(canEverRun({ ...gang, kind: "array", zone: "a" }, settings, types), true);
  assert.equal(canEverRun({ ...gang, types: [] }, settings, types), false);
  assert.equal(canEverRun({ ...gang, zone: "nowhere" }, settings, types), false);
});

test("constraints arrive as they were sent", () => {
  const of = (change: Record<string, unknown>) => decodeJob(jobBody(change));
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

test("the log of what processes did tells a task in a wrong place", () => {
  const log = new ProtocolRuleChecker();
  log.addMachine({ machine: "m1", type: "small", zone: "a", spot: false });
  log.addMachine({ machine: "m2", type: "small", zone: "b", spot: true });
  log.jobSubmitted(jobSpec("j", { tasks: 2, oneZone: true, spot: false }));
  log.taskChanged("j/0", "m1", true, null);
  assert.equal(log.violations.length, 0);
  log.taskChanged("j/1", "m2", true, null);
  assert.deepEqual(
    log.violations.map((f) => f.slice(0, 15)),
    ["wrong_place: j/", "wrong_place: j/"],
  );
});
