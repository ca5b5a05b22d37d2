/**
 * Distinguishes the fault of a single machine that sends no heartbeats from a partition of its zone and from a fault
 * of this node's own connections.
 */
import type { Machine } from "./machine.js";

/**
 * Number of heartbeat intervals without a message after which a machine is overdue. Workers send the next heartbeat
 * after at most 1.25 intervals.
 */
const OVERDUE_INTERVALS = 1.3;
/** Heartbeat intervals for which a zone stays suspected of a partition after it last appeared partitioned. */
const SUSPICION_INTERVALS = 2;

interface ZoneCounts {
  machines: number;
  overdue: number;
}

/**
 * Tracks the zones in which so many machines are overdue at once that a partition is more likely than separate
 * machine faults. A machine whose last direct request was not answered also counts as overdue. Machines that are
 * partitioned together are all overdue before the first of them is due for release.
 */
export class ZonePartitionDetector {
  /** Time at which each zone last appeared partitioned. */
  private readonly suspectedAt = new Map<string, number>();

  constructor(private readonly heartbeatIntervalS: number) {}

  /** Marks the zones that appear partitioned, or every zone if most machines are overdue. */
  update(machines: readonly Machine[], now: number): void {
    const countsByZone = this.countOverdue(machines, now);
    let overdueInAll = 0;
    for (const { overdue } of countsByZone.values()) overdueInAll += overdue;
    // A partition of one zone is no reason to suspect the other zones. They are suspected only if more than half of
    // all machines are overdue.
    const areMostOverdue = overdueInAll > Math.max(2, machines.length / 2);
    for (const [zone, counts] of countsByZone) {
      const isZoneOverdue = counts.overdue > Math.max(2, counts.machines / 4);
      if (isZoneOverdue || areMostOverdue) this.suspectedAt.set(zone, now);
    }
  }

  /**
   * Whether missing heartbeats point to a fault of the machine itself, because its zone has not appeared partitioned
   * within the last `SUSPICION_INTERVALS`. Without this delay, when a partition ended, the last quarter of the zone's
   * machines to send heartbeats again were released, with all their tasks.
   */
  isMachineFaultLikely(machine: Machine, now: number): boolean {
    const suspectedAt = this.suspectedAt.get(machine.zone) ?? Number.NEGATIVE_INFINITY;
    return now - suspectedAt > SUSPICION_INTERVALS * this.heartbeatIntervalS;
  }

  private countOverdue(machines: readonly Machine[], now: number): Map<string, ZoneCounts> {
    const overdueAfterS = OVERDUE_INTERVALS * this.heartbeatIntervalS;
    const countsByZone = new Map<string, ZoneCounts>();
    for (const machine of machines) {
      let counts = countsByZone.get(machine.zone);
      if (counts === undefined) {
        counts = { machines: 0, overdue: 0 };
        countsByZone.set(machine.zone, counts);
      }
      counts.machines++;
      const isOverdue = now - machine.lastMessageAt > overdueAfterS;
      if (isOverdue || machine.consecutiveFailedRequests > 0) counts.overdue++;
    }
    return countsByZone;
  }
}
