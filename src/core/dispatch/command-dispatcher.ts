/** Starts, stops and probes: what goes to each worker, and when. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { ExitedTask, Machine } from "../machines/machine.js";
import type { WorkerCommand } from "../model/workers.js";
import { TokenBucket } from "../overload/token-bucket.js";
import type { Placement } from "./placement.js";
import { isMachineAllowed } from "./placement-constraints.js";

/** Looks a second, for each core, at machines whose report is not late yet. */
const PROBES_PER_CORE_S = 40;

export class CommandDispatcher {
  /** Machines that something may be due to; the others are not looked at as time passes. */
  readonly dueMachines = new Set<Machine>();
  /** Machines to which a request is out that only tells them the token. */
  readonly tokenRequestsInFlight = new Set<string>();
  /** Machines that are being looked at. */
  readonly probesInFlight = new Set<string>();
  readonly probeBudget: TokenBucket;
  /** Tasks of jobs that are over, to be stopped outright. */
  orphanedTasks: { machine: string; job: string; task: number; attempt: number }[] = [];
  /** Set by the node while it is behind: what can wait is to leave it time. */
  isOverloaded = false;

  constructor(private readonly context: LeaderContext) {
    const rate = PROBES_PER_CORE_S * context.settings.cpuShare;
    this.probeBudget = new TokenBucket(rate, rate);
  }

  stop(p: Placement, why: string, graceS: number): void {
    if (p.stop !== null && p.stop.graceS <= graceS) return;
    p.stop = { why, graceS, sentAt: Number.NEGATIVE_INFINITY };
    this.dueMachines.add(p.machine);
    this.context.logTask("stop", () => ({
      task: `${p.job.spec.id}/${p.task}`,
      attempt: p.attempt,
      machine: p.machine.name,
      why,
    }));
  }

  /** A gang is stopped in order: all its tasks at once, with the time to save. */
  stopGang(p: Placement, why: string, graceS: number): void {
    const all = p.job.spec.kind === "gang" ? [...p.job.placements.values()] : [p];
    for (const q of all) this.stop(q, why, graceS);
  }

  /** A gang that lost a task starts again as a whole once all its tasks are gone. */
  restartGang(job: ActiveJob, why: string): void {
    if (job.isComplete) return;
    for (const p of job.placements.values()) this.stop(p, why, job.spec.saveS);
  }

  release(p: Placement, now: number): void {
    this.context.cluster.releasePlacement(p, now);
    this.context.cycleRequested = true;
  }

  /** The attempt went with its machine or session. */
  handleTaskLost(p: Placement, why: string, now: number): void {
    this.context.log("task lost", {
      task: `${p.job.spec.id}/${p.task}`,
      attempt: p.attempt,
      machine: p.machine.name,
      why,
    });
    this.release(p, now);
    if (p.job.spec.kind === "gang") this.restartGang(p.job, "a gang task was lost");
  }

  commandsFor(m: Machine, now: number, withStarts: boolean): WorkerCommand[] {
    const out: WorkerCommand[] = [];
    for (const p of [...m.placements.values()]) {
      const at = { job: p.job.spec.id, task: p.task, attempt: p.attempt };
      if (p.stop !== null) {
        if (p.state === "planned" && p.startsInFlight === 0 && !m.unansweredStarts.has(p.key)) {
          this.releaseIfNeverSent(p, now);
          continue;
        }
        if (p.state === "loaded" || p.state === "planned") continue;
        // A second stop would cut a save short, unless that is meant.
        if (p.state === "saving" && p.stop.graceS > 0) continue;
        if (now - p.stop.sentAt < this.context.settings.heartbeatIntervalS / 6) continue;
        p.stop.sentAt = now;
        out.push({ op: "stop", ...at, graceS: p.stop.graceS });
      } else if (withStarts && this.mayStart(p, m, now)) {
        const conflict = this.findConflict(p);
        if (conflict !== null) {
          this.withdrawPlacement(p, conflict, now);
          continue;
        }
        p.state = "sent";
        p.sentAt = now;
        p.startsInFlight++;
        out.push({ op: "start", ...at });
      }
    }
    for (const o of this.orphanedTasks) {
      if (o.machine === m.name) {
        out.push({ op: "stop", job: o.job, task: o.task, attempt: o.attempt, graceS: 0 });
      }
    }
    this.orphanedTasks = this.orphanedTasks.filter((o) => o.machine !== m.name);
    for (const [key, e] of m.exitedTasks) if (this.mayForget(m, key, e)) out.push(forgetCommand(e));
    return out;
  }

  private mayStart(p: Placement, m: Machine, now: number): boolean {
    if (p.job.isCancelled || !p.job.isPersisted(p.task, p.version)) return false;
    if (!m.hasAcknowledgedToken || p.incarnation !== m.incarnation) return false;
    if (p.state === "planned") return !p.waitsForGangPeers(now);
    // Repeating a start whose fate is unknown does no harm: it is the same attempt.
    return (
      p.state === "sent" &&
      p.startsInFlight === 0 &&
      m.unansweredStarts.has(p.key) &&
      now - p.sentAt > this.context.settings.heartbeatIntervalS / 2
    );
  }

  /**
   * The rules once more, with what is known at the moment of the start: since the task was placed, an unrecorded
   * task may have turned up, a machine may have proved to be of another kind, or a leader before this one may have
   * placed it wrongly. Returns the rule that the start would break.
   */
  private findConflict(p: Placement): string | null {
    const { job, machine } = p;
    if (!isMachineAllowed(job.spec, machine)) return "its machine is not allowed";
    if (!job.zones.mayStartIn(machine.zone)) return "its zone is not allowed beside other tasks";
    if (job.hasOtherAttempt(p)) return "another attempt may be running";
    if (!this.context.cluster.isWithinLimit(job.spec.team)) return "its team is over its limit";
    return null;
  }

  /**
   * A placement that no longer agrees with the rules. Where its start may be under way it is stopped, and counts
   * until it is proven gone; otherwise it is released at once.
   */
  private withdrawPlacement(p: Placement, why: string, now: number): void {
    if (p.job.spec.kind === "gang") this.restartGang(p.job, why);
    else this.stop(p, why, 0);
    this.releaseIfNeverSent(p, now);
  }

  private releaseIfNeverSent(p: Placement, now: number): void {
    const m = p.machine;
    if (p.state !== "planned" || p.startsInFlight > 0 || m.unansweredStarts.has(p.key)) return;
    // Never sent under this token, and the worker does not know it: it is not there.
    if (m.hasAcknowledgedToken && p.incarnation === m.incarnation) this.release(p, now);
  }

  /**
   * A forgotten attempt could be started again by a late copy of its start. So its end must be
   * stored, and no start of it may be unanswered under the present token.
   */
  private mayForget(m: Machine, key: string, e: ExitedTask): boolean {
    if (m.unansweredStarts.has(key)) return false;
    const job = this.context.cluster.jobs.get(e.job);
    return job === undefined || job.isPersisted(e.task, e.version);
  }

  /**
   * Sends a machine what is due to it, one direct request at a time. Forgetting is never urgent and
   * goes with the answer to a report, or with what is sent anyway.
   */
  sendDue(m: Machine, now: number): void {
    this.dueMachines.delete(m);
    if (m.hasRequestInFlight || m.address === "" || m.state !== "up") return;
    if (now < m.nextRequestAt) {
      this.dueMachines.add(m);
      return;
    }
    if (!m.hasAcknowledgedToken) {
      this.dueMachines.add(m);
      if (this.tokenRequestsInFlight.size >= this.maximumConcurrentRequests) return;
      this.tokenRequestsInFlight.add(m.name);
      m.hasRequestInFlight = true;
      this.context.effects.push({
        kind: "send",
        machine: m.name,
        address: m.address,
        incarnation: Math.max(m.incarnation, 1),
        commands: [],
      });
      return;
    }
    for (const p of m.placements.values()) {
      if (p.stop === null && p.state !== "planned" && p.state !== "sent") continue;
      this.dueMachines.add(m);
      break;
    }
    if (!this.dueMachines.has(m) && this.orphanedTasks.length === 0) return;
    const commands = this.commandsFor(m, now, true).slice(0, 400);
    if (commands.every((c) => c.op === "forget")) return;
    m.hasRequestInFlight = true;
    this.context.effects.push({
      kind: "send",
      machine: m.name,
      address: m.address,
      incarnation: m.incarnation,
      commands,
    });
  }

  /** The second try follows soon, as two in a row tell more than one; then they are spaced. */
  noteUnansweredRequest(m: Machine, now: number): void {
    m.consecutiveFailedRequests++;
    m.unreachableSince ??= now;
    m.nextRequestAt =
      now + this.context.settings.heartbeatIntervalS / (m.consecutiveFailedRequests === 1 ? 30 : 3);
  }

  probe(m: Machine): void {
    m.hasRequestInFlight = true;
    this.probesInFlight.add(m.name);
    this.context.effects.push({ kind: "probe", machine: m.name, address: m.address });
  }

  /**
   * Requests of one sort that are out at a time, of those that only look or only tell the token.
   * (After a takeover a thousand workers were late at once; looking at all of them in one moment
   * left no time for their reports, and most lost their leases.)
   */
  get maximumConcurrentRequests(): number {
    return this.isOverloaded ? 4 : Math.max(8, this.context.settings.sockets / 50);
  }
}

const forgetCommand = (e: ExitedTask): WorkerCommand => ({
  op: "forget",
  job: e.job,
  task: e.task,
  attempt: e.attempt,
});
