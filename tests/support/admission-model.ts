/**
 * Model of the admission replicas of several controllers that share one simulated state service. Reads lag behind;
 * transactions are delayed, lose their answers, or fail on their preconditions. The checks replay the recorded
 * answers and the stored changes and do not rely on the replicas.
 */
import assert from "node:assert/strict";
import {
  ADMISSION_KEY,
  AdmissionReplica,
  type AdmissionWindow,
  ClaimBatch,
  chargedClass,
  decodeWindow,
  dominantShare,
  encodeRejections,
  encodeWindow,
  grantFor,
  isLimiting,
  type LoggedDecision,
  laneOf,
  RejectionLog,
  resourcesOf,
} from "../../src/admission/index.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { Change, Precondition } from "../../src/core/state/key-value.js";
import { decodeJobRecord, encodeJobRecord, KEY } from "../../src/core/state/stored-values.js";
import { compareDecisionLogs } from "./decision-logs.js";
import { SimulatedKeyValueStore } from "./simulated-key-value-store.js";

/** How a transaction is delivered: answered, committed with its answer lost, or delivered later or never. */
export type TransactionDelivery = "answered" | "answer lost" | "late";

/** Answer to a submission; `uncertain`: the user does not learn whether the job was stored. */
export type SubmissionAnswer = "accepted" | "rejected" | "uncertain";

/** Implementation faults, each of which the checks must detect. */
export interface InjectedFaults {
  readonly omitsLedgerPreconditions?: boolean;
  readonly rejectsWithoutReading?: boolean;
  readonly omitsClaims?: boolean;
  readonly omitsWindowPrecondition?: boolean;
  readonly appliesOutOfOrder?: boolean;
}

/** A controller with its admission replica, its decision log and its rejections that are not stored yet. */
interface SimulatedController {
  readonly name: string;
  replica: AdmissionReplica;
  readonly log: LoggedDecision[];
  readonly rejections: RejectionLog;
  sequence: number;
}

/** A transaction that has not reached the state service. */
interface DelayedTransaction {
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

/** Transactions per submission before the answer is `uncertain`. */
const MAX_ATTEMPTS = 4;
const MAX_REJECTION_BYTES = 300;

/** Several controllers that share one state service, under injected delays and faults. */
export class AdmissionModel {
  readonly store = new SimulatedKeyValueStore();
  readonly controllers: SimulatedController[];
  /** The answers given to users, in order, each with the window version and epoch that the controller had read. */
  readonly answers: {
    readonly job: string;
    readonly accepted: boolean;
    readonly window: string;
  }[] = [];
  private readonly delayed: DelayedTransaction[] = [];

  constructor(
    controllerCount: number,
    private readonly injected: InjectedFaults = {},
  ) {
    this.controllers = Array.from({ length: controllerCount }, (_, index) => ({
      name: `n${index}`,
      replica: new AdmissionReplica(),
      log: [],
      rejections: new RejectionLog(`n${index}`, MAX_REJECTION_BYTES),
      sequence: 0,
    }));
    this.acquireLeadership();
    for (const { log, replica } of this.controllers) log.push(...replica.reset([], 0));
  }

  /** Stores the next epoch, as a controller that acquires leadership does. */
  acquireLeadership(): void {
    const { value, modRevision } = this.store.replica.epoch;
    const change: Change = { op: "put", key: KEY.epoch, value: { n: value + 1 } };
    assert.ok(this.store.commit([{ key: KEY.epoch, modRevision }], [change]));
  }

  /** Applies all changes since the controller's last read to its replica. */
  read(index: number): void {
    const controller = this.controllers[index]!;
    const events = this.store.changesSince(controller.replica.revision);
    const isReversed = this.injected.appliesOutOfOrder && index === 1;
    const applied = isReversed ? [...events].reverse() : events;
    controller.log.push(...controller.replica.apply(applied, this.store.revision));
  }

  private get storedWindow(): { window: AdmissionWindow | null; modRevision: number } {
    const stored = this.store.items().find((item) => item.key === ADMISSION_KEY.window);
    return { window: decodeWindow(stored?.value), modRevision: stored?.modRevision ?? 0 };
  }

  /** Stores a window with the next version, as the leader does. */
  writeWindow(makeWindow: (version: number, epoch: number) => AdmissionWindow): void {
    const { window, modRevision } = this.storedWindow;
    const { epoch } = this.store.replica;
    const nextWindow = makeWindow((window?.version ?? 0) + 1, epoch.value);
    const preconditions = [
      { key: KEY.epoch, modRevision: epoch.modRevision },
      { key: ADMISSION_KEY.window, modRevision },
    ];
    const change: Change = {
      op: "put",
      key: ADMISSION_KEY.window,
      value: encodeWindow(nextWindow),
    };
    assert.ok(this.store.commit(preconditions, [change]));
  }

  private isKnown(job: JobSpec): boolean {
    return this.store.replica.view(job.id) !== null;
  }

  /** Restarts a controller: its new replica starts with a full read of the state. */
  restart(index: number): void {
    const controller = this.controllers[index]!;
    const replica = new AdmissionReplica();
    controller.log.push(...replica.reset(this.store.items(), this.store.revision));
    controller.replica = replica;
  }

  /** Submits a job to a controller as a user does. `delivery` applies to each of its transactions. */
  submit(index: number, job: JobSpec, delivery: TransactionDelivery): SubmissionAnswer {
    const { replica, rejections } = this.controllers[index]!;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (!replica.decide(job).admitted) {
        if (!this.injected.rejectsWithoutReading) {
          this.read(index);
          if (this.isKnown(job)) return this.recordAnswer(index, job, true);
        }
        if (!replica.decide(job).admitted) {
          rejections.add(replica.windowVersion, job);
          return this.recordAnswer(index, job, false);
        }
      }
      const outcome = this.writeSubmission(index, job, delivery);
      if (outcome === "committed") return this.recordAnswer(index, job, true);
      if (outcome === "uncertain") return "uncertain";
      this.read(index);
      if (this.isKnown(job)) return this.recordAnswer(index, job, true);
    }
    return "uncertain";
  }

  private recordAnswer(index: number, job: JobSpec, accepted: boolean): "accepted" | "rejected" {
    const { replica } = this.controllers[index]!;
    this.answers.push({
      job: job.id,
      accepted,
      window: `${replica.windowVersion}/${replica.epoch}`,
    });
    return accepted ? "accepted" : "rejected";
  }

  private writeSubmission(
    index: number,
    job: JobSpec,
    delivery: TransactionDelivery,
  ): "committed" | "failed" | "uncertain" {
    const batch = new ClaimBatch(this.controllers[index]!.replica);
    assert.ok(batch.tryAdmit(job));
    const value = encodeJobRecord({
      spec: job,
      submittedAtMs: 0,
      residuals: [],
      version: 1,
      nextAttempt: 1,
      ownerEpoch: 0,
      doneTasks: "",
      placements: [],
      shardSize: null,
    });
    const isNew = [KEY.activeJob(job.id), KEY.finalRecord(job.id)].map((key) => ({
      key,
      modRevision: 0,
    }));
    const preconditions = [...isNew, ...batch.preconditions].filter(({ key }) => {
      if (this.injected.omitsLedgerPreconditions && key.startsWith("a/t/")) return false;
      return !(this.injected.omitsWindowPrecondition && key === ADMISSION_KEY.window);
    });
    const claims = this.injected.omitsClaims ? [] : batch.changes;
    const changes: Change[] = [{ op: "put", key: KEY.activeJob(job.id), value }, ...claims];
    if (delivery === "late") {
      this.delayed.push({ preconditions, changes });
      return "uncertain";
    }
    const isCommitted = this.store.commit(preconditions, changes);
    if (delivery === "answer lost") return "uncertain";
    return isCommitted ? "committed" : "failed";
  }

  /** Delivers one of the delayed transactions to the state service. */
  deliverDelayed(selector: number): void {
    if (this.delayed.length === 0) return;
    const [transaction] = this.delayed.splice(selector % this.delayed.length, 1);
    this.store.commit(transaction!.preconditions, transaction!.changes);
  }

  /** Stores the controller's oldest record of rejections, if there is one. */
  flushRejections(index: number): void {
    const controller = this.controllers[index]!;
    const record = controller.rejections.nextRecord(++controller.sequence);
    if (record === null) return;
    const key = ADMISSION_KEY.rejections(controller.name);
    this.store.commit([], [{ op: "put", key, value: encodeRejections(record) }]);
    controller.rejections.markStored();
  }

  /** Reads all changes on every controller, then checks the logs, the answers and the shares. */
  check(): void {
    for (const index of this.controllers.keys()) this.read(index);
    this.checkLogs();
    this.checkAnswers();
    this.checkShares();
  }

  /** The logs must agree with each other and with that of a replica that applies all changes at once. */
  private checkLogs(): void {
    const reference = new AdmissionReplica();
    const expected = reference.reset([], 0);
    expected.push(...reference.apply(this.store.changesSince(0), this.store.revision));
    for (const controller of this.controllers) {
      compareDecisionLogs([expected, controller.log]);
      // The log of a controller that never restarted contains every line.
      const rereads = controller.log.filter((decision) => decision.kind === "reread").length;
      if (rereads === 1) assert.deepEqual(controller.log, expected, controller.name);
    }
    const admitted = expected.flatMap((decision) =>
      decision.kind === "admit" ? [decision.job] : [],
    );
    assert.equal(
      new Set(admitted).size,
      admitted.length,
      "a job is logged as admitted more than once",
    );
  }

  /**
   * An accepted job must not be rejected later; all controllers must give a job the same answer within one window.
   */
  private checkAnswers(): void {
    const accepted = new Set<string>();
    const rejectedIn = new Set<string>();
    for (const { job, accepted: isAccepted, window } of this.answers) {
      if (isAccepted) {
        accepted.add(job);
      } else {
        assert.ok(!accepted.has(job), `${job} was accepted and now is refused`);
        rejectedIn.add(`${job} in ${window}`);
      }
    }
    for (const { job, window, epoch } of this.admissions()) {
      assert.ok(
        !rejectedIn.has(`${job.id} in ${window?.version ?? 0}/${epoch}`),
        `${job.id}: two answers in one window, rejected and stored`,
      );
    }
  }

  /** Replays the stored changes: yields every stored job with the window and the epoch at its revision. */
  private *admissions(): Generator<{
    job: JobSpec;
    window: AdmissionWindow | null;
    epoch: number;
  }> {
    let window: AdmissionWindow | null = null;
    let epoch = 0;
    for (const { key, value } of this.store.changesSince(0)) {
      if (key === KEY.epoch) {
        epoch = (value as { n: number }).n;
      } else if (key === ADMISSION_KEY.window) {
        window = decodeWindow(value);
      } else if (key.startsWith("p/")) {
        yield { job: decodeJobRecord(value).spec, window, epoch };
      }
    }
  }

  /** No job may be admitted to a class whose grant is used up, so that a grant is exceeded by less than one job. */
  private checkShares(): void {
    const used = new Map<string, number>();
    for (const { job, window, epoch } of this.admissions()) {
      if (!isLimiting(window, epoch)) continue;
      const lane = laneOf(job);
      const key = `${window.version} ${job.team} ${chargedClass(window, job)} ${lane}`;
      const usedBefore = used.get(key) ?? 0;
      const grant = grantFor(window, job.team, job.class)?.lanes[lane] ?? 0;
      assert.ok(usedBefore < grant, `${key}: ${usedBefore} of ${grant} was used before ${job.id}`);
      const claim = Math.max(1, dominantShare(resourcesOf(job, job.tasks), window.capacity));
      used.set(key, usedBefore + claim);
    }
  }
}
