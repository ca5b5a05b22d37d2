/**
 * Admission control of one controller: updates its replica of the admission state, admits or rejects the submissions
 * that it receives, stores its rejection records and, while it is the leader, the admission windows. Other modules
 * make the decisions without side effects; this module connects them to the clock and to the state service.
 */
import type { PendingQueue } from "../api/pending-queue.js";
import type { PendingWrite, SubmissionGate } from "../api/submission-gate.js";
import type { Cluster } from "../core/cluster.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { ClusterSettings } from "../core/model/settings.js";
import type { Change, ChangeEvent, KeyValueItem, Precondition } from "../core/state/key-value.js";
import { KEY } from "../core/state/stored-values.js";
import type { TransactionResult } from "../state/key-value-client.js";
import { activePeriods } from "./calendar.js";
import { ClaimBatch } from "./claims.js";
import { ADMISSION_KEY, encodeRejections, encodeWindow } from "./codec.js";
import { FairQueue } from "./fair-queue.js";
import type { AdmissionWindow, LoggedDecision, RejectionRecord } from "./model.js";
import { RejectionLog, retryAfterS } from "./rejections.js";
import { AdmissionReplica } from "./replica.js";
import type { AdmissionSettings } from "./settings.js";
import { capacityOf, classUsages, teamWeightsOf } from "./usage.js";
import { WindowPlanner } from "./window-planner.js";

/** Services that the controller provides to admission control. */
export interface AdmissionPorts {
  /** Name of this controller. */
  readonly member: string;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Time of day, in milliseconds since the Unix epoch. */
  readonly wallMs: () => number;
  readonly transact: (
    preconditions: readonly Precondition[],
    changes: readonly Change[],
  ) => Promise<TransactionResult>;
  /** Linearizable read. Resolves to true once the replica includes every change stored before the call. */
  readonly readLatest: () => Promise<boolean>;
  /** Called before each write. Writes count against the controller's write budget. */
  readonly onWrite: (changes: number) => void;
  /** Called with each decision, in the order in which the state service applied the changes. */
  readonly onDecision: (decision: LoggedDecision) => void;
  /** Called after this controller has stored a window. */
  readonly onWindowWritten: (window: AdmissionWindow) => void;
}

/** The leader's view of the cluster, from which the next window is computed. */
export interface LeaderView {
  readonly cluster: Cluster;
  /** Whether the cloud still grants requests for more machines. */
  readonly growing: boolean;
  /** Leadership epoch. */
  readonly epoch: number;
  /**
   * Mod revision of the epoch's key. It is a precondition of writing a window, so that a previous leader cannot store
   * one.
   */
  readonly epochModRevision: number;
}

/** Verdict on a submission, in the form in which the client is answered. */
export type SubmissionVerdict =
  /** Part of the grant that applies to the job is unused. */
  | { readonly kind: "admissible" }
  /** The job was accepted earlier. */
  | { readonly kind: "known" }
  /** The state service did not answer, so the verdict is unknown. */
  | { readonly kind: "unavailable" }
  | { readonly kind: "rejected"; readonly retryAfterS: number };

/** Largest size of the grants in a window, and of a rejection record, as a fraction of the size limit of a value. */
const MAX_VALUE_FILL_RATIO = 0.6;
/** Name of the queue group for cancellations. No team can have this name. */
const CANCELLATION_GROUP = "";

/** Admission control of one controller. */
export class AdmissionControl implements SubmissionGate {
  /** The admission state as read by this controller. */
  readonly replica = new AdmissionReplica();
  private readonly rejectionLog: RejectionLog;
  private readonly planner: WindowPlanner;
  private readonly windowS: number;
  private readonly maxBytes: number;
  private isWritingWindow = false;
  private isWritingRejections = false;
  private rejectionsWrittenAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: AdmissionSettings,
    private readonly cluster: ClusterSettings,
    private readonly ports: AdmissionPorts,
  ) {
    this.windowS = settings.windowRatio * cluster.heartbeatIntervalS;
    this.maxBytes = MAX_VALUE_FILL_RATIO * 1024 * cluster.valueKb;
    this.rejectionLog = new RejectionLog(ports.member, this.maxBytes);
    this.planner = new WindowPlanner(this.windowS);
  }

  /** Replaces the content of the replica with a full read of the state service at `revision`. */
  reset(items: readonly KeyValueItem[], revision: number): void {
    for (const decision of this.replica.reset(items, revision)) this.ports.onDecision(decision);
  }

  /** Applies the changes up to `revision` to the replica. */
  apply(events: readonly ChangeEvent[], revision: number): void {
    for (const decision of this.replica.apply(events, revision)) this.ports.onDecision(decision);
  }

  /** Creates a queue that serves the teams in round-robin order. Cancellations form a group of their own. */
  createQueue(): PendingQueue<PendingWrite> {
    return new FairQueue(({ spec }) => (spec === null ? CANCELLATION_GROUP : spec.team));
  }

  /** Creates the batch that collects the jobs to be admitted in one transaction. */
  beginBatch(): ClaimBatch {
    return new ClaimBatch(this.replica);
  }

  /** Reads the latest state after a transaction failed because the window or a ledger had changed. */
  refresh(): Promise<boolean> {
    return this.ports.readLatest();
  }

  /** Returns whether the job would be rejected, based on the state that this controller has read so far. */
  wouldReject(job: JobSpec): boolean {
    return !this.replica.decide(job).admitted;
  }

  /**
   * Checks a rejection before it is returned to the client: `wouldReject` returned true for the job, but the replica
   * may be out of date, and another controller may have accepted the job. This method therefore reads all changes
   * stored before the call and then decides again.
   */
  async verifyRejection(job: JobSpec, isKnown: () => boolean): Promise<SubmissionVerdict> {
    if (!(await this.ports.readLatest())) return { kind: "unavailable" };
    if (isKnown()) return { kind: "known" };
    if (!this.wouldReject(job)) return { kind: "admissible" };
    this.rejectionLog.add(this.replica.windowVersion, job);
    return { kind: "rejected", retryAfterS: retryAfterS(job.id, this.windowS) };
  }

  /** Stores the recorded rejections, at most once per window length. */
  flushRejections(): void {
    const now = this.ports.now();
    if (this.isWritingRejections || this.rejectionLog.isEmpty) return;
    if (now - this.rejectionsWrittenAt < this.windowS) return;
    this.rejectionsWrittenAt = now;
    this.isWritingRejections = true;
    void this.writeRejections().finally(() => {
      this.isWritingRejections = false;
    });
  }

  /** Stores the next window if one is due. Only the leader calls this. */
  updateWindow(view: LeaderView): void {
    if (this.isWritingWindow) return;
    const window = this.nextWindow(view);
    if (window === null) return;
    this.isWritingWindow = true;
    void this.writeWindow(window, view.epochModRevision).finally(() => {
      this.isWritingWindow = false;
    });
  }

  private async writeRejections(): Promise<void> {
    const { member, transact, readLatest, onWrite } = this.ports;
    const stored = this.replica.rejectionsOf(member);
    const sequence = (stored?.value.sequence ?? 0) + 1;
    const record = this.rejectionLog.nextRecord(sequence);
    if (record === null) return;
    const key = ADMISSION_KEY.rejections(member);
    onWrite(1);
    const result = await transact(
      [{ key, modRevision: stored?.modRevision ?? 0 }],
      [{ op: "put", key, value: encodeRejections(record) }],
    );
    if (result.kind === "ok") {
      this.rejectionLog.markStored();
    } else if (result.kind !== "refused" && (await readLatest()) && this.isStored(sequence)) {
      // The record is stored although this write was not confirmed: either its answer was lost, or it failed because
      // an earlier write of the record, whose answer was lost, had succeeded.
      this.rejectionLog.markStored();
    }
  }

  /** Returns whether this controller's rejection record with this sequence number, or a later one, is stored. */
  private isStored(sequence: number): boolean {
    return (this.replica.rejectionsOf(this.ports.member)?.value.sequence ?? 0) >= sequence;
  }

  private nextWindow(view: LeaderView): AdmissionWindow | null {
    const stored = this.replica.window?.value ?? null;
    const rejections = this.recentRejections(stored);
    const periods = activePeriods(this.settings.calendar, this.ports.wallMs());
    return this.planner.nextWindow({
      now: this.ports.now(),
      stored,
      epoch: view.epoch,
      hasRecentRejections: rejections.length > 0,
      input: {
        capacity: capacityOf(view.cluster),
        growing: view.growing,
        teams: this.cluster.teams,
        teamWeights: teamWeightsOf(periods),
        classes: classUsages(view.cluster, rejections, periods),
        queueRatio: this.settings.queueRatio,
        periods: periods.map((period) => period.name),
        maxBytes: this.maxBytes,
      },
    });
  }

  /** Returns the records of the rejections in the newest window or the one before. */
  private recentRejections(stored: AdmissionWindow | null): RejectionRecord[] {
    if (stored === null) return [];
    return this.replica.allRejections().filter((record) => record.window >= stored.version - 1);
  }

  private async writeWindow(window: AdmissionWindow, epochModRevision: number): Promise<void> {
    const { transact, readLatest, onWrite, onWindowWritten, now } = this.ports;
    onWrite(1);
    const result = await transact(
      [
        { key: KEY.epoch, modRevision: epochModRevision },
        { key: ADMISSION_KEY.window, modRevision: this.replica.windowModRevision },
      ],
      [{ op: "put", key: ADMISSION_KEY.window, value: encodeWindow(window) }],
    );
    // The mod revision of this window is a precondition of the next one, and only a read provides it.
    await readLatest();
    if (result.kind !== "ok") return;
    this.planner.markWritten(now());
    onWindowWritten(window);
  }
}
