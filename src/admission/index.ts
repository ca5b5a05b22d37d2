/** Fair admission under overload: what other packages and programs may use of it. */
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
  type Admission,
  AdmissionControl,
  type AdmissionPorts,
  type LeaderView,
} from "./control.js";
export { charge, chargedClass, decide, dominantShare, grantFor, limits } from "./decision.js";
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
  openWindow,
  pressure,
  type WindowInput,
} from "./window.js";
export { type PlannerInput, WindowPlanner } from "./window-planner.js";
