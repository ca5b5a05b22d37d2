/**
 * Distinguishes a single machine that sends no heartbeats from a partitioned zone, and from a fault of this node's
 * connections.
 */
import type { Machine } from "./machine.js";

/** Heartbeat intervals after which a machine counts as overdue: heartbeats arrive within 1.25. */
const OVERDUE_INTERVALS = 1.3;
/** Heartbeat intervals for which missing heartbeats of a zone are no evidence against its single machines. */
const DOUBT_INTERVALS = 2;

interface ZoneCounts {
  machines: number;
  overdue: number;
}

/**
 * The zones in which so many machines were overdue at once that a partition is likelier than a fault of each. Machines
 * that are partitioned together are all overdue before the first would be released.
 */
export class ZoneSilence {
  private readonly doubtedAt = new Map<string, number>();

  constructor(private readonly heartbeatIntervalS: number) {}

  /** Notes the zones that seem partitioned, and all zones if most machines are overdue. */
  update(machines: readonly Machine[], now: number): void {
    const countsByZone = this.countOverdue(machines, now);
    let overdueInAll = 0;
    for (const { overdue } of countsByZone.values()) overdueInAll += overdue;
    // A zone that is partitioned as a whole says nothing against the machines of another.
    const areMostOverdue = overdueInAll > Math.max(2, machines.length / 2);
    for (const [zone, counts] of countsByZone) {
      const isSilent = counts.overdue > Math.max(2, counts.machines / 4);
      if (isSilent || areMostOverdue) this.doubtedAt.set(zone, now);
    }
  }

  /**
   * Whether missing heartbeats are evidence against the machine: its zone did not seem partitioned a moment ago. (When a
   * zone came back after a partition, the last quarter to send heartbeats was released with all that ran there.)
   */
  isCredible(machine: Machine, now: number): boolean {
    const doubtedAt = this.doubtedAt.get(machine.zone) ?? Number.NEGATIVE_INFINITY;
    return now - doubtedAt > DOUBT_INTERVALS * this.heartbeatIntervalS;
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
