/**
 * A controller's replica of the admission state: a pure reducer over the changes in the state service, in their order. All
 * controllers that have read up to a revision hold the same state and have logged the same decisions.
 */
import { assertNever } from "../core/assert-never.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { ChangeEvent, KeyValueItem } from "../core/state/key-value.js";
import { decodeEpoch, decodeSubmission, KEY, type Versioned } from "../core/state/stored-values.js";
import { decodeLedger, decodeRejections, decodeWindow, parseAdmissionKey } from "./codec.js";
import { decide, isLimiting } from "./decision.js";
import {
  type AdmissionWindow,
  type DecisionReason,
  type LoggedDecision,
  laneOf,
  NO_RESOURCES,
  type RejectionRecord,
  type TeamLedger,
  type Verdict,
} from "./model.js";

const ACTIVE_JOB_PREFIX = KEY.activeJob("");
/** Number of earlier windows for which rejection records may still arrive. */
const LATE_WINDOWS = 4;

/** The replicated admission state: the window, the ledgers and the rejection records. */
export class AdmissionReplica {
  /** The newest window; null: there is none. */
  window: Versioned<AdmissionWindow> | null = null;
  /** Current epoch of the leadership; a window of another epoch is not in force. */
  epoch = 0;
  /** Every change up to this revision of the store is applied. */
  revision = -1;
  private readonly ledgers = new Map<string, Versioned<TeamLedger>>();
  private readonly rejections = new Map<string, Versioned<RejectionRecord>>();
  /** By version of the window: ids whose rejection is logged, since two controllers may each have rejected a job. */
  private readonly loggedRejections = new Map<number, Set<string>>();
  /** Version of the newest window at the last full read. */
  private versionAtReset = 0;

  /** Replaces everything by a full read at `revision`, and returns the log line that says so. */
  reset(items: readonly KeyValueItem[], revision: number): LoggedDecision[] {
    this.window = null;
    this.epoch = 0;
    this.ledgers.clear();
    this.rejections.clear();
    this.loggedRejections.clear();
    for (const item of items) this.store(item.key, item.value, item.modRevision);
    this.revision = revision;
    this.versionAtReset = this.windowVersion;
    return [{ kind: "reread", revision, window: this.versionAtReset }];
  }

  /** Applies the changes up to `revision`, and returns the decisions in them; changes applied before are ignored. */
  apply(events: readonly ChangeEvent[], revision: number): LoggedDecision[] {
    const decisions: LoggedDecision[] = [];
    let transaction: ChangeEvent[] = [];
    for (const event of events) {
      if (event.modRevision <= this.revision) continue;
      if (transaction.length > 0 && transaction[0]!.modRevision !== event.modRevision) {
        this.applyTransaction(transaction, decisions);
        transaction = [];
      }
      transaction.push(event);
    }
    if (transaction.length > 0) this.applyTransaction(transaction, decisions);
    this.revision = Math.max(this.revision, revision);
    return decisions;
  }

  /** Version of the newest window; 0: there is none. */
  get windowVersion(): number {
    return this.window?.value.version ?? 0;
  }

  /** Does the newest window limit admission? */
  get isLimited(): boolean {
    return isLimiting(this.window?.value ?? null, this.epoch);
  }

  /** Mod revision of the window; 0: there is none. */
  get windowModRevision(): number {
    return this.window?.modRevision ?? 0;
  }

  /** What a team was admitted; null: nothing yet. */
  ledgerOf(team: string): TeamLedger | null {
    return this.ledgers.get(team)?.value ?? null;
  }

  /** Mod revision of a team's ledger; 0: there is none. */
  ledgerModRevisionOf(team: string): number {
    return this.ledgers.get(team)?.modRevision ?? 0;
  }

  /** The newest rejection record of a controller; null: there is none. */
  rejectionsOf(member: string): Versioned<RejectionRecord> | null {
    return this.rejections.get(member) ?? null;
  }

  /** The newest rejection record of every controller. */
  allRejections(): RejectionRecord[] {
    return [...this.rejections.values()].map((record) => record.value);
  }

  /** The verdict on a job, as far as this controller has read. */
  decide(job: JobSpec): Verdict {
    return decide(this.window?.value ?? null, this.epoch, this.ledgerOf(job.team), job);
  }

  /** Applies the changes of one transaction, which all have its revision. */
  private applyTransaction(events: readonly ChangeEvent[], decisions: LoggedDecision[]): void {
    const revision = events[0]!.modRevision;
    const chargedTeams = new Set<string>();
    for (const event of events) {
      const key = parseAdmissionKey(event.key);
      if (key?.kind === "ledger") chargedTeams.add(key.team);
      if (event.removed) this.remove(event.key);
      else this.store(event.key, event.value, event.modRevision);
      if (key?.kind === "rejections") this.logRejections(key.member, revision, decisions);
    }
    for (const event of events) {
      const job = submittedJob(event);
      if (job === null) continue;
      decisions.push(this.admissionDecision(job, revision, chargedTeams.has(job.team)));
    }
    this.revision = revision;
  }

  private admissionDecision(job: JobSpec, revision: number, isCharged: boolean): LoggedDecision {
    const { isLimited } = this;
    const uncharged: DecisionReason = isLimited ? "not charged" : "open";
    return {
      kind: "admit",
      revision,
      window: this.windowVersion,
      job: job.id,
      team: job.team,
      class: job.class,
      lane: laneOf(job),
      reason: isLimited && isCharged ? "within share" : uncharged,
    };
  }

  private logRejections(member: string, revision: number, decisions: LoggedDecision[]): void {
    const record = this.rejections.get(member)?.value;
    // Of a window that began before the full read it is unknown which jobs the other controllers have logged. (A restarted
    // controller logged jobs of such a window again, which the others had logged before.)
    if (record === undefined || record.window <= this.versionAtReset) return;
    const logged = this.loggedRejections.get(record.window) ?? new Set<string>();
    this.loggedRejections.set(record.window, logged);
    for (const refused of record.classes) {
      const { team, class: className, lane } = refused;
      const line = {
        kind: "reject",
        revision,
        window: record.window,
        team,
        class: className,
        lane,
      } as const;
      for (const job of refused.ids) {
        if (logged.has(job)) continue;
        logged.add(job);
        decisions.push({ ...line, job, jobs: 1, reason: "share used" });
      }
      const jobs = refused.jobs - refused.ids.length;
      if (jobs > 0) decisions.push({ ...line, job: null, jobs, reason: "share used" });
    }
  }

  private store(key: string, value: unknown, modRevision: number): void {
    if (key === KEY.epoch) {
      this.epoch = decodeEpoch(value);
      return;
    }
    const parsed = parseAdmissionKey(key);
    if (parsed === null) return;
    switch (parsed.kind) {
      case "window":
        this.storeWindow(decodeWindow(value), modRevision);
        return;
      case "ledger":
        // A ledger that cannot be decoded counts as empty; replacing it takes its mod revision all the same.
        this.ledgers.set(parsed.team, { value: decodeLedger(value) ?? EMPTY_LEDGER, modRevision });
        return;
      case "rejections": {
        const record = decodeRejections(parsed.member, value);
        if (record !== null) this.rejections.set(parsed.member, { value: record, modRevision });
        return;
      }
      default:
        assertNever(parsed);
    }
  }

  private storeWindow(window: AdmissionWindow | null, modRevision: number): void {
    this.window = { value: window ?? UNREADABLE_WINDOW, modRevision };
    for (const version of this.loggedRejections.keys()) {
      if (version < this.windowVersion - LATE_WINDOWS) this.loggedRejections.delete(version);
    }
  }

  private remove(key: string): void {
    const parsed = parseAdmissionKey(key);
    if (parsed === null) return;
    switch (parsed.kind) {
      case "window":
        this.window = null;
        return;
      case "ledger":
        this.ledgers.delete(parsed.team);
        return;
      case "rejections":
        this.rejections.delete(parsed.member);
        return;
      default:
        assertNever(parsed);
    }
  }
}

const EMPTY_LEDGER: TeamLedger = { window: 0, used: new Map() };
/** Stands for a window of a form that this version does not know; it limits nothing. */
const UNREADABLE_WINDOW: AdmissionWindow = {
  version: 0,
  epoch: 0,
  mode: "open",
  capacity: NO_RESOURCES,
  grants: [],
  periods: [],
};

/** The job that a change submits; null: it is another change. */
function submittedJob(event: ChangeEvent): JobSpec | null {
  if (event.removed || !event.key.startsWith(ACTIVE_JOB_PREFIX)) return null;
  return decodeSubmission(event.value);
}
