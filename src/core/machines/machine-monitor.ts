/** Watches the machines: probes overdue ones, releases unreachable ones, and ends incarnations whose lease has expired. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { LeaderContext } from "../leader-context.js";
import { CLOCK_DRIFT } from "../model/constants.js";
import type { Machine } from "./machine.js";
import { mayHaveExtendedLease, runsCancelledTask, runsServiceTasks } from "./machine-predicates.js";
import { ZoneSilence } from "./zone-silence.js";

/** Share of all machines that may be released as unreachable in a heartbeat interval. */
const RELEASE_SHARE = 0.05;

/** Time without a message, in heartbeat intervals, from which a machine is probed if there is time for it. */
const EARLY_PROBE_INTERVALS = 1;
/** The same for a machine that runs replicas of a service. */
const EARLY_SERVICE_PROBE_INTERVALS = 0.8;
/** Heartbeats arrive within so many intervals: a later one is overdue, and its machine is probed at once. */
const OVERDUE_INTERVALS = 1.25;

/** Probes and releases machines by the time of their last message. Checked several times a heartbeat interval. */
export class MachineMonitor {
  /** Time of the last check. */
  checkedAt = Number.NEGATIVE_INFINITY;
  private nextCheckAt = Number.NEGATIVE_INFINITY;
  private readonly zoneSilence: ZoneSilence;
  private releasesInInterval = 0;
  private releaseIntervalStartedAt = Number.NEGATIVE_INFINITY;
  private hasSettled = false;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachinePool,
  ) {
    this.zoneSilence = new ZoneSilence(context.settings.heartbeatIntervalS);
  }

  /** Machines that send no heartbeats are probed, then released, or their lease is waited out. */
  checkMachines(now: number): void {
    if (this.isStalled(now)) return;
    const running = [...this.context.cluster.machines.values()].filter(
      ({ state }) => state === "up" || state === "releasing",
    );
    this.zoneSilence.update(running, now);
    if (this.stepDownIfIsolated(running, now)) return;
    for (const machine of this.collectLate(running, now)) {
      this.probeIfDue(machine, now);
      this.releaseIfSilent(machine, running.length, now);
      this.endExpiredIncarnation(machine, now);
    }
    this.machinePool.releaseLateBoots(now);
  }

  /**
   * Whether a new leader still waits for the first heartbeats of most of its workers. These come first: leases run out
   * meanwhile, and a plan would see a small part of the machines.
   */
  isSettling(now: number): boolean {
    const { startedAt, settings } = this.context;
    if (this.hasSettled || now - startedAt > settings.leaseS / 2) return false;
    let up = 0;
    let met = 0;
    for (const machine of this.context.cluster.machines.values()) {
      if (machine.state !== "up") continue;
      up++;
      if (machine.hasMetThisLeader) met++;
    }
    this.hasSettled = met >= 0.8 * up;
    return !this.hasSettled;
  }

  /** To a process that was stalled all machines look overdue: it first has to read what has arrived meanwhile. */
  private isStalled(now: number): boolean {
    const { heartbeatIntervalS } = this.context.settings;
    const wasStalled = now - this.checkedAt > heartbeatIntervalS / 2;
    this.checkedAt = now;
    if (wasStalled) this.nextCheckAt = now + heartbeatIntervalS / 3;
    return now < this.nextCheckAt;
  }

  /** Gives up leadership if hardly any worker can be reached: another node may be better placed. */
  private stepDownIfIsolated(running: readonly Machine[], now: number): boolean {
    const { heartbeatIntervalS } = this.context.settings;
    // Heartbeats that have arrived and wait are no sign of a partition, and another node would meet all workers anew.
    // (After all controllers had ended, a slow leader stepped down 12 s into its term, and the workers' leases expired.)
    if (this.dispatcher.isOverloaded) return false;
    const known = running.filter(({ incarnation }) => incarnation > 0);
    const recent = known.filter(
      ({ lastMessageAt }) => now - lastMessageAt <= 1.6 * heartbeatIntervalS,
    ).length;
    const hadTime = now - this.context.startedAt > 3 * heartbeatIntervalS;
    if (known.length <= 2 || recent >= known.length / 3 || !hadTime) return false;
    this.context.effects.push({
      kind: "step down",
      why: `heartbeats from ${recent} of ${known.length} workers only`,
    });
    return true;
  }

  /** Machines that may have to be probed or released, those that run replicas first. Releases empty drained ones. */
  private collectLate(running: readonly Machine[], now: number): Machine[] {
    const lateAfterS = EARLY_SERVICE_PROBE_INTERVALS * this.context.settings.heartbeatIntervalS;
    const late: Machine[] = [];
    for (const machine of running) {
      const { drainReason } = machine;
      const isLate = now - machine.lastMessageAt > lateAfterS;
      if (isLate || machine.unreachableSince !== null) late.push(machine);
      if (drainReason !== null && machine.placements.size === 0) {
        this.machinePool.requestRelease(machine, drainReason);
      }
    }
    return [
      ...late.filter(runsServiceTasks),
      ...late.filter((machine) => !runsServiceTasks(machine)),
    ];
  }

  /**
   * Overdue and unreachable machines are probed at once. An earlier probe finds the end of a machine sooner, but costs
   * as much as a heartbeat: only so many a second, and those that run replicas are worth it most.
   */
  private probeIfDue(machine: Machine, now: number): void {
    const { heartbeatIntervalS } = this.context.settings;
    const silenceS = now - machine.lastMessageAt;
    const isOverdue =
      silenceS > OVERDUE_INTERVALS * heartbeatIntervalS || machine.unreachableSince !== null;
    const isEarly = machine.hasMetThisLeader && silenceS > this.earlyProbeAfterS(machine);
    if (!isOverdue && !isEarly) return;
    if (!this.mayProbe(machine, now)) return;
    if (isOverdue || this.dispatcher.probeBudget.tryTake(1, now)) this.dispatcher.probe(machine);
  }

  private earlyProbeAfterS(machine: Machine): number {
    const intervals = runsServiceTasks(machine)
      ? EARLY_SERVICE_PROBE_INTERVALS
      : EARLY_PROBE_INTERVALS;
    return intervals * this.context.settings.heartbeatIntervalS;
  }

  private mayProbe(machine: Machine, now: number): boolean {
    return (
      machine.state === "up" &&
      // One that has not acknowledged the token yet is sent it, which shows as much.
      machine.hasAcknowledgedToken &&
      !machine.hasRequestInFlight &&
      now >= machine.nextRequestAt &&
      machine.address !== "" &&
      this.dispatcher.probesInFlight.size < this.dispatcher.maximumConcurrentRequests
    );
  }

  /** Releases a machine that sends no heartbeats, or that cannot be reached although its heartbeats arrive. */
  private releaseIfSilent(machine: Machine, machines: number, now: number): void {
    const { heartbeatIntervalS, leaseS } = this.context.settings;
    const silenceS = now - machine.lastMessageAt;
    if (this.isSilent(machine, silenceS) && this.zoneSilence.isCredible(machine, now)) {
      this.releaseWithinRate(machine, "silent", machines, now);
    }
    // Its heartbeats arrive, but neither answers nor commands reach it: its lease will expire.
    const { unreachableSince } = machine;
    const isUnreachable =
      unreachableSince !== null && now - unreachableSince > 2 * heartbeatIntervalS;
    if (isUnreachable && this.zoneSilence.isCredible(machine, now)) {
      this.releaseWithinRate(machine, "unreachable", machines, now);
    }
    // Cancelled tasks must be terminated soon, also where no stop arrives.
    const isCutOff = silenceS > 1.5 * heartbeatIntervalS || isUnreachable;
    if (isCutOff && runsCancelledTask(machine)) {
      this.machinePool.requestRelease(machine, "runs a cancelled task");
    }
    // No partition that is waited out lasts so long: it is better replaced.
    if (silenceS > this.context.options.leaseExtensionS + leaseS) {
      this.machinePool.requestRelease(machine, "silent for too long");
    }
  }

  private isSilent(machine: Machine, silenceS: number): boolean {
    const { heartbeatIntervalS, leaseS } = this.context.settings;
    // After a takeover workers must find this leader first, while it has most to do.
    const allowanceS = machine.hasMetThisLeader ? 0 : leaseS / 3;
    return (
      silenceS > 2 * heartbeatIntervalS + allowanceS ||
      (silenceS > 1.3 * heartbeatIntervalS + allowanceS && machine.consecutiveFailedRequests >= 2)
    );
  }

  /**
   * Releases so many machines at the most in a heartbeat interval: few end at once, and if it is this node that lags, the
   * next interval shows it. (Twice after a takeover a quarter of all machines, with all that ran there, were released
   * within five seconds.)
   */
  private releaseWithinRate(machine: Machine, why: string, machines: number, now: number): void {
    if (machine.state !== "up") return;
    if (now - this.releaseIntervalStartedAt > this.context.settings.heartbeatIntervalS) {
      this.releaseIntervalStartedAt = now;
      this.releasesInInterval = 0;
    }
    if (this.releasesInInterval >= Math.max(2, machines * RELEASE_SHARE)) return;
    this.releasesInInterval++;
    this.machinePool.requestRelease(machine, why);
  }

  /** Whatever the worker does now, its lease has expired, and with it every task of that incarnation. */
  private endExpiredIncarnation(machine: Machine, now: number): void {
    if (machine.placements.size === 0 || now <= this.leaseExpiryBound(machine)) return;
    for (const placement of [...machine.placements.values()]) {
      this.dispatcher.handleTaskLost(placement, "lease expired", now);
    }
    machine.incarnation++;
    machine.sequence = -1;
    machine.unansweredStarts.clear();
    machine.exitedTasks.clear();
  }

  /**
   * When the worker's lease has expired for certain, if no more messages arrive: a lease after any node can last have
   * renewed it. The leases of machines with replicas or gang tasks are extended in a partitioned zone
   * (`LeaseExtension`), by one node after another at the worst.
   */
  private leaseExpiryBound(machine: Machine): number {
    const { leaseS, heartbeatIntervalS } = this.context.settings;
    const { leaseExtensionS, controllersPerZone } = this.context.options;
    const boundS = leaseS * (1 + 2 * CLOCK_DRIFT) + 1;
    let renewedAt = machine.leaseRenewedAt;
    if (mayHaveExtendedLease(machine)) {
      if (!machine.hasMetThisLeader) {
        renewedAt = Math.max(renewedAt, this.context.startedAt + leaseExtensionS);
      }
      const controllers = controllersPerZone.get(machine.zone) ?? 0;
      renewedAt += controllers * (leaseExtensionS + boundS + heartbeatIntervalS);
    }
    return renewedAt + boundS;
  }
}
