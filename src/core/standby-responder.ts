/**
 * Which reports a node answers although it does not lead. No answer carries a command; each keeps a lease
 * alive, so each case is bounded by what a leader adds before it counts a lease as over (`MachineMonitor.lapse`).
 * None rests on knowing every cancellation: one is confirmed only when nothing of it is left
 * (`Records.view`). What is known to be cancelled is not kept all the same, so that it is gone sooner.
 */
import type { Bucket } from "./bucket.js";
import { isKept } from "./leader-context.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import type { ClusterSettings, Report } from "./model.js";
import type { Records } from "./records.js";

/** Whom the node is in contact with. */
export interface Contact {
  readonly loaded: boolean;
  readonly stateOk: boolean;
  readonly siblingReachesState: boolean;
  readonly leaderSpeaks: boolean;
}

export class StandbyResponder {
  /** When a leader was last recorded, or the records were first read. */
  private leadSeenAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: ClusterSettings,
    private readonly member: string,
    private readonly zone: string,
    private readonly records: Records,
    private readonly leaseKeeper: LeaseKeeper,
    /** Workers that a new leader takes in a second, as far as this node sends them on. */
    private readonly sentOn: Bucket,
    private readonly graceS: number,
  ) {}

  leadSeen(now: number): void {
    this.leadSeenAt = now;
  }

  answers(r: Report, contact: Contact, now: number, wallMs: number): boolean {
    return (
      this.aloneWith(r, contact, now) ||
      this.between(r, contact, now) ||
      this.sharesFor(r, contact, now, wallMs)
    );
  }

  /** The leader took the term a moment ago: by the time of day that is stored with it. */
  settles(wallMs: number): boolean {
    const { lead } = this.records;
    const boundS = (2 / 3) * Math.min(this.graceS, this.settings.leaseS);
    return lead !== null && wallMs - lead.value.at < 1000 * boundS;
  }

  /**
   * Replicas or gang tasks are on the machine, by what its worker itself says, and nothing that was
   * cancelled, which must be gone soon.
   */
  runsKept(r: Report): boolean {
    if (this.holdsCancelled(r)) return false;
    return r.tasks.some((t) => {
      const job = t.state === "exited" ? undefined : this.records.live.get(t.job);
      return job !== undefined && isKept(job.value.j.kind);
    });
  }

  private holdsCancelled(r: Report): boolean {
    return r.tasks.some((t) => this.records.cancels.has(t.job));
  }

  /**
   * While a new leader settles, only so many workers a second are sent on to it; the others are answered
   * here, without commands, with its token, and come again with their next report. (Two thousand came at
   * once; each had left by the time its turn came, and came again, until its lease was over.) The leader
   * counts every lease from `graceS` after its start in any case, and this ends before then.
   */
  private sharesFor(r: Report, contact: Contact, now: number, wallMs: number): boolean {
    const { lead, epoch } = this.records;
    return (
      lead !== null &&
      lead.value.member !== this.member &&
      this.settles(wallMs) &&
      contact.stateOk &&
      r.token <= epoch.value.n &&
      !this.holdsCancelled(r) &&
      !this.sentOn.take(1, now)
    );
  }

  /**
   * Nobody leads. Workers that are turned away then come back every second, each over a new connection,
   * and leave no node the time to take the term (a thousand did, for 20 s). So for part of a lease any node
   * in contact answers them without commands, with the last token; they find the next leader with their
   * next report. That leader adds `graceS` before it counts a lease as over.
   */
  private between(r: Report, contact: Contact, now: number): boolean {
    const epoch = this.records.epoch.value.n;
    return (
      contact.stateOk &&
      this.records.lead === null &&
      epoch > 0 &&
      r.token <= epoch &&
      now - this.leadSeenAt < this.settings.leaseS / 3 &&
      !this.holdsCancelled(r)
    );
  }

  /** Cut off from everybody but the workers of this zone, which would lose what they run. */
  private aloneWith(r: Report, contact: Contact, now: number): boolean {
    return (
      contact.loaded &&
      r.zone === this.zone &&
      r.token <= this.records.epoch.value.n &&
      this.leaseKeeper.mayAnswer(now) &&
      !contact.siblingReachesState &&
      !contact.leaderSpeaks &&
      this.runsKept(r)
    );
  }
}
