/**
 * The part of admission control in one transaction that stores submissions. It decides which jobs the transaction
 * may contain, and adds the changes that charge them to the ledgers of their teams. It also adds the preconditions
 * that the window and each charged ledger have not changed. The transaction therefore commits only if every job would
 * still be admitted.
 */
import type { GateBatch } from "../api/submission-gate.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { Change, Precondition } from "../core/state/key-value.js";
import { ADMISSION_KEY, encodeLedger } from "./codec.js";
import { charge, decide } from "./decision.js";
import type { TeamLedger } from "./model.js";
import type { AdmissionReplica } from "./replica.js";

/**
 * Admits jobs to one transaction and accumulates the corresponding ledger changes. A claim is the number of units (of
 * `WHOLE_SHARE`) that an admitted job is charged.
 */
export class ClaimBatch implements GateBatch {
  /** Ledgers of the teams charged so far, with the claims of this batch added. */
  private readonly ledgers = new Map<string, TeamLedger>();
  /** Mod revision that the ledger of each charged team had in the replica when the team was first charged. */
  private readonly ledgerModRevisions = new Map<string, number>();
  private readonly windowModRevision: number;

  constructor(private readonly replica: AdmissionReplica) {
    this.windowModRevision = replica.windowModRevision;
  }

  /** Returns the number of changes that admitting the job would add to the transaction, besides the job itself. */
  countAdditionalChanges(job: JobSpec): number {
    return this.replica.isLimited && !this.ledgers.has(job.team) ? 1 : 0;
  }

  /**
   * Admits the job if part of the grant that applies to it is unused, according to this controller's replica and the
   * earlier claims of this batch. Returns whether the job was admitted.
   */
  tryAdmit(job: JobSpec): boolean {
    const { replica } = this;
    const window = replica.window?.value ?? null;
    const ledger = this.ledgerOf(job.team);
    const verdict = decide(window, replica.epoch, ledger, job);
    if (!verdict.admitted) return false;
    if (verdict.claim > 0 && window !== null) {
      if (!this.ledgerModRevisions.has(job.team)) {
        this.ledgerModRevisions.set(job.team, replica.ledgerModRevisionOf(job.team));
      }
      this.ledgers.set(job.team, charge(window, ledger, job, verdict.claim));
    }
    return true;
  }

  /** Preconditions that the window and each charged ledger are unchanged since they were read. */
  get preconditions(): Precondition[] {
    const ledgers = [...this.ledgerModRevisions].map(([team, modRevision]) => ({
      key: ADMISSION_KEY.ledger(team),
      modRevision,
    }));
    return [{ key: ADMISSION_KEY.window, modRevision: this.windowModRevision }, ...ledgers];
  }

  /** Changes that store the charged ledgers. */
  get changes(): Change[] {
    return [...this.ledgers].map(([team, ledger]) => ({
      op: "put",
      key: ADMISSION_KEY.ledger(team),
      value: encodeLedger(ledger),
    }));
  }

  private ledgerOf(team: string): TeamLedger | null {
    return this.ledgers.get(team) ?? this.replica.ledgerOf(team);
  }
}
