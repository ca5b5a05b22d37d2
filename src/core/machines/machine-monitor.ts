/** Watches the machines: who is silent, who is given up, and whose lease is over. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import { hasExtendableLease, type LeaderContext, runsServiceTasks } from "../leader-context.js";
import { CLOCK_DRIFT } from "../model/constants.js";
import type { Machine } from "./machine.js";

/** Part of all machines that may be given up as silent in a report interval. */
const RELEASE_SHARE = 0.05;

export class MachineMonitor {
  checkedAt = Number.NEGATIVE_INFINITY;
  private nextCheckAt = Number.NEGATIVE_INFINITY;
  /** When so many machines of a zone were last overdue that it said nothing against any of them. */
  private readonly zoneDoubtedAt = new Map<string, number>();
  private releasesInInterval = 0;
  private releaseIntervalStartedAt = Number.NEGATIVE_INFINITY;
  private hasSettled = false;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachinePool,
  ) {}

  /** Silent machines: look, then give them up to the cloud, or wait their lease out. */
  checkMachines(now: number): void {
    const { heartbeatIntervalS: reportS } = this.context.settings;
    const up = [...this.context.cluster.machines.values()].filter(
      (m) => m.state === "up" || m.state === "returning",
    );
    // A process that was held up finds everybody silent: first let it read what has come in.
    const overloaded = now - this.checkedAt > reportS / 2;
    this.checkedAt = now;
    if (overloaded) this.nextCheckAt = now + reportS / 3;
    if (now < this.nextCheckAt) return;
    this.noteOverdueZones(up, now);
    if (this.stepDownIfIsolated(up, now)) return;
    // Those in time need no look; of the others, those that run replicas come first.
    const late: Machine[] = [];
    for (const m of up) {
      const quiet = now - m.lastMessageAt;
      if (quiet > 0.8 * reportS || m.unreachableSince !== null) late.push(m);
      if (m.drainReason !== null && m.placements.size === 0)
        this.machinePool.requestRelease(m, m.drainReason);
    }
    for (const m of [
      ...late.filter(runsServiceTasks),
      ...late.filter((x) => !runsServiceTasks(x)),
    ]) {
      this.probeIfDue(m, now);
      this.releaseIfSilent(m, up.length, now);
      this.endExpiredIncarnation(m, now);
    }
    this.machinePool.releaseLateBoots(now);
  }

  /** Notes the zones of which so many machines are overdue that it says nothing against any of them. */
  private noteOverdueZones(up: readonly Machine[], now: number): void {
    const { heartbeatIntervalS: reportS } = this.context.settings;
    // When many are overdue at once it is more likely us than them. Reports come within 1.25
    // intervals, and those that fell silent together are all overdue before the first is given up.
    // A zone that is cut off as a whole says nothing against the machines of another.
    const inZone = new Map<string, { all: number; overdue: number }>();
    for (const m of up) {
      const z = inZone.get(m.zone) ?? { all: 0, overdue: 0 };
      inZone.set(m.zone, z);
      z.all++;
      if (now - m.lastMessageAt > 1.3 * reportS || m.consecutiveFailedRequests > 0) z.overdue++;
    }
    const overdueInAll = [...inZone.values()].reduce((n, z) => n + z.overdue, 0);
    // Where many were overdue a moment ago, the others are still on their way back to us. (When a zone
    // came back after a cut, the last quarter to report went to the cloud with all that ran there.)
    for (const [zone, z] of inZone) {
      const many = z.overdue > Math.max(2, z.all / 4) || overdueInAll > Math.max(2, up.length / 2);
      if (many) this.zoneDoubtedAt.set(zone, now);
    }
  }

  /** Its zone was not overdue as a whole lately, so its silence is its own. */
  private isSilenceCredible(m: Machine, now: number): boolean {
    const overdueAt = this.zoneDoubtedAt.get(m.zone) ?? Number.NEGATIVE_INFINITY;
    return now - overdueAt > 2 * this.context.settings.heartbeatIntervalS;
  }

  /** Leaves the term if hardly any worker is heard. */
  private stepDownIfIsolated(up: readonly Machine[], now: number): boolean {
    const { heartbeatIntervalS: reportS } = this.context.settings;
    // Reports that have come in and wait are no sign of a cut, and another node would meet all workers anew. (After all
    // controllers had ended, a slow leader left office 12 s into its term, and the workers' leases ran out.)
    if (this.dispatcher.isOverloaded) return false;
    // Hardly anything is heard, and time enough to hear: another node may be better placed.
    const known = up.filter((m) => m.incarnation > 0);
    const heard = known.filter((m) => now - m.lastMessageAt <= 1.6 * reportS).length;
    if (
      known.length > 2 &&
      heard < known.length / 3 &&
      now - this.context.startedAt > 3 * reportS
    ) {
      this.context.effects.push({
        kind: "step down",
        why: `hears ${heard} of ${known.length} workers`,
      });
      return true;
    }
    return false;
  }

  private probeIfDue(m: Machine, now: number): void {
    const { heartbeatIntervalS: reportS } = this.context.settings;
    const quiet = now - m.lastMessageAt;
    // Late reports, and what does not hear us, are looked after at once. An earlier look finds
    // the end of a machine sooner, but costs as much as a report: so many a second, and those
    // that run replicas are worth it most.
    const overdue = quiet > 1.25 * reportS || m.unreachableSince !== null;
    const early = m.hasMetThisLeader && quiet > (runsServiceTasks(m) ? 0.8 : 1) * reportS;
    if (
      m.state === "up" &&
      // One that does not know the token yet is told it, which shows as much.
      m.hasAcknowledgedToken &&
      (overdue || early) &&
      !m.hasRequestInFlight &&
      now >= m.nextRequestAt &&
      m.address !== "" &&
      this.dispatcher.probesInFlight.size < this.dispatcher.maximumConcurrentRequests &&
      (overdue || this.dispatcher.probeBudget.tryTake(1, now))
    ) {
      this.dispatcher.probe(m);
    }
  }

  /** A machine that is silent, or does not hear us, goes back to the cloud. */
  private releaseIfSilent(m: Machine, machines: number, now: number): void {
    const { heartbeatIntervalS: reportS, leaseS } = this.context.settings;
    const quiet = now - m.lastMessageAt;
    // After a takeover workers must find us first, while we have most to do.
    const heardAfter = m.hasMetThisLeader ? 0 : leaseS / 3;
    const silent =
      quiet > 2 * reportS + heardAfter ||
      (quiet > 1.3 * reportS + heardAfter && m.consecutiveFailedRequests >= 2);
    if (silent && this.isSilenceCredible(m, now))
      this.releaseWithinRate(m, "silent", machines, now);
    // It reports, but hears nothing: its lease will end, and what is sent to it is lost.
    const deaf = m.unreachableSince !== null && now - m.unreachableSince > 2 * reportS;
    if (deaf && this.isSilenceCredible(m, now))
      this.releaseWithinRate(m, "cannot be reached", machines, now);
    // What was cancelled must be gone soon, also where no stop arrives.
    const unreached = quiet > 1.5 * reportS || deaf;
    if (unreached && runsCancelledTask(m))
      this.machinePool.requestRelease(m, "holds a cancelled task");
    // No cut that anybody waits out lasts so long: its place is better filled anew.
    if (quiet > this.context.options.leaseExtensionS + leaseS)
      this.machinePool.requestRelease(m, "silent for too long");
  }

  private endExpiredIncarnation(m: Machine, now: number): void {
    if (m.placements.size === 0 || now <= this.leaseExpiryBound(m)) return;
    // Whatever it does now, its lease is over, and with it every task of that session.
    for (const p of [...m.placements.values()])
      this.dispatcher.handleTaskLost(p, "lease over", now);
    m.incarnation++;
    m.sequence = -1;
    m.unansweredStarts.clear();
    m.exitedTasks.clear();
  }

  /**
   * When the worker's lease is over for certain, if nothing more is heard: a lease after any node
   * can last have renewed it. Machines with replicas or gang tasks are kept alive in a zone that is
   * cut off (`LeaseKeeper`), by one node after another at the worst.
   */
  private leaseExpiryBound(m: Machine): number {
    const { leaseS, heartbeatIntervalS: reportS } = this.context.settings;
    const { leaseExtensionS: keepS, controllersPerZone: othersIn } = this.context.options;
    const lease = leaseS * (1 + 2 * CLOCK_DRIFT) + 1;
    let renewed = m.leaseRenewedAt;
    if (mayHaveExtendedLease(m)) {
      if (!m.hasMetThisLeader) renewed = Math.max(renewed, this.context.startedAt + keepS);
      renewed += (othersIn.get(m.zone) ?? 0) * (keepS + lease + reportS);
    }
    return renewed + lease;
  }

  /**
   * So many machines at the most in a report interval: what dies at once is few, and if it is us who
   * are late, the next interval shows it. (Twice after a takeover a quarter of all machines, with all
   * that ran there, went back within five seconds.)
   */
  private releaseWithinRate(m: Machine, why: string, machines: number, now: number): void {
    if (m.state !== "up") return;
    if (now - this.releaseIntervalStartedAt > this.context.settings.heartbeatIntervalS) {
      this.releaseIntervalStartedAt = now;
      this.releasesInInterval = 0;
    }
    if (this.releasesInInterval >= Math.max(2, machines * RELEASE_SHARE)) return;
    this.releasesInInterval++;
    this.machinePool.requestRelease(m, why);
  }

  /**
   * A new leader has not met most of its workers yet. Their reports come first: their leases run,
   * and what is planned meanwhile sees a small part of the machines.
   */
  isSettling(now: number): boolean {
    if (this.hasSettled || now - this.context.startedAt > this.context.settings.leaseS / 2)
      return false;
    let up = 0;
    let met = 0;
    for (const m of this.context.cluster.machines.values()) {
      if (m.state !== "up") continue;
      up++;
      if (m.hasMetThisLeader) met++;
    }
    this.hasSettled = met >= 0.8 * up;
    return !this.hasSettled;
  }
}

function runsCancelledTask(m: Machine): boolean {
  for (const p of m.placements.values()) if (p.job.isCancelled) return true;
  return false;
}

function mayHaveExtendedLease(m: Machine): boolean {
  for (const p of m.placements.values()) if (hasExtendableLease(p.job.spec.kind)) return true;
  return false;
}
