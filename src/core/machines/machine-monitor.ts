/** Machine monitoring: probes overdue machines, releases unreachable ones and ends incarnations on lease expiry. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { LeaderContext } from "../leader-context.js";
import { MAXIMUM_CLOCK_DRIFT_RATIO } from "../model/constants.js";
import type { Machine } from "./machine.js";
import { mayHaveExtendedLease, runsCancelledTask, runsServiceTasks } from "./machine-predicates.js";
import { ZonePartitionDetector } from "./zone-partition-detector.js";

/**
 * Share of all machines that may be released as unresponsive or unreachable in one heartbeat interval. The limit is
 * never below two machines.
 */
const MAXIMUM_RELEASE_SHARE = 0.05;

/** Heartbeat intervals without a message after which a machine is probed if the probe budget allows it. */
const EARLY_PROBE_INTERVALS = 1;
/** Like `EARLY_PROBE_INTERVALS`, for a machine that runs service tasks. */
const EARLY_SERVICE_PROBE_INTERVALS = 0.8;
/** Heartbeats normally arrive within this many intervals. A machine whose heartbeat is overdue is probed at once. */
const OVERDUE_INTERVALS = 1.25;

/** Probes and releases machines by the time of their last message, several times per heartbeat interval. */
export class MachineMonitor {
  /** Time of the last check. */
  checkedAt = Number.NEGATIVE_INFINITY;
  private nextCheckAt = Number.NEGATIVE_INFINITY;
  private readonly partitionDetector: ZonePartitionDetector;
  private releasesInInterval = 0;
  private releaseIntervalStartedAt = Number.NEGATIVE_INFINITY;
  private hasFirstHeartbeats = false;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachinePool,
  ) {
    this.partitionDetector = new ZonePartitionDetector(context.settings.heartbeatIntervalS);
  }

  /** Probes machines that send no messages, releases those at fault and ends incarnations with expired leases. */
  checkMachines(now: number): void {
    if (this.isStalled(now)) return;
    const running = [...this.context.cluster.machines.values()].filter(
      ({ state }) => state === "up" || state === "releasing",
    );
    this.partitionDetector.update(running, now);
    if (this.stepDownIfIsolated(running, now)) return;
    for (const machine of this.collectLateMachines(running, now)) {
      this.probeIfDue(machine, now);
      this.releaseIfUnresponsive(machine, running.length, now);
      this.endExpiredIncarnation(machine, now);
    }
    this.machinePool.releaseTimedOutMachines(now);
  }

  /**
   * Whether a new leader is still waiting for the first heartbeats of most workers. Heartbeats have priority over
   * planning until then: leases expire meanwhile, and a plan would cover only a small part of the machines.
   */
  isAwaitingFirstHeartbeats(now: number): boolean {
    const { startedAt, settings } = this.context;
    if (this.hasFirstHeartbeats || now - startedAt > settings.leaseS / 2) return false;
    let upCount = 0;
    let upWithTermTokenCount = 0;
    for (const machine of this.context.cluster.machines.values()) {
      if (machine.state !== "up") continue;
      upCount++;
      if (machine.hasAcknowledgedToken) upWithTermTokenCount++;
    }
    this.hasFirstHeartbeats = upWithTermTokenCount >= 0.8 * upCount;
    return !this.hasFirstHeartbeats;
  }

  /**
   * Whether the check must wait because this process was stalled just before. After a stall, all machines appear
   * overdue until the messages that arrived meanwhile have been read. Records the time of the check.
   */
  private isStalled(now: number): boolean {
    const { heartbeatIntervalS } = this.context.settings;
    const wasStalled = now - this.checkedAt > heartbeatIntervalS / 2;
    this.checkedAt = now;
    if (wasStalled) this.nextCheckAt = now + heartbeatIntervalS / 3;
    return now < this.nextCheckAt;
  }

  /** Steps down if messages arrive from fewer than a third of the workers: another node may reach more. */
  private stepDownIfIsolated(running: readonly Machine[], now: number): boolean {
    const { heartbeatIntervalS } = this.context.settings;
    // An overloaded node has heartbeats that it has not read yet. That is no sign of a partition, and a new leader
    // would have to contact all workers again. Without this check, a slow new leader, elected after all controllers
    // had terminated, stepped down 12 s into its term, and the workers' leases expired.
    if (this.dispatcher.isOverloaded) return false;
    const known = running.filter(({ incarnation }) => incarnation > 0);
    const recent = known.filter(
      ({ lastMessageAt }) => now - lastMessageAt <= 1.6 * heartbeatIntervalS,
    ).length;
    const isStartupOver = now - this.context.startedAt > 3 * heartbeatIntervalS;
    if (known.length <= 2 || recent >= known.length / 3 || !isStartupOver) return false;
    this.context.effects.push({
      kind: "step down",
      why: `heartbeats from ${recent} of ${known.length} workers only`,
    });
    return true;
  }

  /**
   * Returns the machines that may have to be probed or released; those that run service tasks come first. Also
   * releases drained machines on which no tasks are left.
   */
  private collectLateMachines(running: readonly Machine[], now: number): Machine[] {
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
   * Probes overdue and unreachable machines at once. Probing earlier detects a failed machine sooner, but each probe
   * costs as much as a heartbeat. Early probes are therefore limited per second, and machines that run service tasks
   * come first.
   */
  private probeIfDue(machine: Machine, now: number): void {
    const { heartbeatIntervalS } = this.context.settings;
    const sinceLastMessageS = now - machine.lastMessageAt;
    const isOverdue =
      sinceLastMessageS > OVERDUE_INTERVALS * heartbeatIntervalS ||
      machine.unreachableSince !== null;
    const isEarly =
      machine.hasAcknowledgedToken && sinceLastMessageS > this.earlyProbeAfterS(machine);
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
      // A worker that has not acknowledged the token is sent the token instead, which also tests reachability.
      machine.hasAcknowledgedToken &&
      !machine.hasRequestInFlight &&
      now >= machine.nextRequestAt &&
      machine.address !== "" &&
      this.dispatcher.probesInFlight.size < this.dispatcher.maximumConcurrentRequests
    );
  }

  /** Releases a machine that sends no messages, or that answers no direct requests although it sends heartbeats. */
  private releaseIfUnresponsive(machine: Machine, machineCount: number, now: number): void {
    const { heartbeatIntervalS, leaseS } = this.context.settings;
    const sinceLastMessageS = now - machine.lastMessageAt;
    if (
      this.isUnresponsive(machine, sinceLastMessageS) &&
      this.partitionDetector.isMachineFaultLikely(machine, now)
    ) {
      this.releaseWithinRate(machine, "no message from worker", machineCount, now);
    }
    // Even if the worker's heartbeats arrive, neither the answers nor commands reach it, so its lease will expire.
    const { unreachableSince } = machine;
    const isUnreachable =
      unreachableSince !== null && now - unreachableSince > 2 * heartbeatIntervalS;
    if (isUnreachable && this.partitionDetector.isMachineFaultLikely(machine, now)) {
      this.releaseWithinRate(machine, "unreachable", machineCount, now);
    }
    // Cancelled tasks must be terminated soon, even on a machine that no stop command reaches.
    const isStopUndeliverable = sinceLastMessageS > 1.5 * heartbeatIntervalS || isUnreachable;
    if (isStopUndeliverable && runsCancelledTask(machine)) {
      this.machinePool.requestRelease(machine, "runs a cancelled task");
    }
    // No message has arrived for longer than any tolerated partition lasts, so the machine is replaced.
    if (sinceLastMessageS > this.context.options.leaseExtensionS + leaseS) {
      this.machinePool.requestRelease(machine, "no message from worker for too long");
    }
  }

  private isUnresponsive(machine: Machine, sinceLastMessageS: number): boolean {
    const { heartbeatIntervalS, leaseS } = this.context.settings;
    // After a takeover workers first have to find the new leader, which is busiest at that time.
    const allowanceS = machine.hasAcknowledgedToken ? 0 : leaseS / 3;
    return (
      sinceLastMessageS > 2 * heartbeatIntervalS + allowanceS ||
      (sinceLastMessageS > 1.3 * heartbeatIntervalS + allowanceS &&
        machine.consecutiveFailedRequests >= 2)
    );
  }

  /**
   * Releases the machine unless the limit for this heartbeat interval is reached. Few machines fail at the same time.
   * If many seem to, this node may be lagging, and their messages are read by the next interval. Without the limit,
   * two takeovers each led to the release of a quarter of all machines, with all their tasks, within five seconds.
   */
  private releaseWithinRate(
    machine: Machine,
    why: string,
    machineCount: number,
    now: number,
  ): void {
    if (machine.state !== "up") return;
    if (now - this.releaseIntervalStartedAt > this.context.settings.heartbeatIntervalS) {
      this.releaseIntervalStartedAt = now;
      this.releasesInInterval = 0;
    }
    if (this.releasesInInterval >= Math.max(2, machineCount * MAXIMUM_RELEASE_SHARE)) return;
    this.releasesInInterval++;
    this.machinePool.requestRelease(machine, why);
  }

  /** Ends the worker's incarnation, and with it all its tasks, once the worker's lease has certainly expired. */
  private endExpiredIncarnation(machine: Machine, now: number): void {
    if (machine.placements.size === 0 || now <= this.latestLeaseExpiry(machine)) return;
    for (const placement of [...machine.placements.values()]) {
      this.dispatcher.handleTaskLost(placement, "lease expired", now);
    }
    machine.incarnation++;
    machine.sequence = -1;
    machine.unansweredStarts.clear();
    machine.exitedTasks.clear();
  }

  /**
   * Time at which the worker's lease has certainly expired if no more messages arrive: one lease, with an allowance
   * for clock drift, after the latest possible renewal by any node. In a partitioned zone, the leases of machines
   * with service or gang tasks are extended (`LeaseExtension`), in the worst case by one node after another.
   */
  private latestLeaseExpiry(machine: Machine): number {
    const { leaseS, heartbeatIntervalS } = this.context.settings;
    const { leaseExtensionS, controllersPerZone } = this.context.options;
    const maxLeaseS = leaseS * (1 + 2 * MAXIMUM_CLOCK_DRIFT_RATIO) + 1;
    let renewedAt = machine.leaseRenewedAt;
    if (mayHaveExtendedLease(machine)) {
      if (!machine.hasAcknowledgedToken) {
        renewedAt = Math.max(renewedAt, this.context.startedAt + leaseExtensionS);
      }
      const controllers = controllersPerZone.get(machine.zone) ?? 0;
      renewedAt += controllers * (leaseExtensionS + maxLeaseS + heartbeatIntervalS);
    }
    return renewedAt + maxLeaseS;
  }
}
