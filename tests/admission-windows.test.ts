/** Windows over time: when admission is limited and open again, and that every class makes progress under overload. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AdmissionControl,
  type AdmissionWindow,
  type ClassUsage,
  decodeWindow,
  FairQueue,
  isLimiting,
  type LoggedDecision,
  NO_RESOURCES,
  type PlannerInput,
  resourcesOf,
  WindowPlanner,
} from "../src/admission/index.js";
import { DEFAULT_OPERATOR_SETTINGS, decodeOperatorSettings } from "../src/config/operator.js";
import type { JobSpec, Team } from "../src/core/model.js";
import { decodeSettings } from "../src/wire/settings.js";
import { AdmissionModel } from "./support/admission-model.js";
import { jobSpec, settingsText, TestLeader } from "./support/helpers.js";

const WINDOW_S = 3;
const RUN_S = 10;
const CPUS = 100;
const TEAMS: Team[] = [
  { name: "bookings", cpus: 40, cpusMax: 0, gpus: 0, gpusMax: 0 },
  { name: "guest", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
];

/** Jobs of one class that come at some rate, and what became of them. */
interface Source {
  readonly job: JobSpec;
  readonly everyS: number;
}

interface Submitted {
  readonly spec: JobSpec;
  readonly at: number;
  admittedAt: number | null;
  /** CPU seconds that are left of it. */
  left: number;
}

/** Sources submit and retry; a cluster of a fixed size serves the classes in equal parts, oldest job first. */
class Overload {
  readonly model = new AdmissionModel(3);
  readonly jobs: Submitted[] = [];
  readonly windows: AdmissionWindow[] = [];
  private readonly planner = new WindowPlanner(WINDOW_S);
  private refused = new Map<string, { job: JobSpec; jobs: number }>();
  private refusedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly sources: readonly Source[],
    public cpus = CPUS,
  ) {}

  run(from: number, to: number, sources = this.sources): void {
    for (let now = from; now < to; now++) {
      for (const [i, source] of sources.entries()) {
        if (now % source.everyS >= 1) continue;
        const perSecond = Math.max(1, Math.round(1 / source.everyS));
        for (let n = 0; n < perSecond; n++) this.arrive(source, `${i}-${now}-${n}`, now);
      }
      this.retry(now);
      this.serve();
      this.plan(now);
    }
  }

  private arrive(source: Source, name: string, now: number): void {
    const job = { ...source.job, id: name };
    const left = job.cpus * job.tasks * RUN_S;
    this.jobs.push({ spec: job, at: now, admittedAt: null, left });
  }

  private retry(now: number): void {
    for (const [n, j] of this.jobs.entries()) {
      if (j.admittedAt !== null || (now - j.at) % WINDOW_S !== 0) continue;
      if (this.model.submit(n % 3, j.spec, "answered") === "accepted") j.admittedAt = now;
      else this.note(j.spec, now);
    }
  }

  private note(job: JobSpec, now: number): void {
    const before = this.refused.get(job.class);
    this.refused.set(job.class, { job, jobs: (before?.jobs ?? 0) + 1 });
    this.refusedAt = now;
  }

  private serve(): void {
    const running = this.jobs.filter((j) => j.admittedAt !== null && j.left > 0);
    const classes = [...new Set(running.map((j) => j.spec.class))];
    for (const name of classes) {
      let cpus = this.cpus / classes.length;
      for (const j of running) {
        if (j.spec.class !== name) continue;
        const given = Math.min(cpus, j.left, j.spec.cpus * j.spec.tasks);
        j.left -= given;
        cpus -= given;
      }
    }
  }

  private usages(): ClassUsage[] {
    const names = [...new Set(this.jobs.map((j) => j.spec.class))];
    return names.map((name) => {
      const own = this.jobs.filter((j) => j.spec.class === name);
      const cpus = own
        .filter((j) => j.admittedAt !== null)
        .reduce((sum, j) => sum + j.left / RUN_S, 0);
      const { team } = own[0]!.spec;
      const refused = this.refused.get(name);
      return {
        team,
        class: name,
        production: false,
        unfinished: { ...NO_RESOURCES, cpus },
        refused:
          refused === undefined
            ? NO_RESOURCES
            : resourcesOf(refused.job, refused.jobs * refused.job.tasks),
        weight: 1,
      };
    });
  }

  private plan(now: number): void {
    const input: PlannerInput = {
      capacity: { cpus: this.cpus, gpus: 0, memoryGb: 1e6 },
      growing: false,
      teams: TEAMS,
      teamWeights: new Map(),
      classes: this.usages(),
      queueRatio: 2,
      periods: [],
      maxBytes: 4096,
    };
    const stored = this.windows.at(-1) ?? null;
    const refusing = now - this.refusedAt < 2 * WINDOW_S;
    const next = this.planner.nextWindow({
      now,
      stored,
      epoch: 1,
      hasRecentRejections: refusing,
      input,
    });
    if (next === null) return;
    this.model.writeWindow(() => next);
    for (let i = 0; i < 3; i++) this.model.read(i);
    this.windows.push(next);
    this.planner.markWritten(now);
    this.refused = new Map();
  }

  worstWaitS(className: string, until: number): number {
    const own = this.jobs.filter((j) => j.spec.class === className);
    return Math.max(...own.map((j) => (j.admittedAt ?? until) - j.at));
  }

  servedCpuSeconds(className: string): number {
    const own = this.jobs.filter((j) => j.spec.class === className);
    return own.reduce((sum, j) => sum + j.spec.cpus * j.spec.tasks * RUN_S - j.left, 0);
  }
}

const SMALL: Source = {
  job: jobSpec("small", { team: "guest", class: "small", cpus: 10 }),
  everyS: 0.25,
};
const HUGE: Source = {
  job: jobSpec("huge", { team: "bookings", class: "huge", kind: "gang", tasks: 150 }),
  everyS: 30,
};

test("below overload nothing is written and nothing refused", () => {
  const load = new Overload([
    { ...SMALL, everyS: 2 },
    { ...HUGE, everyS: 60 },
  ]);
  load.run(0, 300);
  assert.equal(load.windows.length, 0);
  assert.ok(load.jobs.every((j) => j.admittedAt === j.at));
});

test("a class of huge jobs beside four small ones a second: both make progress within a bound", () => {
  const load = new Overload([SMALL, HUGE]);
  load.run(0, 600);
  assert.equal(load.windows.at(-1)?.mode, "limited");
  // The class's whole share drains one huge job in 150 * 10 / 50 s; the next window admits the next one.
  const bound = (150 * RUN_S) / (CPUS / 2) + 2 * WINDOW_S;
  assert.ok(
    load.worstWaitS("huge", 600) <= bound,
    `${load.worstWaitS("huge", 600)} s of ${bound} s`,
  );
  // It arrives with 50 CPUs' worth, which is its share; the rest is the flood's.
  const whole = 600 * CPUS;
  assert.ok(load.servedCpuSeconds("huge") >= 0.4 * whole);
  assert.ok(load.servedCpuSeconds("small") >= 0.4 * whole);
  load.model.check();
});

test("capacity that falls by half is followed by the next window, and no class is left out", () => {
  const load = new Overload([SMALL, HUGE]);
  load.run(0, 200);
  load.cpus = CPUS / 2;
  load.run(200, 203 + WINDOW_S);
  assert.equal(load.windows.at(-1)!.capacity.cpus, CPUS / 2);
  const before = load.servedCpuSeconds("huge");
  load.run(203 + WINDOW_S, 500);
  assert.ok(load.servedCpuSeconds("huge") - before >= 0.35 * 297 * load.cpus);
  load.model.check();
});

test("when the flood is over admission is open again, and no further window is written", () => {
  const load = new Overload([SMALL, HUGE]);
  load.run(0, 100);
  // What came in a hundred seconds takes five hundred.
  const calm = [{ ...SMALL, everyS: 5 }];
  load.run(100, 800, calm);
  assert.equal(load.windows.at(-1)?.mode, "open");
  const written = load.windows.length;
  load.run(800, 1000, calm);
  assert.equal(load.windows.length, written);
  const late = load.jobs.filter((j) => j.at >= 800);
  assert.ok(late.length > 0 && late.every((j) => j.admittedAt === j.at));
});

test("a team's burst holds up only its own submissions, and what is put back goes first", () => {
  const queue = new FairQueue<string>((item) => item.split("-")[0]!);
  for (let n = 0; n < 1000; n++) queue.push(`flood-${n}`);
  queue.push("web-0");
  queue.push("web-1");
  const first = [queue.shift(), queue.shift(), queue.shift()];
  assert.deepEqual(first, ["flood-0", "web-0", "flood-1"]);
  queue.requeue(["web-0", "flood-1"]);
  assert.equal(queue.peek(), "web-0");
  assert.deepEqual([queue.shift(), queue.shift(), queue.shift()], ["web-0", "flood-1", "web-1"]);
  assert.deepEqual(
    queue.removeWhere((item) => item.endsWith("-7")),
    ["flood-7"],
  );
  assert.equal(queue.size, 997);
  assert.equal(queue.removeWhere(() => true).length, 997);
  assert.deepEqual([queue.size, queue.peek(), queue.shift()], [0, undefined, undefined]);
});

// ---------------------------------------------------------------- the leader's adapter

const BOUNDARY = Date.parse("2026-03-29T05:00:00Z");
const CALENDAR = `
[admission]
enabled = true
time_zone = Europe/Lisbon
[admission.calendar.night]
days = sat
from = 22:00
to = 06:00
team = maps
weight = 4
`;

function controlOf(model: AdmissionModel, member: string, wallMs: () => number, now: () => number) {
  const read = decodeSettings(settingsText());
  const settings = decodeOperatorSettings(CALENDAR).operator!.admission;
  assert.ok("settings" in read);
  const decisions: LoggedDecision[] = [];
  const control: AdmissionControl = new AdmissionControl(settings, read.settings.cluster, {
    member,
    now,
    wallMs,
    transact: async (conditions, changes) =>
      model.store.commit(conditions, changes)
        ? { kind: "ok", revision: model.store.revision }
        : { kind: "failed", keys: [] },
    readLatest: async () => {
      control.apply(model.store.changesSince(control.replica.revision), model.store.revision);
      return true;
    },
    onWrite: () => {},
    onDecision: (d) => decisions.push(d),
    onWindowWritten: () => {},
  });
  control.reset([], 0);
  return { control, decisions };
}

test("a calendar's boundary in a takeover: the window says which periods count, whoever's clock is ahead", async () => {
  const model = new AdmissionModel(1);
  const leader = new TestLeader();
  for (const m of ["m1a", "m2b"]) leader.receiveHeartbeat(m, []);
  leader.submit(jobSpec("flood", { team: "maps", tasks: 200 }));
  const now = 100;
  // The clocks are off by 50 ms; the period ends between the two.
  const old = controlOf(
    model,
    "n0",
    () => BOUNDARY - 40,
    () => now,
  );
  const next = controlOf(
    model,
    "n1",
    () => BOUNDARY + 10,
    () => now,
  );
  const view = () => {
    const { value, modRevision: mark } = model.store.replica.epoch;
    return {
      cluster: leader.scheduler.cluster,
      growing: false,
      epoch: value.n,
      epochModRevision: mark,
    };
  };
  const leads = async ({ control }: typeof old) => {
    await control.refresh();
    control.updateWindow(view());
    await new Promise((r) => setImmediate(r));
  };
  await leads(old);
  const first = decodeWindow(model.store.items().find((i) => i.key === "a/w")?.value)!;
  assert.deepEqual([first.mode, first.periods], ["limited", ["night"]]);
  model.acquireLeadership();
  await next.control.refresh();
  assert.equal(isLimiting(next.control.replica.window!.value, next.control.replica.epoch), false);
  await leads(next);
  for (const { control } of [old, next]) await control.refresh();
  for (const { control } of [old, next]) {
    const { version, periods } = control.replica.window!.value;
    assert.deepEqual([version, periods], [first.version + 1, []]);
  }
  // The old leader, which has not noticed yet, writes nothing under its own term any more.
  const stale = { ...view(), epoch: 1, epochModRevision: 1 };
  const revision = model.store.revision;
  old.control.updateWindow(stale);
  await new Promise((r) => setImmediate(r));
  assert.equal(model.store.revision, revision);
  assert.deepEqual(old.decisions.slice(1), next.decisions.slice(1));
});

test("what was refused is stored once a window, and tells the next window of the demand", async () => {
  const model = new AdmissionModel(1);
  let now = 100;
  const { control } = controlOf(
    model,
    "n0",
    () => BOUNDARY,
    () => now,
  );
  const leader = new TestLeader();
  leader.receiveHeartbeat("m1a", []);
  leader.submit(jobSpec("flood", { team: "maps", tasks: 200 }));
  const { value, modRevision: mark } = model.store.replica.epoch;
  const view = {
    cluster: leader.scheduler.cluster,
    growing: false,
    epoch: value.n,
    epochModRevision: mark,
  };
  control.updateWindow(view);
  await new Promise((r) => setImmediate(r));
  for (let n = 0; n < 50; n++) {
    const verdict = await control.verifyRejection(
      jobSpec(`more-${n}`, { team: "maps" }),
      () => false,
    );
    assert.equal(verdict.kind, "rejected");
    assert.ok(verdict.kind === "rejected" && verdict.retryAfterS >= 1 && verdict.retryAfterS <= 30);
    control.flushRejections();
  }
  await new Promise((r) => setImmediate(r));
  await control.refresh();
  now += 4;
  control.flushRejections();
  await new Promise((r) => setImmediate(r));
  await control.refresh();
  const writes = model.store.changesSince(0).filter((e) => e.key === "a/r/n0");
  assert.equal(writes.length, 2);
  assert.equal(control.replica.rejectionsOf("n0")?.value.classes[0]?.jobs, 49);
  control.updateWindow(view);
  await new Promise((r) => setImmediate(r));
  assert.equal(control.replica.windowVersion, 2);
  assert.equal(DEFAULT_OPERATOR_SETTINGS.admission.enabled, false);
});
