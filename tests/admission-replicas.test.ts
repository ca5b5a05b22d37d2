/**
 * Property tests under random interleavings: controllers decide alike although reads and writes are delayed and
 * answers are lost. Injected faults verify that each check of the model can fail.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { AdmissionReplica, decide, openWindow, UNLIMITED } from "../src/admission/index.js";
import { assertNever } from "../src/core/assert-never.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import {
  AdmissionModel,
  type InjectedFaults,
  type TransactionDelivery,
} from "./support/admission-model.js";
import {
  CLASSES,
  CONTROLLER_COUNT,
  floodJob,
  limitedWindowOf,
  TEAMS,
  writeGrants,
} from "./support/admission-windows.js";
import { jobSpec } from "./support/job-builders.js";

type Action =
  | {
      readonly kind: "submit";
      readonly controller: number;
      readonly job: number;
      readonly delivery: TransactionDelivery;
    }
  | { readonly kind: "read"; readonly controller: number }
  | { readonly kind: "flush"; readonly controller: number }
  | { readonly kind: "restart"; readonly controller: number }
  | { readonly kind: "deliver delayed"; readonly selector: number }
  | { readonly kind: "acquire leadership" }
  | { readonly kind: "write limited window"; readonly grants: readonly number[] }
  | { readonly kind: "write open window" };

const anyController = fc.integer({ min: 0, max: CONTROLLER_COUNT - 1 });
const anyDelivery = fc.constantFrom<TransactionDelivery>(
  "answered",
  "answered",
  "answered",
  "answer lost",
  "late",
);
const anyAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant("submit"),
      controller: anyController,
      job: fc.nat(30),
      delivery: anyDelivery,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom("read", "flush"), controller: anyController }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("deliver delayed"), selector: fc.nat(5) }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "acquire leadership" } as const) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart"), controller: anyController }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("write limited window"),
      grants: fc.array(fc.nat(6), { minLength: 4, maxLength: 4 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "write open window" } as const) },
) as fc.Arbitrary<Action>;

/** Returns the job with the given number, always of the same team, class and size. */
const jobWithNumber = (number: number): JobSpec =>
  jobSpec(`job-${number}`, {
    team: TEAMS[number % 2]!,
    class: CLASSES[(number >> 1) % 2]!,
    tasks: 1 + (number % 5),
    ...(number % 7 === 6 ? { after: ["before"] } : {}),
  });

/** Performs a sequence of actions on a new model. */
function runActions(actions: readonly Action[], faults: InjectedFaults = {}): AdmissionModel {
  const model = new AdmissionModel(CONTROLLER_COUNT, faults);
  for (const action of actions) perform(model, action);
  return model;
}

function perform(model: AdmissionModel, action: Action): void {
  switch (action.kind) {
    case "submit":
      model.submit(action.controller, jobWithNumber(action.job), action.delivery);
      return;
    case "read":
      model.read(action.controller);
      return;
    case "flush":
      model.flushRejections(action.controller);
      return;
    case "deliver delayed":
      model.deliverDelayed(action.selector);
      return;
    case "acquire leadership":
      model.acquireLeadership();
      return;
    case "restart":
      model.restart(action.controller);
      return;
    case "write open window":
      model.writeWindow((version, epoch) => openWindow({ version, epoch }));
      return;
    case "write limited window":
      writeGrants(model, action.grants);
      return;
    default:
      assertNever(action);
  }
}

const modelPassesChecks = (faults: InjectedFaults) =>
  fc.property(fc.array(anyAction, { minLength: 20, maxLength: 120 }), (actions) =>
    runActions(actions, faults).check(),
  );

test("controllers under random delays and losses keep equal logs, give each job one answer and exceed no share", () => {
  fc.assert(modelPassesChecks({}), { numRuns: 1500, seed: 29 });
});

const EXPECTED_FAILURES: Record<keyof InjectedFaults, RegExp> = {
  omitsLedgerPreconditions: /was used before/,
  rejectsWithoutReading: /two answers|is refused/,
  omitsClaims: /was used before/,
  omitsWindowPrecondition: /was used before|two answers/,
  appliesOutOfOrder: /revision \d+|n1/,
};
for (const [fault, expected] of Object.entries(EXPECTED_FAILURES)) {
  test(`the checks of the model detect the injected fault ${fault}`, () => {
    const run = () =>
      fc.assert(modelPassesChecks({ [fault]: true }), {
        numRuns: 400,
        seed: 29,
        includeErrorInReport: true,
        endOnFailure: true,
      });
    assert.throws(run, expected);
  });
}

test("stored values of an unknown form limit no job and cause no error", () => {
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
  let revision = 0;
  for (const value of values) {
    for (const key of keys) {
      replica.apply([{ key, value, removed: false, modRevision: ++revision }], revision);
      assert.equal(replica.decide(jobSpec("any", { team: "guest" })).admitted, true);
    }
  }
});

test("within a window, the verdict on a job can only change from admission to rejection", () => {
  const window = limitedWindowOf(1, 1, [3, 3, 3, 3]);
  const isAdmitted = (usedUnits: number, tasks: number): boolean => {
    const used = new Map([["flood", { new: usedUnits, follower: 0 }]]);
    return decide(window, 1, { window: 1, used }, floodJob("job", { tasks })).admitted;
  };
  const property = fc.property(
    fc.nat(UNLIMITED),
    fc.nat(UNLIMITED),
    fc.integer({ min: 1, max: 100_000 }),
    (first, second, tasks) => {
      const [lessUsed, moreUsed] = [Math.min(first, second), Math.max(first, second)];
      assert.ok(isAdmitted(lessUsed, tasks) || !isAdmitted(moreUsed, tasks));
    },
  );
  fc.assert(property, { numRuns: 500, seed: 30 });
});
