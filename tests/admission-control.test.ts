/** Admission control of whole controllers: windows over a change of leadership, and rejections on their way to the next window. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import {
  AdmissionControl,
  decodeWindow,
  isLimiting,
  type LeaderView,
  type LoggedDecision,
} from "../src/admission/index.js";
import { DEFAULT_OPERATOR_SETTINGS, decodeOperatorSettings } from "../src/config/operator.js";
import { decodeSettings } from "../src/wire/settings.js";
import { AdmissionModel } from "./support/admission-model.js";
import { jobSpec } from "./support/job-builders.js";
import { settingsText } from "./support/node-settings.js";
import { TestLeader } from "./support/test-leader.js";

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

/** Admission control of a controller, over the store of a model; times are in milliseconds and seconds. */
function controlOf(model: AdmissionModel, member: string, wallMs: number, now: () => number) {
  const decoded = decodeSettings(settingsText());
  const settings = decodeOperatorSettings(CALENDAR).operator!.admission;
  assert.ok("settings" in decoded);
  const decisions: LoggedDecision[] = [];
  const control: AdmissionControl = new AdmissionControl(settings, decoded.settings.cluster, {
    member,
    now,
    wallMs: () => wallMs,
    transact: async (preconditions, changes) =>
      model.store.commit(preconditions, changes)
        ? { kind: "ok", revision: model.store.revision }
        : { kind: "failed", keys: [] },
    readLatest: async () => {
      control.apply(model.store.changesSince(control.replica.revision), model.store.revision);
      return true;
    },
    onWrite: () => {},
    onDecision: (decision) => decisions.push(decision),
    onWindowWritten: () => {},
  });
  control.reset([], 0);
  return { control, decisions };
}

/** What a leader in the current epoch of the model gives to admission control. */
function leaderView(model: AdmissionModel, leader: TestLeader): LeaderView {
  const { value, modRevision } = model.store.replica.epoch;
  return {
    cluster: leader.scheduler.cluster,
    growing: false,
    epoch: value,
    epochModRevision: modRevision,
  };
}

/** A leader with a job far larger than its machines. */
function overloadedLeader(machines: readonly string[]): TestLeader {
  const leader = new TestLeader();
  for (const machine of machines) leader.receiveHeartbeat(machine, []);
  leader.submit(jobSpec("flood", { team: "maps", tasks: 200 }));
  return leader;
}

test("at a calendar's boundary in a failover the window determines the periods, whichever node's clock is ahead", async () => {
  const model = new AdmissionModel(1);
  const leader = overloadedLeader(["m1a", "m2b"]);
  const view = () => leaderView(model, leader);
  const now = () => 100;
  // The clocks differ by 50 ms, and the period ends between the two.
  const old = controlOf(model, "n0", BOUNDARY - 40, now);
  const next = controlOf(model, "n1", BOUNDARY + 10, now);
  const lead = async ({ control }: typeof old): Promise<void> => {
    await control.refresh();
    control.updateWindow(view());
    await nextTurn();
  };
  await lead(old);
  const first = decodeWindow(model.store.items().find(({ key }) => key === "a/w")?.value)!;
  assert.deepEqual([first.mode, first.periods], ["limited", ["night"]]);
  model.acquireLeadership();
  await next.control.refresh();
  assert.equal(isLimiting(next.control.replica.window!.value, next.control.replica.epoch), false);
  await lead(next);
  for (const { control } of [old, next]) await control.refresh();
  for (const { control } of [old, next]) {
    const { version, periods } = control.replica.window!.value;
    assert.deepEqual([version, periods], [first.version + 1, []]);
  }
  // The former leader, which has not noticed yet, can no longer write under its own epoch.
  const staleView = { ...view(), epoch: 1, epochModRevision: 1 };
  const { revision } = model.store;
  old.control.updateWindow(staleView);
  await nextTurn();
  assert.equal(model.store.revision, revision);
  assert.deepEqual(old.decisions.slice(1), next.decisions.slice(1));
});

test("rejections are stored once per window, and count as demand in the next window", async () => {
  const model = new AdmissionModel(1);
  let now = 100;
  const { control } = controlOf(model, "n0", BOUNDARY, () => now);
  const view = leaderView(model, overloadedLeader(["m1a"]));
  control.updateWindow(view);
  await nextTurn();
  for (let number = 0; number < 50; number++) {
    const job = jobSpec(`more-${number}`, { team: "maps" });
    const verdict = await control.verifyRejection(job, () => false);
    assert.equal(verdict.kind, "rejected");
    assert.ok(verdict.kind === "rejected" && verdict.retryAfterS >= 1 && verdict.retryAfterS <= 30);
    control.flushRejections();
  }
  await nextTurn();
  await control.refresh();
  now += 4;
  control.flushRejections();
  await nextTurn();
  await control.refresh();
  const writes = model.store.changesSince(0).filter(({ key }) => key === "a/r/n0");
  assert.equal(writes.length, 2);
  assert.equal(control.replica.rejectionsOf("n0")?.value.classes[0]?.jobs, 49);
  control.updateWindow(view);
  await nextTurn();
  assert.equal(control.replica.windowVersion, 2);
  assert.equal(DEFAULT_OPERATOR_SETTINGS.admission.enabled, false);
});
