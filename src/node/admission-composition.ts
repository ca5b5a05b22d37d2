/** Connects admission control with the node that it is part of. */
import type { Logger } from "pino";
import { AdmissionControl, type AdmissionPorts, type LoggedDecision } from "../admission/index.js";
import type { OperatorSettings } from "../config/operator.js";
import type { NodeSettings } from "../wire/settings.js";

/** What admission control of a node is created from. */
export interface AdmissionCompositionOptions
  extends Pick<AdmissionPorts, "now" | "transact" | "readLatest" | "onWrite"> {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  readonly log: Logger;
}

/** Admission control of a node; null if it is switched off. */
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

/** What an open window admits is of no interest to operators. */
function logDecision(log: Logger, decision: LoggedDecision): void {
  const isRoutine = decision.kind === "admit" && decision.reason === "open";
  log[isRoutine ? "debug" : "info"](decision, "admission decision");
}
