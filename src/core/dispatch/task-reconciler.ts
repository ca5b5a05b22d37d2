/** Compares the tasks in a worker's heartbeat with the placements on its machine, and updates the placements. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { FaultAttribution } from "../machines/fault-attribution.js";
import type { Machine } from "../machines/machine.js";
import type { TaskStatus } from "../model/workers.js";
import { range } from "../range.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import { Placement, taskKey } from "./placement.js";

/**
 * Maximum number of run times kept per job. Slow machines are detected by comparing run times; a larger sample would
 * hardly change the result.
 */
const MAXIMUM_RUN_TIMES = 256;

/** Reconciles the leader's placements with the tasks that a worker reports. */
export class TaskReconciler {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly faultAttribution: FaultAttribution,
  ) {}

  /** Reconciles all tasks of a worker that has acknowledged the current fencing token. */
  reconcileTasks(machine: Machine, tasks: readonly TaskStatus[], now: number): void {
    const reportedKeys = new Set<string>();
    for (const status of tasks) {
      const key = taskKey(status.job, status.task, status.attempt);
      reportedKeys.add(key);
      if (status.state === "exited") {
        this.handleTaskExit(machine, key, status, now);
        continue;
      }
      const placement = machine.placements.get(key);
      if (placement !== undefined) this.handleTaskProgress(placement, status, now);
      else this.stopUnrecordedTask(machine, status, now);
    }
    this.handleMissingTasks(machine, reportedKeys, now);
    for (const key of [...machine.exitedTasks.keys()]) {
      if (!reportedKeys.has(key)) machine.exitedTasks.delete(key);
    }
  }

  /**
   * Handles placements whose tasks the worker does not report. Such a task has not been started yet, or it is lost.
   */
  private handleMissingTasks(
    machine: Machine,
    reportedKeys: ReadonlySet<string>,
    now: number,
  ): void {
    for (const placement of [...machine.placements.values()]) {
      if (reportedKeys.has(placement.key) || placement.startsInFlight > 0) continue;
      if (placement.incarnation !== machine.incarnation) continue;
      switch (placement.state) {
        case "planned":
          break;
        case "loaded":
          // The worker has not received the previous leader's start command. If the command arrives later, the worker
          // drops it because of its earlier fencing token.
          placement.state = "planned";
          break;
        case "sent":
          if (!machine.unansweredStarts.has(placement.key)) placement.state = "planned";
          break;
        default:
          this.handleUnreportedTask(placement, now);
      }
    }
  }

  /**
   * Handles a task that its worker reported before and no longer reports. A late copy of its start may still run it
   * again, unless the worker has seen a higher fencing token since. Until then the placement is kept, and stopped.
   */
  private handleUnreportedTask(placement: Placement, now: number): void {
    const { machine } = placement;
    const why = "not reported by its worker";
    if (machine.acknowledgedToken > machine.lastStartToken) {
      this.dispatcher.handleTaskLost(placement, why, now);
      return;
    }
    placement.state = "sent";
    machine.unansweredStarts.set(placement.key, machine.lastStartToken);
    this.dispatcher.stopTaskOrGang(placement, why, 0);
  }

  private handleTaskProgress(placement: Placement, status: TaskStatus, now: number): void {
    if (status.state === "exited" || placement.state === status.state) return;
    if (status.state !== "pulling image") this.recordPulledImage(placement, now);
    if (status.state === "running" && placement.state !== "checkpointing") {
      this.handleTaskRunning(placement, now);
    }
    placement.state = status.state;
  }

  private handleTaskRunning(placement: Placement, now: number): void {
    const { job, machine } = placement;
    placement.runningSince = now;
    placement.hasKnownStart = placement.state !== "loaded";
    this.reportFirstStart(job);
    this.context.logTask("task running", () => ({
      task: `${job.spec.id}/${placement.task}`,
      machine: machine.name,
      class: job.spec.class,
      imageGb: job.spec.imageGb,
      startLatencyS: Math.round((now - placement.placedAt) * 10) / 10,
    }));
  }

  private reportFirstStart(job: ActiveJob): void {
    if (job.firstTaskStarted) return;
    job.firstTaskStarted = true;
    this.context.effects.push({
      kind: "first start",
      job: job.spec.id,
      submittedAt: job.submittedAtMs,
    });
  }

  private recordPulledImage({ job, machine }: Placement, now: number): void {
    const { image, imageGb } = job.spec;
    const known = machine.images.get(image);
    if (known !== undefined) {
      known.isPulled = true;
      known.lastUsedAt = now;
    } else {
      machine.images.set(image, { lastUsedAt: now, sizeGb: imageGb, isPulled: true });
    }
    this.evictImages(machine);
  }

  /**
   * Removes the images that the worker has presumably evicted from its cache: the cache keeps the most recently used
   * images up to its size, and any image in use.
   */
  private evictImages(machine: Machine): void {
    const inUse = new Set([...machine.placements.values()].map(({ job }) => job.spec.image));
    let sumGb = 0;
    const byLastUse = [...machine.images].sort((a, b) => b[1].lastUsedAt - a[1].lastUsedAt);
    for (const [name, image] of byLastUse) {
      sumGb += image.sizeGb;
      if (sumGb > machine.type.cacheGb && !inUse.has(name)) machine.images.delete(name);
    }
  }

  private handleTaskExit(machine: Machine, key: string, status: TaskStatus, now: number): void {
    if (machine.exitedTasks.has(key)) return;
    const isDone = status.cause === "done";
    const placement = machine.placements.get(key);
    const job = this.context.cluster.jobs.get(status.job);
    if (placement !== undefined) {
      if (isDone) this.recordCompletedRun(placement, now);
      this.dispatcher.release(placement, now);
      this.faultAttribution.handleTaskExit(placement, status, now);
    }
    if (job !== undefined && isDone) this.markTaskDone(job, status.task);
    machine.exitedTasks.set(key, {
      job: status.job,
      task: status.task,
      attempt: status.attempt,
      version: job?.version ?? 0,
    });
  }

  private recordCompletedRun(placement: Placement, now: number): void {
    const { job, machine } = placement;
    machine.images.set(job.spec.image, {
      lastUsedAt: now,
      sizeGb: job.spec.imageGb,
      isPulled: true,
    });
    if (placement.hasKnownStart && job.runTimes.length < MAXIMUM_RUN_TIMES) {
      job.runTimes.push(now - placement.runningSince);
    }
  }

  private markTaskDone(job: ActiveJob, task: number): void {
    const { id, kind, tasks } = job.spec;
    if (kind === "service" || task >= tasks) return;
    // The tasks of a gang complete together: once one is done, all are.
    for (const doneTask of kind === "gang" ? range(tasks) : [task]) {
      if (!job.doneTasks.add(doneTask)) continue;
      job.markChanged(doneTask);
      const otherAttempt = job.placements.get(doneTask);
      if (otherAttempt !== undefined && kind !== "gang") {
        this.dispatcher.stop(otherAttempt, "task is already done", 0);
      }
    }
    if (job.isComplete) this.context.log("all tasks done", { job: id, tasks });
    this.context.cycleRequested = true;
  }

  /**
   * Stops a task that has no recorded placement. If the job is active, the task's resources count as used until the
   * task has terminated.
   */
  private stopUnrecordedTask(machine: Machine, status: TaskStatus, now: number): void {
    const { job: id, task, attempt } = status;
    this.context.log("orphaned task", { task: `${id}/${task}`, attempt, machine: machine.name });
    const job = this.context.cluster.jobs.get(id);
    if (job === undefined) {
      // The job is terminal, so there is no job to which the task's resources can be charged. The task is stopped
      // without time to checkpoint.
      this.dispatcher.stopOrphanedTask({ machine: machine.name, job: id, task, attempt });
      return;
    }
    const placement = new Placement(job, task, attempt, machine, machine.incarnation, 0, now);
    placement.state = status.state === "exited" ? "running" : status.state;
    this.context.cluster.addPlacement(placement, true);
    this.dispatcher.stop(placement, "no recorded placement", 0);
  }
}
