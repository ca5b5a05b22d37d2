/** Controllers that read late, write late and lose answers decide alike; each check fails on a reducer that is broken. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  AdmissionReplica,
  type AdmissionWindow,
  decide,
  openWindow,
  UNLIMITED,
  WHOLE_SHARE,
} from "../src/admission/index.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import { AdmissionModel, type InjectedFaults, type TransactionFate } from "./admission-model.js";
import { jobSpec } from "./support/job-builders.js";

const NODES = 3;
const TEAMS = ["bookings", "guest"];
const CLASSES = ["web", "flood"];
const CAPACITY = { cpus: 100, gpus: 0, memoryGb: 1000 };

type Action =
  | {
      readonly kind: "submit";
      readonly node: number;
      readonly job: number;
      readonly fate: TransactionFate;
    }
  | { readonly kind: "read"; readonly node: number }
  | { readonly kind: "flush"; readonly node: number }
  | { readonly kind: "restart"; readonly node: number }
  | { readonly kind: "arrive"; readonly which: number }
  | { readonly kind: "term" }
  | { readonly kind: "window"; readonly grants: readonly number[] }
  | { readonly kind: "open" };

const node = fc.integer({ min: 0, max: NODES - 1 });
const fate = fc.constantFrom<TransactionFate>(
  "answered",
  "answered",
  "answered",
  "answer lost",
  "late",
);
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant("submit"), node, job: fc.nat(30), fate }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom("read", "flush"), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("arrive"), which: fc.nat(5) }) },
  { weight: 1, arbitrary: fc.constant({ kind: "term" } as const) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart"), node }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("window"),
      grants: fc.array(fc.nat(6), { minLength: 4, maxLength: 4 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "open" } as const) },
) as fc.Arbitrary<Action>;

/** Job n always has the same team, class and size. */
const job = (n: number): JobSpec =>
  jobSpec(`job-${n}`, {
    team: TEAMS[n % 2]!,
    class: CLASSES[(n >> 1) % 2]!,
    tasks: 1 + (n % 5),
    ...(n % 7 === 6 ? { after: ["before"] } : {}),
  });

function windowOf(version: number, epoch: number, grants: readonly number[]): AdmissionWindow {
  const named = TEAMS.flatMap((team) => CLASSES.map((name) => ({ team, class: name })));
  return {
    version,
    epoch,
    mode: "limited",
    capacity: CAPACITY,
    grants: named.map((g, i) => {
      const units = (grants[i]! * WHOLE_SHARE) / 100;
      return { ...g, lanes: { new: units, follower: Math.max(1, units) } };
    }),
    periods: [],
  };
}

function play(actions: readonly Action[], broken: InjectedFaults = {}): AdmissionModel {
  const model = new AdmissionModel(NODES, broken);
  for (const a of actions) {
    if (a.kind === "submit") model.submit(a.node, job(a.job), a.fate);
    else if (a.kind === "read") model.read(a.node);
    else if (a.kind === "flush") model.flushRejections(a.node);
    else if (a.kind === "arrive") model.deliverDelayed(a.which);
    else if (a.kind === "term") model.acquireLeadership();
    else if (a.kind === "restart") model.restart(a.node);
    else if (a.kind === "open")
      model.writeWindow((version, epoch) => openWindow({ version, epoch }));
    else model.writeWindow((version, epoch) => windowOf(version, epoch, a.grants));
  }
  return model;
}

const property = (broken: InjectedFaults) =>
  fc.property(fc.array(action, { minLength: 20, maxLength: 120 }), (actions) =>
    play(actions, broken).check(),
  );

test("any bursts, orders, pauses and losses: one log, one answer, no share exceeded", () => {
  fc.assert(property({}), { numRuns: 1500, seed: 29 });
});

const FAULTS: Record<keyof InjectedFaults, RegExp> = {
  omitsLedgerPreconditions: /was used before/,
  rejectsWithoutReading: /two answers|is refused/,
  omitsClaims: /was used before/,
  omitsWindowPrecondition: /was used before|two answers/,
  appliesOutOfOrder: /revision \d+|n1/,
};
for (const [fault, expected] of Object.entries(FAULTS)) {
  test(`the checks find a reducer that is broken: ${fault}`, () => {
    const run = () =>
      fc.assert(property({ [fault]: true }), {
        numRuns: 400,
        seed: 29,
        includeErrorInReport: true,
        endOnFailure: true,
      });
    assert.throws(run, expected);
  });
}

/** One window that grants each class so much, read by all nodes. */
function limited(percent: number): AdmissionModel {
  const model = new AdmissionModel(NODES);
  const grants = [percent, percent, percent, percent];
  model.writeWindow((version, epoch) => windowOf(version, epoch, grants));
  for (let i = 0; i < NODES; i++) model.read(i);
  return model;
}

test("two controllers see one burst a moment apart, in different orders", () => {
  const model = limited(3);
  const burst = Array.from({ length: 20 }, (_, n) =>
    jobSpec(`burst-${n}`, { team: "guest", class: "flood" }),
  );
  const answers = new Map<string, string[]>();
  for (const [i, jobs] of [burst, [...burst].reverse()].entries()) {
    for (const j of jobs)
      answers.set(j.id, [...(answers.get(j.id) ?? []), model.submit(i, j, "answered")]);
  }
  model.check();
  for (const [id, given] of answers) assert.equal(new Set(given).size, 1, `${id}: ${given}`);
  const accepted = [...answers.values()].filter((given) => given[0] === "accepted");
  assert.equal(accepted.length, 3);
});

test("one team submits ten thousand jobs at once: others are admitted, and it costs few writes", () => {
  const model = limited(5);
  const before = model.store.revision;
  for (let n = 0; n < 10_000; n++) {
    model.submit(n % NODES, jobSpec(`flood-${n}`, { team: "guest", class: "flood" }), "answered");
  }
  for (let i = 0; i < NODES; i++) model.flushRejections(i);
  assert.ok(model.store.revision - before <= 5 + NODES, `${model.store.revision - before} writes`);
  assert.equal(
    model.submit(0, jobSpec("web-1", { team: "bookings", class: "web" }), "answered"),
    "accepted",
  );
  for (let i = 0; i < NODES; i++) model.read(i);
  const lines = model.nodes[0]!.log.filter((d) => d.kind === "reject");
  const jobs = lines.reduce((sum, d) => sum + (d.kind === "reject" ? d.jobs : 0), 0);
  assert.equal(jobs, 9_995, "each refused job is in the log, by its id or counted");
  model.check();
});

test("the same job at three controllers before any has read of it is stored and charged once", () => {
  const model = limited(1);
  const same = jobSpec("same", { team: "guest", class: "flood", tasks: 1 });
  const answers = [0, 1, 2].map((i) => model.submit(i, same, "answered"));
  assert.deepEqual(answers, ["accepted", "accepted", "accepted"]);
  model.check();
  assert.equal(
    model.nodes[2]!.replica.ledgerOf("guest")!.used.get("flood")!.new,
    WHOLE_SHARE / 100,
  );
});

test("a claim that is carried out late, or whose answer is lost, is charged once at the most", () => {
  const model = limited(2);
  const first = jobSpec("first", { team: "guest", class: "flood" });
  assert.equal(model.submit(0, first, "late"), "uncertain");
  assert.equal(model.submit(0, first, "answer lost"), "uncertain");
  assert.equal(model.submit(0, first, "answered"), "accepted");
  model.deliverDelayed(0);
  model.check();
  assert.equal(
    model.nodes[0]!.replica.ledgerOf("guest")!.used.get("flood")!.new,
    WHOLE_SHARE / 100,
  );
  // One that comes after the window it was decided in is not carried out.
  assert.equal(
    model.submit(1, jobSpec("second", { team: "guest", class: "flood" }), "late"),
    "uncertain",
  );
  model.writeWindow((version, epoch) => windowOf(version, epoch, [0, 0, 0, 0]));
  model.deliverDelayed(0);
  assert.equal(model.store.replica.view("second"), null);
  model.check();
});

test("a node that comes back in a window logs none of its rejections, as it does not know which were logged", () => {
  const model = limited(0);
  const refused = jobSpec("refused", { team: "guest", class: "flood" });
  assert.equal(model.submit(0, refused, "answered"), "rejected");
  model.flushRejections(0);
  model.restart(2);
  assert.equal(model.submit(1, refused, "answered"), "rejected");
  model.flushRejections(1);
  model.check();
  assert.equal(model.nodes[0]!.log.filter((d) => d.kind === "reject").length, 1);
  model.writeWindow((version, epoch) => windowOf(version, epoch, [0, 0, 0, 0]));
  assert.equal(model.submit(1, refused, "answered"), "rejected");
  model.flushRejections(1);
  model.check();
  assert.equal(model.nodes[2]!.log.filter((d) => d.kind === "reject").length, 1);
});

test("a node that paused for several windows decides by the newest one", () => {
  const model = limited(5);
  for (let n = 0; n < 4; n++) model.writeWindow((v, epoch) => windowOf(v, epoch, [5, 5, 5, 0]));
  const late = jobSpec("late", { team: "guest", class: "flood" });
  assert.equal(model.submit(2, late, "answered"), "rejected");
  assert.equal(model.nodes[2]!.replica.windowVersion, 5);
  model.check();
});

test("between two leaders a window goes on; under a new term it is not in force until it is written again", () => {
  const model = limited(0);
  const first = jobSpec("first", { team: "guest", class: "flood" });
  assert.equal(model.submit(0, first, "answered"), "rejected");
  model.acquireLeadership();
  // The successor may have admission switched off: what its predecessor wrote must not bind for good.
  assert.equal(model.submit(0, first, "answered"), "accepted");
  model.writeWindow((version, epoch) => windowOf(version, epoch, [0, 0, 0, 0]));
  assert.equal(
    model.submit(0, jobSpec("next", { team: "guest", class: "flood" }), "answered"),
    "rejected",
  );
  model.check();
});

test("followers are not held up by new work of their class, and a class's large job is admitted", () => {
  const model = limited(2);
  const flood = (n: number) => jobSpec(`flood-${n}`, { team: "guest", class: "flood" });
  for (let n = 0; n < 5; n++) model.submit(0, flood(n), "answered");
  assert.equal(model.submit(0, flood(9), "answered"), "rejected");
  const follower = jobSpec("follower", { team: "guest", class: "flood", after: ["flood-0"] });
  assert.equal(model.submit(1, follower, "answered"), "accepted");
  const large = jobSpec("large", { team: "bookings", class: "flood", kind: "gang", tasks: 90 });
  assert.equal(model.submit(2, large, "answered"), "accepted");
  assert.equal(
    model.submit(2, jobSpec("more", { team: "bookings", class: "flood" }), "answered"),
    "rejected",
  );
  model.check();
});

test("a node of a version without admission control is charged by the next window, and logged alike", () => {
  const model = limited(0);
  const value = {
    j: jobSpec("foreign", { team: "guest" }),
    at: 0,
    r: [],
    v: 1,
    n: 1,
    o: 0,
    done: "",
    pl: [],
  };
  assert.ok(
    model.store.commit(
      [{ key: "p/foreign", modRevision: 0 }],
      [{ op: "put", key: "p/foreign", value }],
    ),
  );
  for (let i = 0; i < NODES; i++) {
    model.read(i);
    const line = model.nodes[i]!.log.at(-1)!;
    assert.equal(line.kind === "admit" && line.reason, "not charged");
  }
});

test("values of another form limit nothing and end nothing", () => {
  const replica = new AdmissionReplica();
  const values: unknown[] = [
    null,
    3,
    "x",
    {},
    { n: -1 },
    { n: 1, e: 1, m: "shut", c: [], g: 3, p: null },
  ];
  const keys = ["a/w", "a/t/guest", "a/r/n0", "a/t/%E0%A4%A", "a/"];
  let mark = 0;
  for (const value of values) {
    for (const key of keys) {
      replica.apply([{ key, value, removed: false, modRevision: ++mark }], mark);
      assert.equal(replica.decide(jobSpec("any", { team: "guest" })).admitted, true);
    }
  }
});

test("a verdict only ever turns from admission to rejection within a window", () => {
  const window = windowOf(1, 1, [3, 3, 3, 3]);
  const used = (n: number) => new Map([["flood", { new: n, follower: 0 }]]);
  const admitted = (n: number, tasks: number): boolean =>
    decide(
      window,
      1,
      { window: 1, used: used(n) },
      jobSpec("j", { team: "guest", class: "flood", tasks }),
    ).admitted;
  const property = fc.property(
    fc.nat(UNLIMITED),
    fc.nat(UNLIMITED),
    fc.integer({ min: 1, max: 100_000 }),
    (a, b, tasks) => {
      const [less, more] = [Math.min(a, b), Math.max(a, b)];
      assert.ok(admitted(less, tasks) || !admitted(more, tasks));
    },
  );
  fc.assert(property, { numRuns: 500, seed: 30 });
});
