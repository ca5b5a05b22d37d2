/**
 * Admission control of one controller: feeds its replica, gates its submissions, stores what it refused, and, while it
 * leads, the windows. All decisions are made by the pure modules; this one only passes them on.
 */
import type { PendingWrite, SubmissionGate } from "../api/intake.js";
import type { PendingQueue } from "../api/pending-queue.js";
import type { Cluster } from "../core/cluster.js";
import type { ClusterSettings, JobSpec } from "../core/model.js";
import { KEY } from "../core/records.js";
import type { TxnResult } from "../state/store.js";
import type { Change, Condition, Event, Item } from "../wire/state.js";
import { activePeriods } from "./calendar.js";
import { ClaimBatch } from "./claims.js";
import { ADMISSION_KEY, encodeRejections, encodeWindow } from "./codec.js";
import { FairQueue } from "./fair-queue.js";
import type { AdmissionWindow, LoggedDecision, RejectionRecord } from "./model.js";
import { RejectionLog, retryAfterS } from "./rejections.js";
import { AdmissionReplica } from "./replica.js";
import type { AdmissionSettings } from "./settings.js";
import { capacityOf, classUsages, teamWeights } from "./usage.js";
import { WindowPlanner } from "./window-planner.js";

/** What admission control needs of the controller that it is part of. */
export interface AdmissionPorts {
  readonly member: string;
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
  readonly txn: (
    conditions: readonly Condition[],
    changes: readonly Change[],
  ) => Promise<TxnResult>;
  /** True once the replica holds all that was stored when this was called. */
  readonly catchUp: () => Promise<boolean>;
  /** Told of each write, which counts against the controller's share of the state service. */
  readonly wrote: (changes: number) => void;
  readonly decided: (decision: LoggedDecision) => void;
  readonly windowWritten: (window: AdmissionWindow) => void;
}

/** What the leader knows, for the next window. */
export interface LeaderView {
  readonly cluster: Cluster;
  /** The cloud gives more machines when they are asked for. */
  readonly growing: boolean;
  readonly epoch: number;
  readonly epochMark: number;
}

/** Verdict on a submission that a client may be told. */
export type Admission =
  | { readonly kind: "admissible" }
  | { readonly kind: "known" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "rejected"; readonly retryAfterS: number };

/** Of a stored value, what grants or rejections may take. */
const FILLED = 0.6;
/** No team has this name. */
const CANCELLATIONS = "";

export class AdmissionControl implements SubmissionGate {
  readonly replica = new AdmissionReplica();
  private readonly rejections: RejectionLog;
  private readonly planner: WindowPlanner;
  private readonly windowS: number;
  private readonly maxBytes: number;
  private writingWindow = false;
  private writingRejections = false;
  private rejectionsWrittenAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: AdmissionSettings,
    private readonly cluster: ClusterSettings,
    private readonly ports: AdmissionPorts,
  ) {
    this.windowS = settings.windowRatio * cluster.reportS;
    this.maxBytes = FILLED * 1024 * cluster.valueKb;
    this.rejections = new RejectionLog(ports.member, this.maxBytes);
    this.planner = new WindowPlanner(this.windowS);
  }

  // ---------------------------------------------------------------- changes that were stored

  reset(items: readonly Item[], revision: number): void {
    for (const d of this.replica.reset(items, revision)) this.ports.decided(d);
  }

  apply(events: readonly Event[], revision: number): void {
    for (const d of this.replica.apply(events, revision)) this.ports.decided(d);
  }

  // ---------------------------------------------------------------- submissions

  /** Teams' submissions are served in turn; cancellations are a group of their own. */
  queue(): PendingQueue<PendingWrite> {
    return new FairQueue((w) => (w.spec === null ? CANCELLATIONS : w.spec.team));
  }

  /** Claims for one more transaction. */
  begin(): ClaimBatch {
    return new ClaimBatch(this.replica);
  }

  /** After a transaction met a window or ledger that had changed. */
  refresh(): Promise<boolean> {
    return this.ports.catchUp();
  }

  /** Would it be refused, by what this controller has read so far? */
  refuses(job: JobSpec): boolean {
    return !this.replica.decide(job).admitted;
  }

  /**
   * The verdict that a client may be told of a job that `refuses`. What was read before the request may be out of date, and
   * the job may have been accepted elsewhere: so first everything that was stored before now is read.
   */
  async verify(job: JobSpec, isKnown: () => boolean): Promise<Admission> {
    if (!(await this.ports.catchUp())) return { kind: "unavailable" };
    if (isKnown()) return { kind: "known" };
    if (!this.refuses(job)) return { kind: "admissible" };
    this.rejections.add(this.replica.version, job);
    return { kind: "rejected", retryAfterS: retryAfterS(job.id, this.windowS) };
  }

  // ---------------------------------------------------------------- time

  /** Stores what was refused, once a window at the most. */
  tick(): void {
    const now = this.ports.now();
    if (this.writingRejections || this.rejections.isEmpty) return;
    if (now - this.rejectionsWrittenAt < this.windowS) return;
    this.rejectionsWrittenAt = now;
    this.writingRejections = true;
    void this.writeRejections().finally(() => {
      this.writingRejections = false;
    });
  }

  private async writeRejections(): Promise<void> {
    const { member, txn, catchUp, wrote } = this.ports;
    const before = this.replica.rejectionsOf(member);
    const sequence = (before?.value.sequence ?? 0) + 1;
    const record = this.rejections.next(sequence);
    if (record === null) return;
    const key = ADMISSION_KEY.rejections(member);
    wrote(1);
    const result = await txn(
      [{ key, mark: before?.mark ?? 0 }],
      [{ op: "put", key, value: encodeRejections(record) }],
    );
    if (result.kind === "ok") this.rejections.stored();
    // Nobody knows, or the answer to an earlier one was lost: what is stored tells.
    else if (result.kind !== "refused" && (await catchUp())) {
      if ((this.replica.rejectionsOf(member)?.value.sequence ?? 0) >= sequence) {
        this.rejections.stored();
      }
    }
  }

  /** The leader stores the next window when it is due. */
  lead(view: LeaderView): void {
    if (this.writingWindow) return;
    const window = this.nextWindow(view);
    if (window === null) return;
    this.writingWindow = true;
    void this.writeWindow(window, view.epochMark).finally(() => {
      this.writingWindow = false;
    });
  }

  private nextWindow(view: LeaderView): AdmissionWindow | null {
    const stored = this.replica.window?.value ?? null;
    const recent = this.recentRejections(stored);
    const periods = activePeriods(this.settings.calendar, this.ports.wallMs());
    return this.planner.next(this.ports.now(), stored, view.epoch, recent.length > 0, {
      capacity: capacityOf(view.cluster),
      growing: view.growing,
      teams: this.cluster.teams,
      teamWeights: teamWeights(periods),
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
    const { txn, catchUp, wrote, windowWritten, now } = this.ports;
    wrote(1);
    const result = await txn(
      [
        { key: KEY.epoch, mark: epochMark },
        { key: ADMISSION_KEY.window, mark: this.replica.windowMark },
      ],
      [{ op: "put", key: ADMISSION_KEY.window, value: encodeWindow(window) }],
    );
    // The next one is conditional on this one's mark, which only reading tells.
    await catchUp();
    if (result.kind !== "ok") return;
    this.planner.written(now());
    windowWritten(window);
  }
}
