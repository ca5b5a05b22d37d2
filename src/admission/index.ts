/**
 * Fair admission control under overload. This module is its public interface, both for programs that embed it (as
 * `peatsaddle/admission`) and for the other modules of the scheduler. A program that only needs the shares and the
 * decisions can use the pure functions `limitedWindow`, `decide` and `charge` alone.
 */
export { activePeriods, type Calendar, isTimeZone, type Period } from "./calendar.js";
export { ClaimBatch } from "./claims.js";
export {
  ADMISSION_KEY,
  decodeLedger,
  decodeRejections,
  decodeWindow,
  encodeLedger,
  encodeRejections,
  encodeWindow,
} from "./codec.js";
export {
  AdmissionControl,
  type AdmissionPorts,
  type LeaderView,
  type SubmissionVerdict,
} from "./control.js";
export {
  charge,
  chargedClass,
  decide,
  dominantShare,
  grantFor,
  isLimiting,
} from "./decision.js";
export { FairQueue } from "./fair-queue.js";
export { type Claimant, type FairShareInput, fairFractions } from "./fair-share.js";
export * from "./model.js";
export { RejectionLog, retryAfterS } from "./rejections.js";
export { AdmissionReplica } from "./replica.js";
export { type AdmissionSettings, type DecodedAdmission, decodeAdmission } from "./settings.js";
export { type AdmissionStatus, admissionStatus, type ClassStatus, formatStatus } from "./status.js";
export {
  type ClassUsage,
  limitedWindow,
  loadRatio,
  openWindow,
  type WindowInput,
} from "./window.js";
export { type PlannerInput, type PlannerState, WindowPlanner } from "./window-planner.js";
