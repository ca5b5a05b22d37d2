/**
 * Admission control of one controller: feeds its replica, gates its submissions, stores what it refused, and, while it
 * leads, the windows. All decisions are made by the pure modules; this one only passes them on.
 */

import type { PendingQueue } from "../api/pending-queue.js";
import type { PendingWrite, SubmissionGate } from "../api/submission-gate.js";
import type { Cluster } from "../core/cluster.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { ClusterSettings } from "../core/model/settings.js";
import type { Change, ChangeEvent, KeyValueItem, Precondition } from "../core/state/key-value.js";
import { KEY } from "../core/state/state-replica.js";
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
  readonly member: string;
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
  readonly transact: (
    conditions: readonly Precondition[],
    changes: readonly Change[],
  ) => Promise<TransactionResult>;
  /** True once the replica holds all that was stored when this was called. */
  readonly readLatest: () => Promise<boolean>;
  /** Told of each write, which counts against the controller's share of the state service. */
  readonly onWrite: (changes: number) => void;
  readonly onDecision: (decision: LoggedDecision) => void;
  readonly onWindowWritten: (window: AdmissionWindow) => void;
}

/** What the leader knows, for the next window. */
export interface LeaderView {
  readonly cluster: Cluster;
  /** The cloud gives more machines when they are asked for. */
  readonly growing: boolean;
  readonly epoch: number;
  readonly epochModRevision: number;
}

/** Verdict on a submission that a client may be told. */
export type SubmissionVerdict =
  | { readonly kind: "admissible" }
  | { readonly kind: "known" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "rejected"; readonly retryAfterS: number };

/** Of a stored value, what grants or rejections may take. */
const MAX_VALUE_FILL = 0.6;
/** No team has this name. */
const CANCELLATION_GROUP = "";

export class AdmissionControl implements SubmissionGate {
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

  // ---------------------------------------------------------------- changes that were stored

  reset(items: readonly KeyValueItem[], revision: number): void {
    for (const d of this.replica.reset(items, revision)) this.ports.onDecision(d);
  }

  apply(events: readonly ChangeEvent[], revision: number): void {
    for (const d of this.replica.apply(events, revision)) this.ports.onDecision(d);
  }

  // ---------------------------------------------------------------- submissions

  /** Teams' submissions are served in turn; cancellations are a group of their own. */
  createQueue(): PendingQueue<PendingWrite> {
    return new FairQueue((w) => (w.spec === null ? CANCELLATION_GROUP : w.spec.team));
  }

  /** Claims for one more transaction. */
  beginBatch(): ClaimBatch {
    return new ClaimBatch(this.replica);
  }

  /** After a transaction met a window or ledger that had changed. */
  refresh(): Promise<boolean> {
    return this.ports.readLatest();
  }

  /** Would it be refused, by what this controller has read so far? */
  wouldReject(job: JobSpec): boolean {
    return !this.replica.decide(job).admitted;
  }

  /**
   * The verdict that a client may be told of a job that `refuses`. What was read before the request may be out of date, and
   * the job may have been accepted elsewhere: so first everything that was stored before now is read.
   */
  async verifyRejection(job: JobSpec, isKnown: () => boolean): Promise<SubmissionVerdict> {
    if (!(await this.ports.readLatest())) return { kind: "unavailable" };
    if (isKnown()) return { kind: "known" };
    if (!this.wouldReject(job)) return { kind: "admissible" };
    this.rejectionLog.add(this.replica.windowVersion, job);
    return { kind: "rejected", retryAfterS: retryAfterS(job.id, this.windowS) };
  }

  // ---------------------------------------------------------------- time

  /** Stores what was refused, once a window at the most. */
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

  private async writeRejections(): Promise<void> {
    const { member, transact: txn, readLatest: catchUp, onWrite: wrote } = this.ports;
    const before = this.replica.rejectionsOf(member);
    const sequence = (before?.value.sequence ?? 0) + 1;
    const record = this.rejectionLog.nextRecord(sequence);
    if (record === null) return;
    const key = ADMISSION_KEY.rejections(member);
    wrote(1);
    const result = await txn(
      [{ key, modRevision: before?.modRevision ?? 0 }],
      [{ op: "put", key, value: encodeRejections(record) }],
    );
    if (result.kind === "ok") this.rejectionLog.markStored();
    // Nobody knows, or the answer to an earlier one was lost: what is stored tells.
    else if (result.kind !== "refused" && (await catchUp())) {
      if ((this.replica.rejectionsOf(member)?.value.sequence ?? 0) >= sequence) {
        this.rejectionLog.markStored();
      }
    }
  }

  /** The leader stores the next window when it is due. */
  updateWindow(view: LeaderView): void {
    if (this.isWritingWindow) return;
    const window = this.nextWindow(view);
    if (window === null) return;
    this.isWritingWindow = true;
    void this.writeWindow(window, view.epochModRevision).finally(() => {
      this.isWritingWindow = false;
    });
  }

  private nextWindow(view: LeaderView): AdmissionWindow | null {
    const stored = this.replica.window?.value ?? null;
    const recent = this.recentRejections(stored);
    const periods = activePeriods(this.settings.calendar, this.ports.wallMs());
    return this.planner.nextWindow(this.ports.now(), stored, view.epoch, recent.length > 0, {
      capacity: capacityOf(view.cluster),
      growing: view.growing,
      teams: this.cluster.teams,
      teamWeights: teamWeightsOf(periods),
      classes: classUsages(view.cluster, recent, periods),
      queueRatio: this.settings.queueRatio,
      periods: periods.map((p) => p.name),
      maxBytes: this.maxBytes,
    });
  }

  /** What was refused in the newest window or the one before. */
  private recentRejections(stored: AdmissionWindow | null): RejectionRecord[] {
    if (stored === null) return [];
    return this.replica.allRejections().filter((r) => r.window >= stored.version - 1);
  }

  private async writeWindow(window: AdmissionWindow, epochMark: number): Promise<void> {
    const {
      transact: txn,
      readLatest: catchUp,
      onWrite: wrote,
      onWindowWritten: windowWritten,
      now,
    } = this.ports;
    wrote(1);
    const result = await txn(
      [
        { key: KEY.epoch, modRevision: epochMark },
        { key: ADMISSION_KEY.window, modRevision: this.replica.windowModRevision },
      ],
      [{ op: "put", key: ADMISSION_KEY.window, value: encodeWindow(window) }],
    );
    // The next one is conditional on this one's mark, which only reading tells.
    await catchUp();
    if (result.kind !== "ok") return;
    this.planner.markWritten(now());
    windowWritten(window);
  }
}
