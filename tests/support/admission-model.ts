/**
 * Model of several controllers' admission replicas over one simulated state service: reads lag, transactions are delayed,
 * lose their answer, or fail on their preconditions. The checks replay what was answered and stored, and do not rely on the
 * replicas.
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

/** Fate of a transaction: answered, committed without an answer, or delivered later or never. */
export type TransactionFate = "answered" | "answer lost" | "late";

/** Answer to a submission. */
export type SubmissionAnswer = "accepted" | "rejected" | "uncertain";

/** Faults injected to verify that the checks detect them. */
export interface InjectedFaults {
  readonly omitsLedgerPreconditions?: boolean;
  readonly rejectsWithoutReading?: boolean;
  readonly omitsClaims?: boolean;
  readonly omitsWindowPrecondition?: boolean;
  readonly appliesOutOfOrder?: boolean;
}

interface SimulatedController {
  readonly name: string;
  replica: AdmissionReplica;
  readonly log: LoggedDecision[];
  readonly rejections: RejectionLog;
  sequence: number;
}

interface DelayedTransaction {
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

const MAX_ATTEMPTS = 4;
const REJECTION_BYTES = 300;

/** Several controllers that share one state service, under injected delays and faults. */
export class AdmissionModel {
  readonly store = new SimulatedKeyValueStore();
  readonly controllers: SimulatedController[];
  /** The answers to users, in order. */
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
      rejections: new RejectionLog(`n${index}`, REJECTION_BYTES),
      sequence: 0,
    }));
    this.acquireLeadership();
    for (const { log, replica } of this.controllers) log.push(...replica.reset([], 0));
  }

  /** A controller acquires leadership, under a new epoch. */
  acquireLeadership(): void {
    const { value, modRevision } = this.store.replica.epoch;
    const change: Change = { op: "put", key: KEY.epoch, value: { n: value + 1 } };
    assert.ok(this.store.commit([{ key: KEY.epoch, modRevision }], [change]));
  }

  /** A controller reads all changes since its last read. */
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

  /** The leader stores a window, with the next version. */
  writeWindow(make: (version: number, epoch: number) => AdmissionWindow): void {
    const { window, modRevision } = this.storedWindow;
    const { epoch } = this.store.replica;
    const next = make((window?.version ?? 0) + 1, epoch.value);
    const preconditions = [
      { key: KEY.epoch, modRevision: epoch.modRevision },
      { key: ADMISSION_KEY.window, modRevision },
    ];
    const change: Change = { op: "put", key: ADMISSION_KEY.window, value: encodeWindow(next) };
    assert.ok(this.store.commit(preconditions, [change]));
  }

  private isKnown(job: JobSpec): boolean {
    return this.store.replica.view(job.id) !== null;
  }

  /** A controller restarts: it begins with a full read. */
  restart(index: number): void {
    const controller = this.controllers[index]!;
    const replica = new AdmissionReplica();
    controller.log.push(...replica.reset(this.store.items(), this.store.revision));
    controller.replica = replica;
  }

  /** A user submits to a controller, which accepts, rejects, or gives no certain answer. */
  submit(index: number, job: JobSpec, fate: TransactionFate): SubmissionAnswer {
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
      const outcome = this.writeSubmission(index, job, fate);
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
    fate: TransactionFate,
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
    if (fate === "late") {
      this.delayed.push({ preconditions, changes });
      return "uncertain";
    }
    const isCommitted = this.store.commit(preconditions, changes);
    if (fate === "answer lost") return "uncertain";
    return isCommitted ? "committed" : "failed";
  }

  /** One of the delayed transactions reaches the state service. */
  deliverDelayed(choice: number): void {
    if (this.delayed.length === 0) return;
    const [transaction] = this.delayed.splice(choice % this.delayed.length, 1);
    this.store.commit(transaction!.preconditions, transaction!.changes);
  }

  /** A controller stores its rejections. */
  flushRejections(index: number): void {
    const controller = this.controllers[index]!;
    const record = controller.rejections.nextRecord(++controller.sequence);
    if (record === null) return;
    const key = ADMISSION_KEY.rejections(controller.name);
    this.store.commit([], [{ op: "put", key, value: encodeRejections(record) }]);
    controller.rejections.markStored();
  }

  /** Lets all controllers read everything, and checks logs, answers and shares. */
  check(): void {
    for (const index of this.controllers.keys()) this.read(index);
    this.checkLogs();
    this.checkAnswers();
    this.checkShares();
  }

  /** All controllers log the same lines, as does one that applies everything at once. */
  private checkLogs(): void {
    const reference = new AdmissionReplica();
    const expected = reference.reset([], 0);
    expected.push(...reference.apply(this.store.changesSince(0), this.store.revision));
    for (const controller of this.controllers) {
      compareDecisionLogs([expected, controller.log]);
      // A controller that never restarted has every line.
      const rereads = controller.log.filter((decision) => decision.kind === "reread").length;
      if (rereads === 1) assert.deepEqual(controller.log, expected, controller.name);
    }
    const admitted = expected.flatMap((decision) =>
      decision.kind === "admit" ? [decision.job] : [],
    );
    assert.equal(new Set(admitted).size, admitted.length, "a job is logged as admitted once");
  }

  /** An accepted job is never rejected later; in one window a job gets one answer, whichever controller is asked. */
  private checkAnswers(): void {
    const accepted = new Set<string>();
    const rejectedIn = new Set<string>();
    for (const { job, accepted: isAccepted, window } of this.answers) {
      if (isAccepted) {
        accepted.add(job);
      } else {
        assert.ok(!accepted.has(job), `${job} was accepted and is refused`);
        rejectedIn.add(`${job} in ${window}`);
      }
    }
    for (const { job, window, epoch } of this.admissions()) {
      assert.ok(
        !rejectedIn.has(`${job.id} in ${window?.version ?? 0}/${epoch}`),
        `${job.id}: two answers`,
      );
    }
  }

  /** Replays the store: every job that was stored, with the window and epoch at that revision. */
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

  /** No class is admitted a job once its grant is used up: the excess is less than one job. */
  private checkShares(): void {
    const used = new Map<string, number>();
    for (const { job, window, epoch } of this.admissions()) {
      if (!isLimiting(window, epoch)) continue;
      const lane = laneOf(job);
      const key = `${window.version} ${job.team} ${chargedClass(window, job)} ${lane}`;
      const before = used.get(key) ?? 0;
      const grant = grantFor(window, job.team, job.class)?.lanes[lane] ?? 0;
      assert.ok(before < grant, `${key}: ${before} of ${grant} was used before ${job.id}`);
      const claim = Math.max(1, dominantShare(resourcesOf(job, job.tasks), window.capacity));
      used.set(key, before + claim);
    }
  }
}
