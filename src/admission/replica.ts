/**
 * A controller's replica of the admission state, built by applying the changes in the state service in order. All
 * controllers that have applied the changes up to the same revision hold the same state and have logged the same
 * decisions.
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
/** Number of windows before the newest one for which rejection records may still arrive. */
const LATE_RECORD_WINDOWS = 4;

/** The replicated admission state: the window, the ledgers and the rejection records. */
export class AdmissionReplica {
  /** The newest window, or null if there is none. */
  window: Versioned<AdmissionWindow> | null = null;
  /** Current leadership epoch. A window of another epoch is not in force. */
  epoch = 0;
  /** Revision of the state service up to which every change has been applied. */
  revision = -1;
  private readonly ledgers = new Map<string, Versioned<TeamLedger>>();
  private readonly rejections = new Map<string, Versioned<RejectionRecord>>();
  /**
   * Ids of the jobs whose rejection has been logged, by window version. They prevent a second log entry when two
   * controllers have rejected the same job.
   */
  private readonly loggedJobIdsByWindow = new Map<number, Set<string>>();
  /** Version of the newest window at the last full read. */
  private windowVersionAtReset = 0;

  /** Replaces the whole state with a full read at `revision`, and returns the log entry for the full read. */
  reset(items: readonly KeyValueItem[], revision: number): LoggedDecision[] {
    this.window = null;
    this.epoch = 0;
    this.ledgers.clear();
    this.rejections.clear();
    this.loggedJobIdsByWindow.clear();
    for (const item of items) this.applyPut(item.key, item.value, item.modRevision);
    this.revision = revision;
    this.windowVersionAtReset = this.windowVersion;
    return [{ kind: "reread", revision, window: this.windowVersionAtReset }];
  }

  /** Applies the changes up to `revision` and returns the decisions in them. Changes already applied are ignored. */
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

  /** Version of the newest window, or 0 if there is none. */
  get windowVersion(): number {
    return this.window?.value.version ?? 0;
  }

  /** Whether the newest window limits admission. */
  get isLimited(): boolean {
    return isLimiting(this.window?.value ?? null, this.epoch);
  }

  /** Mod revision of the window, or 0 if there is none. */
  get windowModRevision(): number {
    return this.window?.modRevision ?? 0;
  }

  /** Returns the ledger of a team, or null if it has none yet. */
  ledgerOf(team: string): TeamLedger | null {
    return this.ledgers.get(team)?.value ?? null;
  }

  /** Returns the mod revision of a team's ledger, or 0 if it has none. */
  ledgerModRevisionOf(team: string): number {
    return this.ledgers.get(team)?.modRevision ?? 0;
  }

  /** Returns the newest rejection record of a controller, or null if there is none. */
  rejectionsOf(member: string): Versioned<RejectionRecord> | null {
    return this.rejections.get(member) ?? null;
  }

  /** Returns the newest rejection record of every controller. */
  allRejections(): RejectionRecord[] {
    return [...this.rejections.values()].map((record) => record.value);
  }

  /** Returns the verdict on a job, based on the changes applied so far. */
  decide(job: JobSpec): Verdict {
    return decide(this.window?.value ?? null, this.epoch, this.ledgerOf(job.team), job);
  }

  /** Applies the changes of one transaction, which all have the same revision. */
  private applyTransaction(events: readonly ChangeEvent[], decisions: LoggedDecision[]): void {
    const revision = events[0]!.modRevision;
    const chargedTeams = new Set<string>();
    for (const event of events) {
      const key = parseAdmissionKey(event.key);
      if (key?.kind === "ledger") chargedTeams.add(key.team);
      if (event.removed) this.applyRemoval(event.key);
      else this.applyPut(event.key, event.value, event.modRevision);
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
    const reasonIfUncharged: DecisionReason = isLimited ? "not charged" : "open";
    return {
      kind: "admit",
      revision,
      window: this.windowVersion,
      job: job.id,
      team: job.team,
      class: job.class,
      lane: laneOf(job),
      reason: isLimited && isCharged ? "within share" : reasonIfUncharged,
    };
  }

  private logRejections(member: string, revision: number, decisions: LoggedDecision[]): void {
    const record = this.rejections.get(member)?.value;
    // For a window that began before the full read, it is unknown which rejections the other controllers have already
    // logged. Without this check, a restarted controller logged rejections again that the others had logged earlier.
    if (record === undefined || record.window <= this.windowVersionAtReset) return;
    const loggedJobIds = this.loggedJobIdsByWindow.get(record.window) ?? new Set<string>();
    this.loggedJobIdsByWindow.set(record.window, loggedJobIds);
    for (const refused of record.classes) {
      const { team, class: className, lane } = refused;
      const commonFields = {
        kind: "reject",
        revision,
        window: record.window,
        team,
        class: className,
        lane,
      } as const;
      for (const job of refused.ids) {
        if (loggedJobIds.has(job)) continue;
        loggedJobIds.add(job);
        decisions.push({ ...commonFields, job, jobs: 1, reason: "share used" });
      }
      const jobs = refused.jobs - refused.ids.length;
      if (jobs > 0) decisions.push({ ...commonFields, job: null, jobs, reason: "share used" });
    }
  }

  private applyPut(key: string, value: unknown, modRevision: number): void {
    if (key === KEY.epoch) {
      this.epoch = decodeEpoch(value);
      return;
    }
    const parsed = parseAdmissionKey(key);
    if (parsed === null) return;
    switch (parsed.kind) {
      case "window":
        this.applyWindow(decodeWindow(value), modRevision);
        return;
      case "ledger":
        // A ledger that cannot be decoded counts as empty. Its mod revision is still needed to replace it.
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

  private applyWindow(window: AdmissionWindow | null, modRevision: number): void {
    this.window = { value: window ?? UNREADABLE_WINDOW, modRevision };
    for (const version of this.loggedJobIdsByWindow.keys()) {
      if (version < this.windowVersion - LATE_RECORD_WINDOWS)
        this.loggedJobIdsByWindow.delete(version);
    }
  }

  private applyRemoval(key: string): void {
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
/** Replaces a window whose stored form this program version cannot decode. It does not limit admission. */
const UNREADABLE_WINDOW: AdmissionWindow = {
  version: 0,
  epoch: 0,
  mode: "open",
  capacity: NO_RESOURCES,
  grants: [],
  periods: [],
};

/** Returns the job that a change submits, or null if the change is not a submission. */
function submittedJob(event: ChangeEvent): JobSpec | null {
  if (event.removed || !event.key.startsWith(ACTIVE_JOB_PREFIX)) return null;
  return decodeSubmission(event.value);
}
