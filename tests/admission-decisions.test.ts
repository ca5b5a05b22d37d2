/** Decisions of several controllers in single situations: one burst, lost answers, restarts, and changes of leadership. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LoggedDecision, WHOLE_SHARE } from "../src/admission/index.js";
import type { AdmissionModel } from "./support/admission-model.js";
import { CONTROLLERS, floodJob, limitedModel, writeGrants } from "./support/admission-windows.js";
import { jobSpec } from "./support/job-builders.js";

type Rejection = Extract<LoggedDecision, { kind: "reject" }>;

/** The rejections that a controller logged. */
const rejections = (model: AdmissionModel, index: number): Rejection[] =>
  model.controllers[index]!.log.filter((decision) => decision.kind === "reject");

/** Units that the flooding class has used of its grant, as a controller has read them. */
const usedByFlood = (model: AdmissionModel, index: number): number =>
  model.controllers[index]!.replica.ledgerOf("guest")!.used.get("flood")!.new;

test("two controllers that receive one burst in different orders answer each job alike", () => {
  const model = limitedModel(3);
  const burst = Array.from({ length: 20 }, (_, number) => floodJob(`burst-${number}`));
  const answers = new Map<string, string[]>();
  for (const [index, jobs] of [burst, [...burst].reverse()].entries()) {
    for (const job of jobs) {
      const answer = model.submit(index, job, "answered");
      answers.set(job.id, [...(answers.get(job.id) ?? []), answer]);
    }
  }
  model.check();
  for (const [id, given] of answers) assert.equal(new Set(given).size, 1, `${id}: ${given}`);
  const accepted = [...answers.values()].filter((given) => given[0] === "accepted");
  assert.equal(accepted.length, 3);
});

test("a burst of ten thousand jobs of one team costs few writes, and others are admitted", () => {
  const model = limitedModel(5);
  const before = model.store.revision;
  for (let number = 0; number < 10_000; number++) {
    model.submit(number % CONTROLLERS, floodJob(`flood-${number}`), "answered");
  }
  for (let index = 0; index < CONTROLLERS; index++) model.flushRejections(index);
  assert.ok(
    model.store.revision - before <= 5 + CONTROLLERS,
    `${model.store.revision - before} writes`,
  );
  assert.equal(
    model.submit(0, jobSpec("web-1", { team: "bookings", class: "web" }), "answered"),
    "accepted",
  );
  for (let index = 0; index < CONTROLLERS; index++) model.read(index);
  const jobs = rejections(model, 0).reduce((sum, rejection) => sum + rejection.jobs, 0);
  assert.equal(jobs, 9_995, "each refused job is in the log, by its id or counted");
  model.check();
});

test("a job submitted to three controllers before any has read it is stored and charged once", () => {
  const model = limitedModel(1);
  const same = floodJob("same", { tasks: 1 });
  const answers = [0, 1, 2].map((index) => model.submit(index, same, "answered"));
  assert.deepEqual(answers, ["accepted", "accepted", "accepted"]);
  model.check();
  assert.equal(usedByFlood(model, 2), WHOLE_SHARE / 100);
});

test("a claim that commits late, or whose answer is lost, is charged at most once", () => {
  const model = limitedModel(2);
  const first = floodJob("first");
  assert.equal(model.submit(0, first, "late"), "uncertain");
  assert.equal(model.submit(0, first, "answer lost"), "uncertain");
  assert.equal(model.submit(0, first, "answered"), "accepted");
  model.deliverDelayed(0);
  model.check();
  assert.equal(usedByFlood(model, 0), WHOLE_SHARE / 100);
  // A claim delivered after its window has ended does not commit.
  assert.equal(model.submit(1, floodJob("second"), "late"), "uncertain");
  writeGrants(model, [0, 0, 0, 0]);
  model.deliverDelayed(0);
  assert.equal(model.store.replica.view("second"), null);
  model.check();
});

test("a controller that restarts within a window logs none of its rejections, as it cannot know which were logged", () => {
  const model = limitedModel(0);
  const refused = floodJob("refused");
  assert.equal(model.submit(0, refused, "answered"), "rejected");
  model.flushRejections(0);
  model.restart(2);
  assert.equal(model.submit(1, refused, "answered"), "rejected");
  model.flushRejections(1);
  model.check();
  assert.equal(rejections(model, 0).length, 1);
  writeGrants(model, [0, 0, 0, 0]);
  assert.equal(model.submit(1, refused, "answered"), "rejected");
  model.flushRejections(1);
  model.check();
  assert.equal(rejections(model, 2).length, 1);
});

test("a controller that paused for several windows decides by the newest one", () => {
  const model = limitedModel(5);
  for (let window = 0; window < 4; window++) writeGrants(model, [5, 5, 5, 0]);
  const late = floodJob("late");
  assert.equal(model.submit(2, late, "answered"), "rejected");
  assert.equal(model.controllers[2]!.replica.windowVersion, 5);
  model.check();
});

test("without a leader the window stays in force; under a new epoch it is not in force until it is written again", () => {
  const model = limitedModel(0);
  const first = floodJob("first");
  assert.equal(model.submit(0, first, "answered"), "rejected");
  model.acquireLeadership();
  // The successor may have admission control disabled: a window of its predecessor must not stay in force forever.
  assert.equal(model.submit(0, first, "answered"), "accepted");
  writeGrants(model, [0, 0, 0, 0]);
  assert.equal(model.submit(0, floodJob("next"), "answered"), "rejected");
  model.check();
});

test("new work of a class does not block its followers, and a large job of a class is admitted", () => {
  const model = limitedModel(2);
  for (let number = 0; number < 5; number++) {
    model.submit(0, floodJob(`flood-${number}`), "answered");
  }
  assert.equal(model.submit(0, floodJob("flood-9"), "answered"), "rejected");
  const follower = floodJob("follower", { after: ["flood-0"] });
  assert.equal(model.submit(1, follower, "answered"), "accepted");
  const large = jobSpec("large", { team: "bookings", class: "flood", kind: "gang", tasks: 90 });
  assert.equal(model.submit(2, large, "answered"), "accepted");
  assert.equal(
    model.submit(2, jobSpec("more", { team: "bookings", class: "flood" }), "answered"),
    "rejected",
  );
  model.check();
});

test("a job stored by a controller without admission control is logged alike by all, as not charged", () => {
  const model = limitedModel(0);
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
  for (let index = 0; index < CONTROLLERS; index++) {
    model.read(index);
    const line = model.controllers[index]!.log.at(-1)!;
    assert.equal(line.kind === "admit" && line.reason, "not charged");
  }
});
