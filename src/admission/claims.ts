/**
 * Claims of one transaction: which submissions may go into it, and what it must hold beside them. It is conditional on the
 * window and on the ledger of each team that is charged, so it is carried out only if the verdicts still hold.
 */
import type { JobSpec } from "../core/model/jobs.js";
import type { Change, Precondition } from "../core/state/key-value.js";
import { ADMISSION_KEY, encodeLedger } from "./codec.js";
import { charge, decide } from "./decision.js";
import type { TeamLedger } from "./model.js";
import type { AdmissionReplica } from "./replica.js";

export class ClaimBatch {
  private readonly ledgers = new Map<string, TeamLedger>();
  private readonly ledgerModRevisions = new Map<string, number>();
  private readonly windowModRevision: number;

  constructor(private readonly replica: AdmissionReplica) {
    this.windowModRevision = replica.windowModRevision;
  }

  private ledgerOf(team: string): TeamLedger | null {
    return this.ledgers.get(team) ?? this.replica.ledgerOf(team);
  }

  /** Changes that the transaction gets beside the job itself, if it is admitted. */
  extraChanges(job: JobSpec): number {
    return this.replica.isLimited && !this.ledgers.has(job.team) ? 1 : 0;
  }

  /** False: by what this controller has read, the job's class has used its grant. */
  tryAdmit(job: JobSpec): boolean {
    const { replica } = this;
    const window = replica.window?.value ?? null;
    const ledger = this.ledgerOf(job.team);
    const verdict = decide(window, replica.epoch, ledger, job);
    if (!verdict.admitted) return false;
    if (verdict.claim > 0 && window !== null) {
      if (!this.ledgerModRevisions.has(job.team))
        this.ledgerModRevisions.set(job.team, replica.ledgerModRevisionOf(job.team));
      this.ledgers.set(job.team, charge(window, ledger, job, verdict.claim));
    }
    return true;
  }

  get preconditions(): Precondition[] {
    const ledgers = [...this.ledgerModRevisions].map(([team, modRevision]) => ({
      key: ADMISSION_KEY.ledger(team),
      modRevision,
    }));
    return [{ key: ADMISSION_KEY.window, modRevision: this.windowModRevision }, ...ledgers];
  }

  get changes(): Change[] {
    return [...this.ledgers].map(([team, ledger]) => ({
      op: "put",
      key: ADMISSION_KEY.ledger(team),
      value: encodeLedger(ledger),
    }));
  }
}
