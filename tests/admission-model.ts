/**
 * Several controllers' admission replicas over one simulated state service: reads lag, transactions come late, are carried
 * out without an answer, or lose to others. What was told and stored is checked by its own account, not by the replicas'.
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
} from "../src/admission/index.js";
import type { JobSpec } from "../src/core/model.js";
import type { Change, Precondition } from "../src/core/state/key-value.js";
import { KEY, type StoredJob } from "../src/core/state/state-replica.js";
import { compareDecisionLogs } from "./decision-logs.js";
import { SimulatedKeyValueStore } from "./support/simulated-key-value-store.js";

/** What becomes of a transaction: answered, carried out without an answer, or carried out later or never. */
export type TransactionFate = "answered" | "answer lost" | "late";

/** Faults put in on purpose, to see that the checks find them. */
export interface InjectedFaults {
  readonly omitsLedgerPreconditions?: boolean;
  readonly rejectsWithoutReading?: boolean;
  readonly omitsClaims?: boolean;
  readonly omitsWindowPrecondition?: boolean;
  readonly appliesOutOfOrder?: boolean;
}

interface Node {
  readonly name: string;
  replica: AdmissionReplica;
  readonly log: LoggedDecision[];
  readonly rejections: RejectionLog;
  sequence: number;
}

interface DelayedTransaction {
  readonly conditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

const MAX_ATTEMPTS = 4;
const REJECTION_BYTES = 300;

export class AdmissionModel {
  readonly store = new SimulatedKeyValueStore();
  readonly nodes: Node[];
  /** What users were told, in order. */
  readonly answers: {
    readonly job: string;
    readonly accepted: boolean;
    readonly window: string;
  }[] = [];
  private readonly delayed: DelayedTransaction[] = [];

  constructor(
    nodes: number,
    private readonly injected: InjectedFaults = {},
  ) {
    this.nodes = Array.from({ length: nodes }, (_, i) => ({
      name: `n${i}`,
      replica: new AdmissionReplica(),
      log: [],
      rejections: new RejectionLog(`n${i}`, REJECTION_BYTES),
      sequence: 0,
    }));
    this.acquireLeadership();
    for (const n of this.nodes) n.log.push(...n.replica.reset([], 0));
  }

  acquireLeadership(): void {
    const n = this.store.replica.epoch.value.n + 1;
    const condition = { key: KEY.epoch, modRevision: this.store.replica.epoch.modRevision };
    assert.ok(this.store.commit([condition], [{ op: "put", key: KEY.epoch, value: { n } }]));
  }

  read(i: number): void {
    const node = this.nodes[i]!;
    const events = this.store.changesSince(node.replica.revision);
    const given = this.injected.appliesOutOfOrder && i === 1 ? [...events].reverse() : events;
    node.log.push(...node.replica.apply(given, this.store.revision));
  }

  private get storedWindow(): { window: AdmissionWindow | null; mark: number } {
    const item = this.store.items().find((x) => x.key === ADMISSION_KEY.window);
    return { window: decodeWindow(item?.value), mark: item?.modRevision ?? 0 };
  }

  /** The leader stores a window, whose version follows on the stored one's. */
  writeWindow(make: (version: number, epoch: number) => AdmissionWindow): void {
    const { window, mark } = this.storedWindow;
    const { value, modRevision: epochMark } = this.store.replica.epoch;
    const next = make((window?.version ?? 0) + 1, value.n);
    const conditions = [
      { key: KEY.epoch, modRevision: epochMark },
      { key: ADMISSION_KEY.window, modRevision: mark },
    ];
    const change: Change = { op: "put", key: ADMISSION_KEY.window, value: encodeWindow(next) };
    assert.ok(this.store.commit(conditions, [change]));
  }

  private isKnown(job: JobSpec): boolean {
    return this.store.replica.view(job.id) !== null;
  }

  /** A node's process ends and is back: it reads everything as a whole. */
  restart(i: number): void {
    const node = this.nodes[i]!;
    const replica = new AdmissionReplica();
    node.log.push(...replica.reset(this.store.items(), this.store.revision));
    node.replica = replica;
  }

  /** A user submits at a node, which answers at once, or gives no certain answer. */
  submit(i: number, job: JobSpec, fate: TransactionFate): "accepted" | "rejected" | "uncertain" {
    const { replica, rejections } = this.nodes[i]!;
    for (let round = 0; round < MAX_ATTEMPTS; round++) {
      if (!replica.decide(job).admitted) {
        if (!this.injected.rejectsWithoutReading) {
          this.read(i);
          if (this.isKnown(job)) return this.recordAnswer(i, job, true);
        }
        if (!replica.decide(job).admitted) {
          rejections.add(replica.windowVersion, job);
          return this.recordAnswer(i, job, false);
        }
      }
      const outcome = this.writeSubmission(i, job, fate);
      if (outcome === "ok") return this.recordAnswer(i, job, true);
      if (outcome === "uncertain") return "uncertain";
      this.read(i);
      if (this.isKnown(job)) return this.recordAnswer(i, job, true);
    }
    return "uncertain";
  }

  private recordAnswer(i: number, job: JobSpec, accepted: boolean): "accepted" | "rejected" {
    const { replica } = this.nodes[i]!;
    this.answers.push({
      job: job.id,
      accepted,
      window: `${replica.windowVersion}/${replica.epoch}`,
    });
    return accepted ? "accepted" : "rejected";
  }

  private writeSubmission(
    i: number,
    job: JobSpec,
    fate: TransactionFate,
  ): "ok" | "failed" | "uncertain" {
    const batch = new ClaimBatch(this.nodes[i]!.replica);
    assert.ok(batch.tryAdmit(job));
    const value: StoredJob = { j: job, at: 0, r: [], v: 1, n: 1, o: 0, done: "", pl: [] };
    const own = [KEY.activeJob(job.id), KEY.finalRecord(job.id)].map((key) => ({
      key,
      modRevision: 0,
    }));
    const conditions = [...own, ...batch.preconditions].filter((c) => {
      if (this.injected.omitsLedgerPreconditions && c.key.startsWith("a/t/")) return false;
      return !(this.injected.omitsWindowPrecondition && c.key === ADMISSION_KEY.window);
    });
    const claims = this.injected.omitsClaims ? [] : batch.changes;
    const changes: Change[] = [{ op: "put", key: KEY.activeJob(job.id), value }, ...claims];
    if (fate === "late") {
      this.delayed.push({ conditions, changes });
      return "uncertain";
    }
    const done = this.store.commit(conditions, changes);
    if (fate === "answer lost") return "uncertain";
    return done ? "ok" : "failed";
  }

  /** Some late transaction arrives. */
  deliverDelayed(which: number): void {
    if (this.delayed.length === 0) return;
    const [late] = this.delayed.splice(which % this.delayed.length, 1);
    this.store.commit(late!.conditions, late!.changes);
  }

  /** A node stores what it refused. */
  flushRejections(i: number): void {
    const node = this.nodes[i]!;
    const record = node.rejections.nextRecord(++node.sequence);
    if (record === null) return;
    const key = ADMISSION_KEY.rejections(node.name);
    this.store.commit([], [{ op: "put", key, value: encodeRejections(record) }]);
    node.rejections.markStored();
  }

  // ---------------------------------------------------------------- checks

  check(): void {
    for (const i of this.nodes.keys()) this.read(i);
    this.checkLogs();
    this.checkAnswers();
    this.checkShares();
  }

  /** All nodes logged the same lines, and so does one that reads everything at once. */
  private checkLogs(): void {
    const reference = new AdmissionReplica();
    const expected = reference.reset([], 0);
    expected.push(...reference.apply(this.store.changesSince(0), this.store.revision));
    for (const node of this.nodes) {
      compareDecisionLogs([expected, node.log]);
      // A node that never restarted has every line.
      const rereads = node.log.filter((d) => d.kind === "reread").length;
      if (rereads === 1) assert.deepEqual(node.log, expected, node.name);
    }
    const admitted = expected.flatMap((d) => (d.kind === "admit" ? [d.job] : []));
    assert.equal(new Set(admitted).size, admitted.length, "a job is logged as admitted once");
  }

  /** An accepted job is never refused; in one window a job gets one answer, whoever is asked. */
  private checkAnswers(): void {
    const accepted = new Set<string>();
    const refusedIn = new Set<string>();
    for (const { job, accepted: yes, window } of this.answers) {
      if (yes) accepted.add(job);
      else assert.ok(!accepted.has(job), `${job} was accepted and is refused`);
      if (!yes) refusedIn.add(`${job} in ${window}`);
    }
    for (const { job, window, epoch } of this.admissions()) {
      assert.ok(
        !refusedIn.has(`${job.id} in ${window?.version ?? 0}/${epoch}`),
        `${job.id}: two answers`,
      );
    }
  }

  /** Every job that was stored, with the window at that moment, by replaying what was stored. */
  private *admissions(): Generator<{
    job: JobSpec;
    window: AdmissionWindow | null;
    epoch: number;
  }> {
    let window: AdmissionWindow | null = null;
    let epoch = 0;
    for (const e of this.store.changesSince(0)) {
      if (e.key === KEY.epoch) epoch = (e.value as { n: number }).n;
      else if (e.key === ADMISSION_KEY.window) window = decodeWindow(e.value);
      else if (e.key.startsWith("p/")) yield { job: (e.value as StoredJob).j, window, epoch };
    }
  }

  /** No class is admitted anything once its grant is used up: the excess is less than one job. */
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
