/** Processes worker heartbeats: first the state of the machine, then the tasks on it. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { LeaderContext } from "../leader-context.js";
import type { FaultAttribution } from "../machines/fault-attribution.js";
import type { Machine } from "../machines/machine.js";
import type { WorkerHeartbeat } from "../model/workers.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import { TaskReconciler } from "./task-reconciler.js";
import type { WorkerFencing } from "./worker-fencing.js";

/**
 * A message from a worker triggers a scheduling cycle if the worker's previous message arrived more than this number
 * of heartbeat intervals earlier.
 */
const LONG_SILENCE_INTERVALS = 1.5;

/** Updates the leader's view of a machine from its worker's heartbeats. */
export class Reconciler {
  private readonly taskReconciler: TaskReconciler;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    faultAttribution: FaultAttribution,
    private readonly machinePool: MachinePool,
    private readonly fencing: WorkerFencing,
  ) {
    this.taskReconciler = new TaskReconciler(context, dispatcher, faultAttribution);
  }

  /**
   * Handles a heartbeat that the worker sent on its own or in response to a direct request. A heartbeat that is no
   * newer than the last one is skipped.
   *
   * @returns the machine that sent the heartbeat, even if the heartbeat was skipped. Null in three cases: the machine
   * is terminated; the machine is new and its type is unknown; or the worker has seen a higher fencing token than
   * this leader's, so this leader steps down.
   */
  handleHeartbeat(heartbeat: WorkerHeartbeat, now: number): Machine | null {
    if (this.machinePool.terminated.has(heartbeat.machine)) return null;
    if (this.stepDownIfSuperseded(heartbeat)) return null;
    const machine = this.findOrAddMachine(heartbeat, now);
    if (machine === null || !isNewer(heartbeat, machine)) return machine;
    this.applyDescription(machine, heartbeat, now);
    this.recordContact(machine, now);
    if (heartbeat.incarnation > machine.incarnation) {
      this.beginIncarnation(machine, heartbeat.incarnation, now);
    }
    machine.sequence = heartbeat.sequence;
    this.handleInterruptionNotice(machine, heartbeat.interruptionNoticeS, now);
    this.fencing.recordAcknowledgement(machine, heartbeat.fencingToken);
    if (machine.hasAcknowledgedToken) {
      this.taskReconciler.reconcileTasks(machine, heartbeat.tasks, now);
    }
    this.dispatcher.machinesAwaitingDispatch.add(machine);
    return machine;
  }

  /**
   * Steps down and returns true if the worker has seen a higher fencing token, which proves that another leader was
   * elected.
   */
  private stepDownIfSuperseded({ machine, fencingToken }: WorkerHeartbeat): boolean {
    if (fencingToken <= this.context.epoch) return false;
    this.context.effects.push({
      kind: "step down",
      why: `machine ${machine} has seen a higher fencing token`,
    });
    return true;
  }

  private findOrAddMachine(heartbeat: WorkerHeartbeat, now: number): Machine | null {
    return this.context.findOrAddMachine(heartbeat.machine, heartbeat, now);
  }

  /** Applies the worker's description of its machine, and corrects or adds the machine's stored record. */
  private applyDescription(machine: Machine, heartbeat: WorkerHeartbeat, now: number): void {
    this.context.applySelfDescription(machine, heartbeat);
    if (machine.isRecordOutdated) this.machinePool.recordShards.updateRecord(machine);
    if (machine.state === "booting") this.handleBooted(machine, now);
    machine.address = heartbeat.address;
    if (!machine.isPersisted) this.machinePool.recordShards.add(machine);
  }

  private handleBooted(machine: Machine, now: number): void {
    this.machinePool.recordMachineUp(machine, now);
    machine.state = "up";
    machine.idleSince = now;
    this.context.cycleRequested = true;
    this.context.log("machine up", {
      machine: machine.name,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
    });
  }

  private recordContact(machine: Machine, now: number): void {
    const { settings, options, startedAt } = this.context;
    // The scheduler sets `lastHeartbeatAt` whenever it answers a heartbeat that the worker sent on its own. If it has
    // not answered any from this worker yet, the time of the worker's first message of any kind is used.
    if (machine.lastHeartbeatAt === Number.NEGATIVE_INFINITY) machine.lastHeartbeatAt = now;
    if (now - machine.lastMessageAt > LONG_SILENCE_INTERVALS * settings.heartbeatIntervalS) {
      this.context.cycleRequested = true;
    }
    machine.lastMessageAt = now;
    machine.consecutiveFailedRequests = 0;
    // The exact time of the last lease renewal is not known here, so the latest possible time is assumed. The lease
    // of a new incarnation began no later than `now`, the time at which its first heartbeat arrived. A previous
    // leader may have renewed the lease until the end of that leader's grace period.
    const latestRenewalByOthers = startedAt + options.gracePeriodS;
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now, latestRenewalByOthers);
  }

  /**
   * Handles a new worker incarnation, which begins when the worker's lease expires. By then the worker has killed and
   * forgotten all its tasks. From then on, the worker drops start commands that were sent to an earlier incarnation.
   */
  private beginIncarnation(machine: Machine, incarnation: number, now: number): void {
    for (const placement of [...machine.placements.values()]) {
      if (placement.incarnation < incarnation) {
        this.dispatcher.handleTaskLost(placement, "worker incarnation changed", now);
      }
    }
    machine.incarnation = incarnation;
    machine.unansweredStarts.clear();
    machine.exitedTasks.clear();
  }

  /**
   * Stops the tasks on a spot machine that the cloud is about to reclaim. An array task that never checkpoints keeps
   * running if it may complete before the machine is reclaimed, because a stop would lose its work.
   */
  private handleInterruptionNotice(machine: Machine, noticeS: number | null, now: number): void {
    if (noticeS === null || machine.interruptionAt !== null) return;
    machine.interruptionAt = now + noticeS;
    this.context.log("spot interruption notice", {
      machine: machine.name,
      inS: noticeS,
      tasks: machine.placements.size,
    });
    for (const placement of machine.placements.values()) {
      const { kind, estimateS, saveS, checkpointS } = placement.job.spec;
      const elapsedS = placement.state === "running" ? now - placement.runningSince : 0;
      const remainingS = estimateS - elapsedS;
      const mayComplete = remainingS > 0 && remainingS < noticeS;
      if (kind === "array" && checkpointS === 0 && mayComplete) continue;
      this.dispatcher.stopTaskOrGang(placement, "spot interruption notice", saveS);
    }
    this.context.cycleRequested = true;
  }
}

/** Whether a heartbeat is newer than the last processed one, by incarnation and then by sequence number. */
export const isNewer = (heartbeat: WorkerHeartbeat, machine: Machine): boolean =>
  heartbeat.incarnation > machine.incarnation ||
  (heartbeat.incarnation === machine.incarnation && heartbeat.sequence > machine.sequence);
