/** Checks the stored admission windows, the ledgers and the decision logs of an overload run. */
import {
  type AdmissionWindow,
  decodeLedger,
  decodeWindow,
  type TeamLedger,
  WHOLE_SHARE,
} from "../../../src/admission/index.js";
import { compareDecisionLogs, type DecisionLine } from "../decision-logs.js";
import { CLASS_LOADS } from "./workload.js";

const LEDGER_PREFIX = "a/t/";

/** Counts from the decision logs of all controllers. */
export interface LogComparison {
  readonly compared: number;
  readonly admitted: number;
  readonly rejected: number;
}

/** Compares the decision logs of all controllers, which must be identical. */
export function auditLogs(logs: readonly (readonly DecisionLine[])[]): LogComparison {
  const compared = compareDecisionLogs(logs);
  const admissions = logs.flat().filter(({ kind }) => kind === "admit");
  const rejected = logs[0]!
    .filter(({ kind }) => kind === "reject")
    .reduce((sum, { jobs }) => sum + Number(jobs), 0);
  return { compared, admitted: new Set(admissions.map(({ job }) => job)).size, rejected };
}

/** Checks that no ledger exceeds the grants of its window by more than one job. Returns the number of windows. */
export function auditWindows(
  history: Iterable<{ readonly key: string; readonly value: unknown }>,
  onFault: (fault: string) => void,
): number {
  let window: AdmissionWindow | null = null;
  let windows = 0;
  for (const { key, value } of history) {
    if (key === "a/w") {
      window = decodeWindow(value);
      windows++;
    }
    if (!key.startsWith(LEDGER_PREFIX) || window === null) continue;
    const team = decodeURIComponent(key.slice(LEDGER_PREFIX.length));
    auditLedger(window, team, decodeLedger(value)!, onFault);
  }
  return windows;
}

function auditLedger(
  window: AdmissionWindow,
  team: string,
  ledger: TeamLedger,
  onFault: (fault: string) => void,
): void {
  if (ledger.window !== window.version) {
    onFault(`a claim on window ${ledger.window} was written in window ${window.version}`);
    return;
  }
  const load = CLASS_LOADS.find((candidate) => candidate.team === team)!;
  const largestClaim = Math.ceil((load.tasks / window.capacity.cpus) * WHOLE_SHARE) + 1;
  for (const [name, used] of ledger.used) {
    const grant = window.grants.find(
      (candidate) => candidate.team === team && (candidate.class ?? "") === name,
    );
    if (grant === undefined || used.new >= grant.lanes.new + largestClaim) {
      onFault(
        `${team} ${name}: claims of ${used.new} exceed the grant in window ${window.version}`,
      );
    }
  }
}
