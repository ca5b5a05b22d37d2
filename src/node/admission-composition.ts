/** Creates the admission control of a node and connects it to the node's log and clock. */
import type { Logger } from "pino";
import { AdmissionControl, type AdmissionPorts, type LoggedDecision } from "../admission/index.js";
import type { OperatorSettings } from "../config/operator.js";
import type { NodeSettings } from "../wire/settings.js";

/** Dependencies of a node's admission control. */
export interface AdmissionCompositionOptions
  extends Pick<AdmissionPorts, "now" | "transact" | "readLatest" | "onWrite"> {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  readonly log: Logger;
}

/** Returns the admission control of a node; null if it is disabled. */
export function createAdmissionControl(
  options: AdmissionCompositionOptions,
): AdmissionControl | null {
  const { settings, operator, log, now, transact, readLatest, onWrite } = options;
  if (!operator.admission.enabled) return null;
  return new AdmissionControl(operator.admission, settings.cluster, {
    member: settings.member,
    now,
    wallMs: Date.now,
    transact,
    readLatest,
    onWrite,
    onDecision: (decision) => logDecision(log, decision),
    onWindowWritten: ({ version, mode, periods }) =>
      log.info({ version, mode, periods }, "admission window"),
  });
}

/** Logs a decision: at debug level if the job was admitted in an open window, which is routine, or else at info. */
function logDecision(log: Logger, decision: LoggedDecision): void {
  const isRoutine = decision.kind === "admit" && decision.reason === "open";
  log[isRoutine ? "debug" : "info"](decision, "admission decision");
}
