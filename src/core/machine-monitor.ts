/** Watches the machines: who is silent, who is given up, and whose lease is over. */

import type { Dispatch } from "./dispatch.js";
import type { Fleet } from "./fleet.js";
import { isKept, type LeaderContext, serves } from "./leader-context.js";
import type { Machine } from "./machine.js";
import { CLOCK_DRIFT } from "./model.js";

/** Part of all machines that may be given up as silent in a report interval. */
const GIVE_UP = 0.05;

export class MachineMonitor {
  watchedAt = Number.NEGATIVE_INFINITY;
  private watchAfter = Number.NEGATIVE_INFINITY;
  /** When so many machines of a zone were last overdue that it said nothing against any of them. */
  private readonly zoneDoubtedAt = new Map<string, number>();
  private gaveUp = 0;
  private gaveUpAt = Number.NEGATIVE_INFINITY;
  private settled = false;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: Dispatch,
    private readonly fleet: Fleet,
  ) {}

  /** Silent machines: look, then give them up to the cloud, or wait their lease out. */
  watchMachines(now: number): void {
    const { reportS } = this.context.settings;
    const up = [...this.context.cluster.machines.values()].filter(
      (m) => m.state === "up" || m.state === "returning",
    );
    // A process that was held up finds everybody silent: first let it read what has come in.
    const overloaded = now - this.watchedAt > reportS / 2;
    this.watchedAt = now;
    if (overloaded) this.watchAfter = now + reportS / 3;
    if (now < this.watchAfter) return;
    this.noteOverdueZones(up, now);
    if (this.hearsHardlyAny(up, now)) return;
    // Those in time need no look; of the others, those that run replicas come first.
    const late: Machine[] = [];
    for (const m of up) {
      const quiet = now - m.lastHeard;
      if (quiet > 0.8 * reportS || m.deafSince !== null) late.push(m);
      if (m.drain !== null && m.placements.size === 0) this.fleet.askReturn(m, m.drain);
    }
    for (const m of [...late.filter(serves), ...late.filter((x) => !serves(x))]) {
      this.probeIfDue(m, now);
      this.giveUpIfSilent(m, up.length, now);
      this.endLapsedSession(m, now);
    }
    this.fleet.returnLate(now);
  }

  /** Notes the zones of which so many machines are overdue that it says nothing against any of them. */
  private noteOverdueZones(up: readonly Machine[], now: number): void {
    const { reportS } = this.context.settings;
    // When many are overdue at once it is more likely us than them. Reports come within 1.25
    // intervals, and those that fell silent together are all overdue before the first is given up.
    // A zone that is cut off as a whole says nothing against the machines of another.
    const inZone = new Map<string, { all: number; overdue: number }>();
    for (const m of up) {
      const z = inZone.get(m.zone) ?? { all: 0, overdue: 0 };
      inZone.set(m.zone, z);
      z.all++;
      if (now - m.lastHeard > 1.3 * reportS || m.unanswered > 0) z.overdue++;
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
  private believable(m: Machine, now: number): boolean {
    const overdueAt = this.zoneDoubtedAt.get(m.zone) ?? Number.NEGATIVE_INFINITY;
    return now - overdueAt > 2 * this.context.settings.reportS;
  }

  /** Leaves the term if hardly any worker is heard. */
  private hearsHardlyAny(up: readonly Machine[], now: number): boolean {
    const { reportS } = this.context.settings;
    // Reports that have come in and wait are no sign of a cut, and another node would meet all workers anew. (After all
    // controllers had ended, a slow leader left office 12 s into its term, and the workers' leases ran out.)
    if (this.dispatch.overloaded) return false;
    // Hardly anything is heard, and time enough to hear: another node may be better placed.
    const known = up.filter((m) => m.session > 0);
    const heard = known.filter((m) => now - m.lastHeard <= 1.6 * reportS).length;
    if (
      known.length > 2 &&
      heard < known.length / 3 &&
      now - this.context.startedAt > 3 * reportS
    ) {
      this.context.out.push({ kind: "resign", why: `hears ${heard} of ${known.length} workers` });
      return true;
    }
    return false;
  }

  private probeIfDue(m: Machine, now: number): void {
    const { reportS } = this.context.settings;
    const quiet = now - m.lastHeard;
    // Late reports, and what does not hear us, are looked after at once. An earlier look finds
    // the end of a machine sooner, but costs as much as a report: so many a second, and those
    // that run replicas are worth it most.
    const overdue = quiet > 1.25 * reportS || m.deafSince !== null;
    const early = m.ours && quiet > (serves(m) ? 0.8 : 1) * reportS;
    if (
      m.state === "up" &&
      // One that does not know the token yet is told it, which shows as much.
      m.fenced &&
      (overdue || early) &&
      !m.busy &&
      now >= m.directAfter &&
      m.address !== "" &&
      this.dispatch.shows.size < this.dispatch.directs &&
      (overdue || this.dispatch.probes.take(1, now))
    ) {
      this.dispatch.probe(m);
    }
  }

  /** A machine that is silent, or does not hear us, goes back to the cloud. */
  private giveUpIfSilent(m: Machine, machines: number, now: number): void {
    const { reportS, leaseS } = this.context.settings;
    const quiet = now - m.lastHeard;
    // After a takeover workers must find us first, while we have most to do.
    const heardAfter = m.ours ? 0 : leaseS / 3;
    const silent =
      quiet > 2 * reportS + heardAfter || (quiet > 1.3 * reportS + heardAfter && m.unanswered >= 2);
    if (silent && this.believable(m, now)) this.giveUp(m, "silent", machines, now);
    // It reports, but hears nothing: its lease will end, and what is sent to it is lost.
    const deaf = m.deafSince !== null && now - m.deafSince > 2 * reportS;
    if (deaf && this.believable(m, now)) this.giveUp(m, "cannot be reached", machines, now);
    // What was cancelled must be gone soon, also where no stop arrives.
    const unreached = quiet > 1.5 * reportS || deaf;
    if (unreached && holdsCancelled(m)) this.fleet.askReturn(m, "holds a cancelled task");
    // No cut that anybody waits out lasts so long: its place is better filled anew.
    if (quiet > this.context.options.keepS + leaseS) this.fleet.askReturn(m, "silent for too long");
  }

  private endLapsedSession(m: Machine, now: number): void {
    if (m.placements.size === 0 || now <= this.lapse(m)) return;
    // Whatever it does now, its lease is over, and with it every task of that session.
    for (const p of [...m.placements.values()]) this.dispatch.lost(p, "lease over", now);
    m.session++;
    m.seq = -1;
    m.unansweredStarts.clear();
    m.ended.clear();
  }

  /**
   * When the worker's lease is over for certain, if nothing more is heard: a lease after any node
   * can last have renewed it. Machines with replicas or gang tasks are kept alive in a zone that is
   * cut off (`LeaseKeeper`), by one node after another at the worst.
   */
  private lapse(m: Machine): number {
    const { leaseS, reportS } = this.context.settings;
    const { keepS, othersIn } = this.context.options;
    const lease = leaseS * (1 + 2 * CLOCK_DRIFT) + 1;
    let renewed = m.lastRenewed;
    if (keeps(m)) {
      if (!m.ours) renewed = Math.max(renewed, this.context.startedAt + keepS);
      renewed += (othersIn.get(m.zone) ?? 0) * (keepS + lease + reportS);
    }
    return renewed + lease;
  }

  /**
   * So many machines at the most in a report interval: what dies at once is few, and if it is us who
   * are late, the next interval shows it. (Twice after a takeover a quarter of all machines, with all
   * that ran there, went back within five seconds.)
   */
  private giveUp(m: Machine, why: string, machines: number, now: number): void {
    if (m.state !== "up") return;
    if (now - this.gaveUpAt > this.context.settings.reportS) {
      this.gaveUpAt = now;
      this.gaveUp = 0;
    }
    if (this.gaveUp >= Math.max(2, machines * GIVE_UP)) return;
    this.gaveUp++;
    this.fleet.askReturn(m, why);
  }

  /**
   * A new leader has not met most of its workers yet. Their reports come first: their leases run,
   * and what is planned meanwhile sees a small part of the machines.
   */
  settling(now: number): boolean {
    if (this.settled || now - this.context.startedAt > this.context.settings.leaseS / 2)
      return false;
    let up = 0;
    let met = 0;
    for (const m of this.context.cluster.machines.values()) {
      if (m.state !== "up") continue;
      up++;
      if (m.ours) met++;
    }
    this.settled = met >= 0.8 * up;
    return !this.settled;
  }
}

function holdsCancelled(m: Machine): boolean {
  for (const p of m.placements.values()) if (p.job.cancelled) return true;
  return false;
}

function keeps(m: Machine): boolean {
  for (const p of m.placements.values()) if (isKept(p.job.spec.kind)) return true;
  return false;
}
