/** Windows, jobs and models that the tests of admission replicas share. */
import { type AdmissionWindow, WHOLE_SHARE } from "../../src/admission/index.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import { AdmissionModel } from "./admission-model.js";
import { jobSpec } from "./job-builders.js";

/** Number of controllers in the models. */
export const CONTROLLERS = 3;
export const TEAMS = ["bookings", "guest"];
export const CLASSES = ["web", "flood"];
const CAPACITY = { cpus: 100, gpus: 0, memoryGb: 1000 };

/** A limited window; `grants` are percentages of the capacity, for each class of each team. */
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
    grants: classes.map((named, index) => {
      const units = (grants[index]! * WHOLE_SHARE) / 100;
      return { ...named, lanes: { new: units, follower: Math.max(1, units) } };
    }),
    periods: [],
  };
}

/** A window that grants each class the same percentage, read by all controllers. */
export function limitedModel(percent: number): AdmissionModel {
  const model = new AdmissionModel(CONTROLLERS);
  writeGrants(model, [percent, percent, percent, percent]);
  for (let index = 0; index < CONTROLLERS; index++) model.read(index);
  return model;
}

/** The leader stores a limited window with these grants. */
export function writeGrants(model: AdmissionModel, grants: readonly number[]): void {
  model.writeWindow((version, epoch) => limitedWindowOf(version, epoch, grants));
}

/** A job of the class that floods admission. */
export const floodJob = (id: string, change: Partial<JobSpec> = {}): JobSpec =>
  jobSpec(id, { team: "guest", class: "flood", ...change });
