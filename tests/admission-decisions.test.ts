/** Decisions of several controllers on a burst, after lost answers and restarts, and across changes of leadership. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LoggedDecision, WHOLE_SHARE } from "../src/admission/index.js";
import type { AdmissionModel } from "./support/admission-model.js";
import {
  CONTROLLER_COUNT,
  floodJob,
  limitedModel,
  writeGrants,
} from "./support/admission-windows.js";
import { jobSpec } from "./support/job-builders.js";

type Rejection = Extract<LoggedDecision, { kind: "reject" }>;

/** The rejections that a controller logged. */
const rejections = (model: AdmissionModel, index: number): Rejection[] =>
  model.controllers[index]!.log.filter((decision) => decision.kind === "reject");

/** Units of its grant that the flooding class has used, according to the replica of a controller. */
const usedByFlood = (model: AdmissionModel, index: number): number =>
  model.controllers[index]!.replica.ledgerOf("guest")!.used.get("flood")!.new;

test("two controllers that receive a burst in different orders give the same answer to each job", () => {
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
  for (const [id, answersToJob] of answers)
    assert.equal(new Set(answersToJob).size, 1, `${id}: ${answersToJob}`);
  const accepted = [...answers.values()].filter((answersToJob) => answersToJob[0] === "accepted");
  assert.equal(accepted.length, 3);
});

test("a burst of ten thousand jobs of one team causes few writes, and another team's job is admitted", () => {
  const model = limitedModel(5);
  const revisionBefore = model.store.revision;
  for (let number = 0; number < 10_000; number++) {
    model.submit(number % CONTROLLER_COUNT, floodJob(`flood-${number}`), "answered");
  }
  for (let index = 0; index < CONTROLLER_COUNT; index++) model.flushRejections(index);
  assert.ok(
    model.store.revision - revisionBefore <= 5 + CONTROLLER_COUNT,
    `${model.store.revision - revisionBefore} writes`,
  );
  assert.equal(
    model.submit(0, jobSpec("web-1", { team: "bookings", class: "web" }), "answered"),
    "accepted",
  );
  for (let index = 0; index < CONTROLLER_COUNT; index++) model.read(index);
  const rejectedJobs = rejections(model, 0).reduce((sum, rejection) => sum + rejection.jobs, 0);
  assert.equal(rejectedJobs, 9_995, "the log contains each rejected job, by its id or in a count");
  model.check();
});

test("a job submitted to three controllers, none of which has read it yet, is stored and charged once", () => {
  const model = limitedModel(1);
  const job = floodJob("same", { tasks: 1 });
  const answers = [0, 1, 2].map((index) => model.submit(index, job, "answered"));
  assert.deepEqual(answers, ["accepted", "accepted", "accepted"]);
  model.check();
  assert.equal(usedByFlood(model, 2), WHOLE_SHARE / 100);
});

test("a claim that is delivered late or whose answer is lost is charged at most once", () => {
  const model = limitedModel(2);
  const firstJob = floodJob("first");
  assert.equal(model.submit(0, firstJob, "late"), "uncertain");
  assert.equal(model.submit(0, firstJob, "answer lost"), "uncertain");
  assert.equal(model.submit(0, firstJob, "answered"), "accepted");
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

test("a controller logs no rejections of the window in which it restarts, because some may be logged already", () => {
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

test("a controller that has not read for several windows decides by the newest one", () => {
  const model = limitedModel(5);
  for (let window = 0; window < 4; window++) writeGrants(model, [5, 5, 5, 0]);
  const lateJob = floodJob("late");
  assert.equal(model.submit(2, lateJob, "answered"), "rejected");
  assert.equal(model.controllers[2]!.replica.windowVersion, 5);
  model.check();
});

test("a window stays in force while there is no leader, and ends when a new epoch begins", () => {
  const model = limitedModel(0);
  const firstJob = floodJob("first");
  assert.equal(model.submit(0, firstJob, "answered"), "rejected");
  model.acquireLeadership();
  // Admission control may be disabled on the new leader. The old window must not stay in force forever in that case.
  assert.equal(model.submit(0, firstJob, "answered"), "accepted");
  writeGrants(model, [0, 0, 0, 0]);
  assert.equal(model.submit(0, floodJob("next"), "answered"), "rejected");
  model.check();
});

test("followers are admitted after their class has used up its grant, and one job may exceed the rest of a grant", () => {
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

test("all controllers log a job stored by a controller without admission control as not charged", () => {
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
  for (let index = 0; index < CONTROLLER_COUNT; index++) {
    model.read(index);
    const line = model.controllers[index]!.log.at(-1)!;
    assert.equal(line.kind === "admit" && line.reason, "not charged");
  }
});
