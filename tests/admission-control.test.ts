/** Admission control of several controllers: windows across a change of leadership, and rejections as demand. */
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

/**
 * Creates the admission control of a controller on the model's store.
 * `wallMs` is the wall-clock time in milliseconds, and `now` returns the monotonic time in seconds.
 */
function createControl(model: AdmissionModel, member: string, wallMs: number, now: () => number) {
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

/** The input that a leader of the model's current epoch passes to admission control. */
function leaderView(model: AdmissionModel, leader: TestLeader): LeaderView {
  const { value, modRevision } = model.store.replica.epoch;
  return {
    cluster: leader.scheduler.cluster,
    growing: false,
    epoch: value,
    epochModRevision: modRevision,
  };
}

/** A leader with a job that exceeds the capacity of its machines by far. */
function overloadedLeader(machines: readonly string[]): TestLeader {
  const leader = new TestLeader();
  for (const machine of machines) leader.receiveHeartbeat(machine, []);
  leader.submit(jobSpec("flood", { team: "maps", tasks: 200 }));
  return leader;
}

test("in a failover at the end of a calendar period, all controllers use the periods stored in the window", async () => {
  const model = new AdmissionModel(1);
  const leader = overloadedLeader(["m1a", "m2b"]);
  const currentView = () => leaderView(model, leader);
  const now = () => 100;
  // The clocks of the two controllers differ by 50 ms, and the period ends between their times.
  const former = createControl(model, "n0", BOUNDARY - 40, now);
  const successor = createControl(model, "n1", BOUNDARY + 10, now);
  const updateWindowOf = async ({ control }: typeof former): Promise<void> => {
    await control.refresh();
    control.updateWindow(currentView());
    await nextTurn();
  };
  await updateWindowOf(former);
  const firstWindow = decodeWindow(model.store.items().find(({ key }) => key === "a/w")?.value)!;
  assert.deepEqual([firstWindow.mode, firstWindow.periods], ["limited", ["night"]]);
  model.acquireLeadership();
  await successor.control.refresh();
  assert.equal(
    isLimiting(successor.control.replica.window!.value, successor.control.replica.epoch),
    false,
  );
  await updateWindowOf(successor);
  for (const { control } of [former, successor]) await control.refresh();
  for (const { control } of [former, successor]) {
    const { version, periods } = control.replica.window!.value;
    assert.deepEqual([version, periods], [firstWindow.version + 1, []]);
  }
  // The former leader does not know of its successor yet. A window that it writes under its own epoch is not
  // committed.
  const staleView = { ...currentView(), epoch: 1, epochModRevision: 1 };
  const { revision } = model.store;
  former.control.updateWindow(staleView);
  await nextTurn();
  assert.equal(model.store.revision, revision);
  assert.deepEqual(former.decisions.slice(1), successor.decisions.slice(1));
});

test("rejections are stored at most once per window length, and count as demand in the next window", async () => {
  const model = new AdmissionModel(1);
  let now = 100;
  const { control } = createControl(model, "n0", BOUNDARY, () => now);
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
