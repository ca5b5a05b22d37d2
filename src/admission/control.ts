/**
 * Admission control of one controller: feeds its replica, gates its submissions, stores its rejections and, while it
 * leads, the windows. The decisions are made by pure modules; this one connects them to time and to the state service.
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

/** What admission control needs of the controller that it is part of. */
export interface AdmissionPorts {
  /** Name of this controller. */
  readonly member: string;
  /** Monotonic time, in seconds. */
  readonly now: () => number;
  /** Time of day, in milliseconds since the Unix epoch. */
  readonly wallMs: () => number;
  readonly transact: (
    preconditions: readonly Precondition[],
    changes: readonly Change[],
  ) => Promise<TransactionResult>;
  /** Linearizable read; true once the replica holds everything that was stored when this was called. */
  readonly readLatest: () => Promise<boolean>;
  /** Called before each write, which counts against the controller's write budget. */
  readonly onWrite: (changes: number) => void;
  /** Called with each decision, in the order of the state service. */
  readonly onDecision: (decision: LoggedDecision) => void;
  /** Called when this controller has stored a window. */
  readonly onWindowWritten: (window: AdmissionWindow) => void;
}

/** The leader's input for the next window. */
export interface LeaderView {
  readonly cluster: Cluster;
  /** The cloud still grants requests for more machines. */
  readonly growing: boolean;
  /** Epoch of the leadership. */
  readonly epoch: number;
  /** Mod revision of the epoch's key: a precondition of the window, so that a former leader cannot store one. */
  readonly epochModRevision: number;
}

/** Verdict on a submission that a client may be answered with. */
export type SubmissionVerdict =
  /** A grant is left for it. */
  | { readonly kind: "admissible" }
  /** It was accepted before. */
  | { readonly kind: "known" }
  /** The state service gave no answer, so nothing is certain. */
  | { readonly kind: "unavailable" }
  | { readonly kind: "rejected"; readonly retryAfterS: number };

/** Ratio of the size limit of stored values that grants or rejections may fill. */
const MAX_VALUE_FILL = 0.6;
/** Queue of the cancellations; no team has this name. */
const CANCELLATION_GROUP = "";

/** Admission control of one controller. */
export class AdmissionControl implements SubmissionGate {
  /** What this controller has read of the admission state. */
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
    this.maxBytes = MAX_VALUE_FILL * 1024 * cluster.valueKb;
    this.rejectionLog = new RejectionLog(ports.member, this.maxBytes);
    this.planner = new WindowPlanner(this.windowS);
  }

  /** Replaces the replica by a full read of the state service at `revision`. */
  reset(items: readonly KeyValueItem[], revision: number): void {
    for (const decision of this.replica.reset(items, revision)) this.ports.onDecision(decision);
  }

  /** Applies the changes up to `revision` to the replica. */
  apply(events: readonly ChangeEvent[], revision: number): void {
    for (const decision of this.replica.apply(events, revision)) this.ports.onDecision(decision);
  }

  /** A queue that serves the teams' submissions in turn; cancellations are a group of their own. */
  createQueue(): PendingQueue<PendingWrite> {
    return new FairQueue(({ spec }) => (spec === null ? CANCELLATION_GROUP : spec.team));
  }

  /** Claims for one more transaction. */
  beginBatch(): ClaimBatch {
    return new ClaimBatch(this.replica);
  }

  /** Reads the latest state, after a transaction found that a window or ledger had changed. */
  refresh(): Promise<boolean> {
    return this.ports.readLatest();
  }

  /** Would the job be rejected, as far as this controller has read? */
  wouldReject(job: JobSpec): boolean {
    return !this.replica.decide(job).admitted;
  }

  /**
   * The verdict that a client may be answered with on a job for which `wouldReject` returned true. What was read before
   * the request may be out of date, and the job may have been accepted elsewhere: so this reads everything that was
   * stored before now first.
   */
  async verifyRejection(job: JobSpec, isKnown: () => boolean): Promise<SubmissionVerdict> {
    if (!(await this.ports.readLatest())) return { kind: "unavailable" };
    if (isKnown()) return { kind: "known" };
    if (!this.wouldReject(job)) return { kind: "admissible" };
    this.rejectionLog.add(this.replica.windowVersion, job);
    return { kind: "rejected", retryAfterS: retryAfterS(job.id, this.windowS) };
  }

  /** Stores the rejections, at most once per window. */
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

  /** Stores the next window if one is due; only the leader calls this. */
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
      // The outcome was unknown, or an earlier write of this record had been carried out unnoticed.
      this.rejectionLog.markStored();
    }
  }

  /** Is this controller's rejection record with this number stored, or a later one? */
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

  /** What was rejected in the newest window or the one before. */
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
    // The mod revision of this window is a precondition of the next one, and only a read tells it.
    await readLatest();
    if (result.kind !== "ok") return;
    this.planner.markWritten(now());
    onWindowWritten(window);
  }
}
