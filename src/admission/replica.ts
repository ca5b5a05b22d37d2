/**
 * A controller's replica of the admission state: a pure reducer over the changes that the state service stored, in their
 * order. All controllers that have read up to a revision hold the same state and have logged the same decisions.
 */
import type { JobSpec } from "../core/model/jobs.js";
import type { ChangeEvent, KeyValueItem } from "../core/state/key-value.js";
import { KEY, type StoredJob, type Versioned } from "../core/state/state-replica.js";
import { decodeLedger, decodeRejections, decodeWindow, parseAdmissionKey } from "./codec.js";
import { decide, isLimiting } from "./decision.js";
import {
  type AdmissionWindow,
  type DecisionReason,
  type LoggedDecision,
  laneOf,
  type RejectionRecord,
  type TeamLedger,
  type Verdict,
} from "./model.js";

const JOB_PREFIX = KEY.activeJob("");
/** The version of a job's value as it is submitted; each later write has a higher one. */
const SUBMITTED_VERSION = 1;
/** Rejections of so many earlier windows may still be on their way. */
const LATE_WINDOWS = 4;

export class AdmissionReplica {
  window: Versioned<AdmissionWindow> | null = null;
  /** Current term, under which the window must have been written to be in force. */
  epoch = 0;
  /** Every change up to this revision is in. */
  revision = -1;
  private readonly ledgers = new Map<string, Versioned<TeamLedger>>();
  private readonly rejections = new Map<string, Versioned<RejectionRecord>>();
  /** By window: jobs whose rejection is logged, as two controllers may each have refused one. */
  private readonly loggedRejections = new Map<number, Set<string>>();
  /** Newest window when everything was read as a whole. */
  private versionAtReset = 0;

  /** Starts afresh from a full read. */
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

  /** Applies what following returned, and returns the decisions in it; changes that are in already are passed over. */
  apply(events: readonly ChangeEvent[], revision: number): LoggedDecision[] {
    const out: LoggedDecision[] = [];
    let same: ChangeEvent[] = [];
    for (const event of events) {
      if (event.modRevision <= this.revision) continue;
      if (same.length > 0 && same[0]!.modRevision !== event.modRevision) {
        this.applyRevision(same, out);
        same = [];
      }
      same.push(event);
    }
    if (same.length > 0) this.applyRevision(same, out);
    this.revision = Math.max(this.revision, revision);
    return out;
  }

  /** The changes of one transaction. */
  private applyRevision(events: readonly ChangeEvent[], out: LoggedDecision[]): void {
    const revision = events[0]!.modRevision;
    const charged = new Set<string>();
    for (const event of events) {
      const key = parseAdmissionKey(event.key);
      if (key?.kind === "ledger") charged.add(key.team);
      if (event.removed) this.remove(event.key);
      else this.store(event.key, event.value, event.modRevision);
      if (key?.kind === "rejections") this.logRejections(key.member, revision, out);
    }
    for (const event of events) {
      const job = submittedJob(event);
      if (job !== null) out.push(this.admissionDecision(job, revision, charged.has(job.team)));
    }
    this.revision = revision;
  }

  private admissionDecision(job: JobSpec, revision: number, charged: boolean): LoggedDecision {
    const limited = isLimiting(this.window?.value ?? null, this.epoch);
    const uncharged: DecisionReason = limited ? "not charged" : "open";
    return {
      kind: "admit",
      revision,
      window: this.windowVersion,
      job: job.id,
      team: job.team,
      class: job.class,
      lane: laneOf(job),
      reason: limited && charged ? "within share" : uncharged,
    };
  }

  private logRejections(member: string, revision: number, out: LoggedDecision[]): void {
    const record = this.rejections.get(member)?.value;
    // Which jobs the others have logged of a window that began before everything was read is not known here. (A node
    // that came back logged jobs of such a window again, which the others had logged before.)
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
        out.push({ ...line, job, jobs: 1, reason: "share used" });
      }
      const counted = refused.jobs - refused.ids.length;
      if (counted > 0) out.push({ ...line, job: null, jobs: counted, reason: "share used" });
    }
  }

  private store(key: string, value: unknown, mark: number): void {
    if (key === KEY.epoch) {
      this.epoch = (value as { n: number }).n;
      return;
    }
    const parsed = parseAdmissionKey(key);
    if (parsed === null) return;
    if (parsed.kind === "window") this.storeWindow(decodeWindow(value), mark);
    else if (parsed.kind === "ledger") {
      const ledger = decodeLedger(value);
      // What cannot be read counts as empty; its mark is needed all the same to replace it.
      this.ledgers.set(parsed.team, { value: ledger ?? EMPTY_LEDGER, modRevision: mark });
    } else {
      const record = decodeRejections(parsed.member, value);
      if (record !== null) this.rejections.set(parsed.member, { value: record, modRevision: mark });
    }
  }

  private storeWindow(window: AdmissionWindow | null, mark: number): void {
    this.window = { value: window ?? UNREADABLE_WINDOW, modRevision: mark };
    for (const version of this.loggedRejections.keys()) {
      if (version < this.windowVersion - LATE_WINDOWS) this.loggedRejections.delete(version);
    }
  }

  private remove(key: string): void {
    const parsed = parseAdmissionKey(key);
    if (parsed === null) return;
    if (parsed.kind === "window") this.window = null;
    else if (parsed.kind === "ledger") this.ledgers.delete(parsed.team);
    else this.rejections.delete(parsed.member);
  }

  /** Version of the newest window; 0: there is none. */
  get windowVersion(): number {
    return this.window?.value.version ?? 0;
  }

  /** Does a window limit admission now? */
  get isLimited(): boolean {
    return isLimiting(this.window?.value ?? null, this.epoch);
  }

  get windowModRevision(): number {
    return this.window?.modRevision ?? 0;
  }

  ledgerOf(team: string): TeamLedger | null {
    return this.ledgers.get(team)?.value ?? null;
  }

  ledgerModRevisionOf(team: string): number {
    return this.ledgers.get(team)?.modRevision ?? 0;
  }

  rejectionsOf(member: string): Versioned<RejectionRecord> | null {
    return this.rejections.get(member) ?? null;
  }

  /** The newest rejections of every controller. */
  allRejections(): RejectionRecord[] {
    return [...this.rejections.values()].map((r) => r.value);
  }

  decide(job: JobSpec): Verdict {
    return decide(this.window?.value ?? null, this.epoch, this.ledgerOf(job.team), job);
  }
}

const EMPTY_LEDGER: TeamLedger = { window: 0, used: new Map() };
/** A window of a form that this version does not know limits nothing. */
const UNREADABLE_WINDOW: AdmissionWindow = {
  version: 0,
  epoch: 0,
  mode: "open",
  capacity: { cpus: 0, gpus: 0, memoryGb: 0 },
  grants: [],
  periods: [],
};

/** The job that an event submits; null: it does something else. */
function submittedJob(event: ChangeEvent): JobSpec | null {
  if (event.removed || !event.key.startsWith(JOB_PREFIX)) return null;
  const stored = event.value as StoredJob;
  return stored.v === SUBMITTED_VERSION ? stored.j : null;
}
