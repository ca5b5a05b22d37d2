/**
 * The leader: one state machine for pipelines, machines, quota and commands.
 *
 * It takes inputs (changed records, reports, answers, the passing of time) and returns what to
 * send. It has no clock, socket or randomness of its own. What it wants written is asked for with
 * `nextWrite`, because how much may be written at a time is limited outside.
 */

import { Dispatch } from "./dispatch.js";
import { Faults } from "./faults.js";
import { Fleet } from "./fleet.js";
import type { Group } from "./groups.js";
import { JobLifecycle } from "./job-lifecycle.js";
import { LeaderContext, serves } from "./leader-context.js";
import type { Machine } from "./machine.js";
import { MachineMonitor } from "./machine-monitor.js";
import type { ClusterSettings, Command, ListedMachine, MachineType, Report } from "./model.js";
import type { Output, SchedulerOptions, SendOutcome, WriteOutcome } from "./outputs.js";
import { OversizedValues } from "./oversized-values.js";
import { taskKey } from "./placement.js";
import { PlanningPass } from "./planning-pass.js";
import { isNewer, Reconciliation } from "./reconciliation.js";
import type { Records } from "./records.js";
import { composeWrite, hasWrite, largestValue, roomNeeded, type Write } from "./writer.js";

export class Scheduler {
  private readonly context: LeaderContext;
  private readonly dispatch: Dispatch;
  private readonly faults: Faults;
  private readonly fleet: Fleet;
  private readonly monitor: MachineMonitor;
  private readonly jobs: JobLifecycle;
  private readonly reconciliation: Reconciliation;
  private readonly planning: PlanningPass;
  private readonly oversized: OversizedValues;
  private raisingToken = false;
  private tokenRaisedAt: number;
  /** Set while a write is out whose result is not known: nothing else may be written. */
  private writing = false;

  constructor(
    settings: ClusterSettings,
    options: SchedulerOptions,
    epoch: number,
    epochMark: number,
    startedAt: number,
  ) {
    this.context = new LeaderContext(settings, options, epoch, epochMark, startedAt);
    this.dispatch = new Dispatch(this.context);
    this.faults = new Faults(this.context, this.dispatch);
    this.fleet = new Fleet(this.context, this.dispatch);
    this.monitor = new MachineMonitor(this.context, this.dispatch, this.fleet);
    this.jobs = new JobLifecycle(this.context, this.dispatch, this.fleet);
    const { context, dispatch, faults, fleet } = this;
    this.reconciliation = new Reconciliation(context, dispatch, faults, fleet);
    this.planning = new PlanningPass(context, dispatch, fleet, this.monitor);
    this.oversized = new OversizedValues(context, fleet);
    this.tokenRaisedAt = startedAt;
  }

  get cluster() {
    return this.context.cluster;
  }
  /** The cloud gives more machines when they are asked for. */
  isGrowing(now: number): boolean {
    return this.fleet.isGrowing(now);
  }
  /** Set by the node while it is behind: what can wait is to leave it time. */
  set overloaded(held: boolean) {
    this.dispatch.overloaded = held;
  }

  // ---------------------------------------------------------------- inputs

  /** Everything stored, as of taking the term. */
  load(records: Records, now: number): Output[] {
    this.fleet.groups.load(records.groups);
    for (const g of records.groups.values()) {
      for (const [name, [address, type, zone, spot]] of Object.entries(g.value)) {
        const machine = this.context.machine(name, type, zone, spot, now);
        if (machine === null) continue;
        machine.address = address;
        machine.stored = true;
        machine.state = "up";
        this.context.awaitFirstContact(machine);
      }
    }
    for (const id of records.live.keys()) this.jobs.recordChanged(records, id, now);
    // Those that a job is needed by may have been read after it.
    for (const job of this.context.cluster.jobs.values()) {
      this.jobs.inheritUrgency(records, job.spec.after ?? []);
      if (job.present > 0) this.context.cluster.gangStarts.began(job, now);
    }
    this.loseEarlierSessions(now);
    this.regroupIncompleteGangs();
    // They mostly come by themselves within a report interval, and a direct request costs more than
    // a report: those that run replicas are fenced soon, the others when they are overdue.
    const up = [...this.context.cluster.machines.values()];
    for (const m of up) {
      const { reportS, leaseS } = this.context.settings;
      m.directAfter = now + (serves(m) ? reportS / 4 : Math.max(1.5 * reportS, leaseS / 3));
      this.dispatch.due.add(m);
    }
    return this.context.flush();
  }

  /**
   * The records may name tasks of a machine's earlier session beside those of a later one, if the former leader
   * ended before it had stored that the earlier ones are gone. A later session proves that they are. (Nine jobs of a
   * day waited to its end for such tasks: nothing that the machine reports speaks of them.)
   */
  private loseEarlierSessions(now: number): void {
    for (const m of this.context.cluster.machines.values()) {
      for (const p of [...m.placements.values()]) {
        if (p.session < m.session) this.dispatch.lost(p, "earlier session", now);
      }
    }
  }

  /**
   * A former leader had stored that a gang lost tasks, and ended before it had stopped the others, which is not
   * stored. Those cannot complete, and nothing is placed for the gang while they are there.
   */
  private regroupIncompleteGangs(): void {
    for (const job of this.context.cluster.jobs.values()) {
      if (job.spec.kind !== "gang" || job.placements.size === 0 || job.pendingCount === 0) continue;
      this.dispatch.regroup(job, "a gang task was lost before this term");
    }
  }

  setTypes(types: readonly MachineType[]): void {
    this.context.types = new Map(types.map((t) => [t.name, t]));
    this.context.needPlan = true;
  }
  get typesKnown(): boolean {
    return this.context.types.size > 0;
  }

  /** Some job's keys changed (or were read again after a doubtful write). */
  recordChanged(records: Records, id: string, now: number): void {
    this.jobs.recordChanged(records, id, now);
  }

  /** A worker's report came in and is answered with these commands. */
  report(r: Report, now: number): { commands: Command[]; outputs: Output[] } {
    const before = this.context.cluster.machines.get(r.machine);
    if (before !== undefined && !isNewer(r, before)) {
      // A late copy. Its answer renews nothing that the original did not, and starts nothing.
      return { commands: [], outputs: this.context.flush() };
    }
    const m = this.reconciliation.hear(r, now);
    if (m === null) return { commands: [], outputs: this.context.flush() };
    if (now - m.reportedAt > this.context.settings.leaseS / 2) this.context.needPlan = true;
    m.reportedAt = now;
    m.lastRenewed = Math.max(m.lastRenewed, now);
    // This answer tells it the token; it reports again at once if that was news to it.
    if (!m.fenced) m.directAfter = Math.max(m.directAfter, now + this.context.settings.reportS / 4);
    // Stops and forgets can be repeated; starts go only where their fate can be known.
    const commands = m.fenced ? this.dispatch.commandsFor(m, now, false) : [];
    this.dispatch.pump(m, now);
    return { commands, outputs: this.context.flush() };
  }

  /** The former leader, while it may not act, answered a report without commands. */
  renewedWithout(r: Report, now: number): void {
    const m = this.context.cluster.machines.get(r.machine);
    if (m === undefined || !isNewer(r, m)) return;
    m.lastRenewed = Math.max(m.lastRenewed, now);
    m.lastHeard = Math.max(m.lastHeard, now);
  }

  addresses(): Set<string> {
    return new Set([...this.context.cluster.machines.values()].map((m) => m.address));
  }

  /** A direct command was answered, or not. */
  sent(machine: string, commands: readonly Command[], outcome: SendOutcome, now: number): Output[] {
    this.dispatch.fences.delete(machine);
    const m = this.context.cluster.machines.get(machine);
    if (m === undefined) return [];
    m.busy = false;
    for (const c of commands) {
      if (c.op !== "start") continue;
      const key = taskKey(c.job, c.task, c.attempt);
      const p = m.placements.get(key);
      if (p !== undefined) p.inFlight--;
      if (outcome.kind === "lost") {
        if (outcome.sent) m.unansweredStarts.set(key, this.context.epoch);
        else if (p !== undefined && p.state === "sent") p.state = "planned";
      } else if (!outcome.executed && p !== undefined && p.state === "sent") p.state = "planned";
    }
    if (outcome.kind === "lost") this.dispatch.unanswered(m, now);
    else this.reached(m, outcome.report, now);
    this.dispatch.pump(m, now);
    return this.context.flush();
  }

  /** A direct request was answered. */
  private reached(m: Machine, report: Report, now: number): void {
    if (m.deafSince !== null) this.context.needPlan = true;
    m.deafSince = null;
    this.reconciliation.hear(report, now);
  }

  /** `late`: the answer was not waited for in time, as this node was held up; that tells nothing. */
  shown(machine: string, report: Report | null, now: number, late = false): Output[] {
    this.dispatch.shows.delete(machine);
    const m = this.context.cluster.machines.get(machine);
    if (m === undefined) return [];
    m.busy = false;
    if (report !== null) this.reached(m, report, now);
    else if (late) m.directAfter = now + this.context.settings.reportS / 3;
    else this.dispatch.unanswered(m, now);
    this.dispatch.pump(m, now);
    return this.context.flush();
  }

  // ---------------------------------------------------------------- time

  tick(now: number, wallMs: number): Output[] {
    if (now - this.monitor.watchedAt >= this.context.settings.reportS / 20) {
      this.monitor.watchMachines(now);
      this.checkUnansweredStarts(now);
    }
    this.faults.findSlow(now);
    this.faults.review(now);
    this.planning.runIfDue(now, wallMs);
    this.fleet.cloudWork(now);
    for (const m of [...this.dispatch.due]) this.dispatch.pump(m, now);
    return this.context.flush();
  }

  /** Unanswered starts that matter (cancelled, or ended and not to be forgotten) need a new token. */
  private checkUnansweredStarts(now: number): void {
    if (this.raisingToken || now - this.tokenRaisedAt < this.context.settings.leaseS / 2) return;
    for (const m of this.context.cluster.machines.values()) {
      if (m.unansweredStarts.size === 0 || m.state !== "up" || !m.fenced) continue;
      if (now - m.lastHeard > 2 * this.context.settings.reportS) continue;
      for (const key of m.unansweredStarts.keys()) {
        const p = m.placements.get(key);
        const matters = p === undefined ? m.ended.has(key) : p.stop !== null && p.state === "sent";
        if (!matters) continue;
        this.raisingToken = true;
        this.context.out.push({ kind: "raise token" });
        return;
      }
    }
  }

  /** The epoch was raised, or not (null), to fence off late starts. */
  tokenRaised(epoch: { n: number; mark: number } | null, now: number): Output[] {
    this.raisingToken = false;
    this.tokenRaisedAt = now;
    if (epoch === null) return [];
    this.context.epoch = epoch.n;
    this.context.epochMark = epoch.mark;
    for (const m of this.context.cluster.machines.values()) {
      m.fenced = false;
      this.dispatch.due.add(m);
    }
    for (const m of [...this.dispatch.due]) this.dispatch.pump(m, now);
    return this.context.flush();
  }

  // ---------------------------------------------------------------- cloud

  rented(
    request: { type: string; zone: string; spot: boolean; count: number },
    result: { machines: readonly string[] } | "no capacity" | "trouble",
    now: number,
  ): Output[] {
    this.fleet.rented(request, result, now);
    return this.context.flush();
  }

  returned(machines: readonly string[], ok: boolean, now: number): Output[] {
    this.fleet.returned(machines, ok, now);
    return this.context.flush();
  }

  list(machines: readonly ListedMachine[] | null, now: number): Output[] {
    this.fleet.list(machines, now);
    return this.context.flush();
  }

  // ---------------------------------------------------------------- writes

  /** The next transaction, or null if there is nothing to write. At most `maxOps` changes. */
  nextWrite(maxOps: number, maxBytes: number, urgentOnly = false, now = 0): Write | null {
    if (this.writing || this.raisingToken) return null;
    const allows = (bytes: number): boolean => this.context.valueLimit.allows(bytes, now);
    const priorityLeadS = this.context.settings.reportS;
    const limits = { maxOps, maxBytes, urgentOnly, allows, priorityLeadS };
    const w = composeWrite(this.context.cluster, this.fleet.groups, this.context.epochMark, limits);
    this.writing = w !== null;
    return w;
  }

  /** Changes that the next transaction must have room for. */
  get roomNeeded(): number {
    return Math.min(this.context.settings.txnOps, roomNeeded(this.context.cluster));
  }

  get hasUrgentWrite(): boolean {
    return hasWrite(this.context.cluster, this.fleet.groups);
  }

  /** A single value was refused for what it holds; nothing else was in its transaction. */
  refusedAlone(w: Write, now: number): void {
    this.oversized.refusedAlone(w, now);
  }

  /**
   * How a write ended. After `conflict` and `unknown` the caller has read the records again and
   * given them to `recordChanged` before it calls this.
   */
  written(
    w: Write,
    outcome: WriteOutcome,
    revision: number,
    records: Records,
    now: number,
  ): Output[] {
    this.writing = false;
    if (outcome === "ok") this.carriedOut(w, revision);
    else if (outcome !== "refused") this.reread(w, records, now);
    const machines = new Set<Machine>();
    for (const { job } of w.jobs) {
      for (const p of job.everyPlacement()) if (p.state === "planned") machines.add(p.machine);
    }
    for (const m of machines) this.dispatch.pump(m, now);
    return this.context.flush();
  }

  private carriedOut(w: Write, revision: number): void {
    if (this.context.valueLimit.reduced) this.context.valueLimit.taken(largestValue(w));
    for (const { job, version, parts, closed } of w.jobs) {
      if (version === null) {
        const state = job.cancelled ? "cancelled" : "done";
        this.context.log("job over", { job: job.spec.id, state });
        this.context.cluster.jobs.delete(job.spec.id);
        continue;
      }
      for (const part of parts) job.stored(part, version, revision);
      for (const part of closed) job.dropped(part);
    }
    for (const { group, version, names } of w.groups) {
      group.mark = revision;
      group.saved = Math.max(group.saved, version);
      for (const name of names) this.machineStored(name, group);
    }
  }

  private machineStored(name: string, group: Group): void {
    const m = this.context.cluster.machines.get(name);
    if (m === undefined || m.stored) return;
    m.stored = true;
    group.fresh--;
    this.context.needPlan = true;
  }

  /** Whatever became of the write, the records that were read after it tell what is stored. */
  private reread(w: Write, records: Records, now: number): void {
    this.fleet.groups.reread(records);
    for (const { job } of w.jobs) {
      const { id } = job.spec;
      const live = records.live.get(id);
      if (live !== undefined) job.reread(live, records.partsOf(id));
      this.jobs.recordChanged(records, id, now);
      if (!records.live.has(id) && records.finals.has(id)) this.jobs.drop(job, now);
    }
  }
}
