/** Admission windows, jobs and models shared by the tests of admission replicas. */
import { type AdmissionWindow, WHOLE_SHARE } from "../../src/admission/index.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import { AdmissionModel } from "./admission-model.js";
import { jobSpec } from "./job-builders.js";

/** Number of controllers in each model. */
export const CONTROLLER_COUNT = 3;
/** The teams of each model. */
export const TEAMS = ["bookings", "guest"];
/** The job classes of each team. */
export const CLASSES = ["web", "flood"];
const CAPACITY = { cpus: 100, gpus: 0, memoryGb: 1000 };

/** A window that limits admission. `grants`: percentages of the capacity, one for each class of each team. */
export function limitedWindowOf(
  version: number,
  epoch: number,
  grants: readonly number[],
): AdmissionWindow {
  const classes = TEAMS.flatMap((team) => CLASSES.map((name) => ({ team, class: name })));
  return {
    version,
    epoch,
    mode: "limited",
    capacity: CAPACITY,
    grants: classes.map((teamClass, index) => {
      const units = (grants[index]! * WHOLE_SHARE) / 100;
      return { ...teamClass, lanes: { new: units, follower: Math.max(1, units) } };
    }),
    periods: [],
  };
}

/** A model with a window that grants each class the same percentage and that all controllers have read. */
export function limitedModel(percent: number): AdmissionModel {
  const model = new AdmissionModel(CONTROLLER_COUNT);
  writeGrants(model, [percent, percent, percent, percent]);
  for (let index = 0; index < CONTROLLER_COUNT; index++) model.read(index);
  return model;
}

/** Stores a window with these grants, as the leader does. */
export function writeGrants(model: AdmissionModel, grants: readonly number[]): void {
  model.writeWindow((version, epoch) => limitedWindowOf(version, epoch, grants));
}

/** A job of the class `flood`, which overloads admission control in the tests. */
export const floodJob = (id: string, overrides: Partial<JobSpec> = {}): JobSpec =>
  jobSpec(id, { team: "guest", class: "flood", ...overrides });
