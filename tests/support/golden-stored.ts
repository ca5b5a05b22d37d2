/**
 * Records every kind of value that this code stores: the transactions in order, and all stored values in the middle
 * and at the end of a scenario. `golden-forms.test.ts` compares them with the kept examples.
 */
import { mock } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { pino } from "pino";
import {
  ADMISSION_KEY,
  AdmissionReplica,
  type AdmissionWindow,
  ClaimBatch,
  decodeLedger,
  decodeRejections,
  decodeWindow,
  encodeRejections,
  encodeWindow,
} from "../../src/admission/index.js";
import { SubmissionWriter } from "../../src/api/submission-writer.js";
import { CloudClient } from "../../src/cloud/client.js";
import type { MachineType } from "../../src/core/model/machines.js";
import { TokenBucket } from "../../src/core/overload/token-bucket.js";
import type { Change, KeyValueItem, Precondition } from "../../src/core/state/key-value.js";
import { StateReplica } from "../../src/core/state/state-replica.js";
import {
  encodeEpoch,
  encodeFinalRecord,
  encodeJobRecord,
  encodeJobShardRecord,
} from "../../src/core/state/stored-values.js";
import type { LeaderTransaction } from "../../src/core/state/write-composer.js";
import { Leadership } from "../../src/node/leadership.js";
import { MachineTypeCatalog } from "../../src/node/machine-type-catalog.js";
import {
  KeyValueClient,
  type LeaseGrant,
  type TransactionResult,
} from "../../src/state/key-value-client.js";
import { StateWatcher } from "../../src/state/state-watcher.js";
import { decodeCatalog } from "../../src/wire/cloud.js";
import { decodeJob } from "../../src/wire/jobs.js";
import { encodeTransaction } from "../../src/wire/key-value.js";
import { encode } from "../../src/wire/msgpack.js";
import { decodeSettings } from "../../src/wire/settings.js";
import { message } from "./golden-exchanges.js";
import { catalog, submissions } from "./golden-messages.js";
import { jobSpec } from "./job-builders.js";
import { settingsText } from "./node-settings.js";
import { SimulatedWorkers } from "./simulated-workers.js";
import { TestLeader } from "./test-leader.js";

const NOW_MS = 1_700_000_000_000;

const transaction = (conditions: readonly Precondition[], changes: readonly Change[]): unknown =>
  message(encode(encodeTransaction(conditions, changes)));

/** A leader that records its transactions. */
class RecordingLeader extends TestLeader {
  readonly transactions: unknown[] = [];
  override commitWrite(w: LeaderTransaction): void {
    this.transactions.push(transaction(w.preconditions, w.changes));
    super.commitWrite(w);
  }
}

/** Returns all values of a replica as the state service holds them. */
function stored(records: StateReplica): unknown[] {
  const out: KeyValueItem[] = [];
  const add = (key: string, value: unknown, mark: number) =>
    out.push({ key: key, value: value, modRevision: mark });
  for (const [id, live] of records.activeJobs) {
    add(`p/${id}`, encodeJobRecord(live.value), live.modRevision);
    for (const [n, shard] of records.shardsOf(id)) {
      add(`q/${id}/${n}`, encodeJobShardRecord(shard.value), shard.modRevision);
    }
  }
  for (const [id, final] of records.finalRecords) add(`d/${id}`, encodeFinalRecord(final), 1);
  for (const [id, cancel] of records.cancellations)
    add(`x/${id}`, { at: 0, told: cancel.confirmedAtOnce }, 1);
  for (const [n, group] of records.machineShards) add(`g/${n}`, group.value, group.modRevision);
  add("epoch", encodeEpoch(records.epoch.value), records.epoch.modRevision);
  return out.map((i) => ({
    key: i.key,
    mark: i.modRevision,
    ...(message(encode(i.value)) as object),
  }));
}

/** Runs jobs of each kind, small and sharded, with completions, failures, cancellations and dependent jobs. */
function scenario(): Record<string, unknown> {
  const h = new RecordingLeader({ state: { value_kb: 2 } });
  const names = ["m1a", "m2b", "m3a", "m4b", "m5a", "m6b"];
  const seconds: Record<string, number> = { web: 1000, large: 1 };
  const fate = (job: string) => (job === "flaky" ? "error" : (seconds[job] ?? 5));
  const w = new SimulatedWorkers(h, new Map(names.map((n) => [n, "small"])), fate);
  w.runFor(4);
  h.submit(jobSpec("web", { kind: "service", tasks: 2, spread: true, priority: "production" }));
  h.submit(jobSpec("list", { tasks: 3, types: ["small"], deadlineS: 900 }));
  h.submit(jobSpec("gang", { kind: "gang", tasks: 2, oneZone: true, team: "maps" }));
  h.submit(jobSpec("after+list", { after: ["list"] }));
  h.submit(jobSpec("after-gang", { after: ["gang"] }));
  h.submit(jobSpec("flaky", { team: "maps" }));
  h.submit(jobSpec("large", { team: "maps", tasks: 170, priority: "low", memoryGb: 0.5 }));
  w.runFor(2);
  h.cancel("gang");
  w.crashMachine("m6b");
  const middle = stored(h.replica);
  w.runFor(8);
  for (const id of ["list", "gang"]) h.notifyJobChanged(id);
  w.runFor(3);
  h.cancel("large");
  w.runFor(4);
  return { transactions: h.transactions, middle: middle, end: stored(h.replica) };
}

/**
 * A client of a state service that accepts every request; it records the transactions and applies them to a replica.
 */
class RecordingStore extends KeyValueClient {
  readonly transactions: unknown[] = [];
  private revision = 10;
  constructor(private readonly records: StateReplica) {
    super("127.0.0.1:1", () => 0, 1);
  }
  override async transact(
    conditions: readonly Precondition[],
    changes: readonly Change[],
  ): Promise<TransactionResult> {
    this.transactions.push(transaction(conditions, changes));
    const mark = ++this.revision;
    const events = changes.map((c) => ({
      key: c.key,
      value: c.op === "put" ? c.value : null,
      removed: c.op === "delete",
      modRevision: mark,
    }));
    this.records.apply(events, mark);
    return { kind: "ok", revision: mark };
  }
  override async grantLease(): Promise<LeaseGrant> {
    return { kind: "ok", leaseId: 7 };
  }
  override async revokeLease(): Promise<void> {}
}
class CaughtUp extends StateWatcher {
  override async readLatest(): Promise<boolean> {
    return true;
  }
}
class KnownCloud extends CloudClient {
  override async fetchCatalog(): Promise<MachineType[] | null> {
    return decodeCatalog(catalog);
  }
}

/**
 * Records the transactions of a node that acquires leadership and raises its fencing token, stores the machine types,
 * and handles two submissions and a cancellation.
 */
async function nodes(): Promise<unknown[]> {
  const records = new StateReplica();
  records.reset([], 0);
  const store = new RecordingStore(records);
  const follower = new CaughtUp({
    keyValueClient: store,
    replica: records,
    now: () => 0,
    minimumIntervalS: 0,
    blockMs: 0,
    onChange: () => {},
    observer: null,
  });
  follower.isLoaded = true;
  const { scheduler } = new TestLeader();
  const leadership = new Leadership(store, follower, records, {
    member: "n0",
    leaseS: 4,
    leaseExtensionS: 60,
    now: () => 100,
    log: pino({ level: "silent" }),
    createScheduler: () => scheduler,
    performEffects: () => {},
    onLeadershipChange: () => {},
  });
  mock.timers.enable({ apis: ["Date"], now: NOW_MS });
  leadership.campaign();
  while (leadership.current === null) await nextTurn();
  mock.timers.reset();
  await leadership.advanceFencingToken(leadership.current);
  leadership.stop();
  await typesKept(store, follower, records);
  const intake = new SubmissionWriter({
    keyValueClient: store,
    writeBudget: new TokenBucket(100, 100),
    now: () => 0,
    maxChanges: 32,
    maxTransactionBytes: 60_000,
    maxValueBytes: 8192,
    maxWaitS: 5,
  });
  await intake.submit(decodeJob(submissions.whole)!, NOW_MS);
  await intake.submit(decodeJob({ ...(submissions.full as object), nameId: "run.2" })!, NOW_MS);
  await intake.cancel("run-1", NOW_MS + 1);
  return store.transactions;
}

async function typesKept(
  store: KeyValueClient,
  follower: StateWatcher,
  records: StateReplica,
): Promise<void> {
  const decoded = decodeSettings(settingsText());
  if (!("settings" in decoded)) throw new Error("the settings of the test are invalid");
  const cloud = new KnownCloud("127.0.0.1:1", 1);
  const { cluster } = decoded.settings;
  const types = new MachineTypeCatalog({
    cluster,
    cloud,
    keyValueClient: store,
    watcher: follower,
    replica: records,
    onChange: () => {},
  });
  void types.run();
  while (records.machineTypes === null) await nextTurn();
  types.stop();
}

const TEAM = "café/maps";
const amounts = { cpus: 8, gpus: 1.5, memoryGb: 64 };
const WINDOW: AdmissionWindow = {
  version: 5,
  epoch: 2,
  mode: "limited",
  capacity: { cpus: 100, gpus: 10, memoryGb: 1000 },
  grants: [
    { team: TEAM, class: "batch", lanes: { new: 50_000_000, follower: 7 } },
    { team: TEAM, class: null, lanes: { new: 10_000_000, follower: 3 } },
  ],
  periods: ["night"],
};

/** Encodes an admission window, the ledger that a batch of submissions charges, and a record of rejections. */
function admission(): unknown {
  const replica = new AdmissionReplica();
  const window = encodeWindow(WINDOW);
  const key = ADMISSION_KEY.window;
  replica.reset(
    [
      { key: "epoch", value: { n: 2 }, modRevision: 3 },
      { key: key, value: window, modRevision: 4 },
    ],
    5,
  );
  const batch = new ClaimBatch(replica);
  for (const name of ["batch", "web"]) batch.tryAdmit(jobSpec(name, { team: TEAM, class: name }));
  batch.tryAdmit(jobSpec("follower", { team: TEAM, after: ["x"], cpus: 0.000_001, memoryGb: 0 }));
  const refused = { team: TEAM, class: "web", lane: "new", jobs: 3, ids: ["a"] } as const;
  const classes = [{ ...refused, resources: amounts }];
  const rejections = { member: "n/0", window: 5, sequence: 9, classes: classes };
  return {
    window: message(encode(window)),
    charged: transaction(batch.preconditions, batch.changes),
    ledger: message(encode(batch.changes[0]!.op === "put" ? batch.changes[0]!.value : null)),
    rejections: message(encode(encodeRejections(rejections))),
    rejectionsKey: ADMISSION_KEY.rejections("n/0"),
  };
}

/** Decodes a stored window, ledger and record of rejections. */
export function readAdmission(window: unknown, ledger: unknown, rejections: unknown): unknown {
  const w = decodeWindow(window);
  const l = decodeLedger(ledger);
  const r = decodeRejections("n/0", rejections);
  return {
    window: w && [w.version, w.epoch, w.mode, w.periods],
    capacity: w && [w.capacity.cpus, w.capacity.gpus, w.capacity.memoryGb],
    grants: w?.grants.map((g) => [g.team, g.class, g.lanes.new, g.lanes.follower]),
    ledger: l && [l.window, [...l.used].map(([name, used]) => [name, used.new, used.follower])],
    rejections: r && [r.member, r.window, r.sequence],
    refused: r?.classes.map((c) => [c.team, c.class, c.lane, c.jobs, c.ids, c.resources.cpus]),
  };
}

/** Returns the job views for users, and the state that a new leader restores, from stored values. */
export function readStored(items: KeyValueItem[]): unknown {
  const records = new StateReplica();
  records.reset(items, 1000);
  const ids = [...records.activeJobs.keys(), ...records.finalRecords.keys()];
  const views = ids.map((id) => {
    const view = records.view(id)!;
    return [id, view.state, view.done, view.running];
  });
  const next = new TestLeader({ replica: records, epoch: 2, state: { value_kb: 2 } });
  const jobs = [...next.scheduler.cluster.jobs.values()].map((job) => ({
    id: job.spec.id,
    owner: job.ownerEpoch,
    version: job.version,
    cancelled: job.isCancelled,
    done: job.doneTasks.toString(),
    residuals: job.residualsText,
    partSize: job.shardSize,
    parts: [...job.shards.values()].map((p) => [
      p.index,
      p.firstTask,
      p.endTask,
      p.attempt,
      p.persistedVersion,
    ]),
    placements: [...job.placements.values()].map((p) => [
      [p.task, p.attempt],
      [p.machine.name, p.incarnation],
    ]),
  }));
  const machines = [...next.scheduler.cluster.machines.values()].map((m) => ({
    name: m.name,
    address: m.address,
    type: m.type.name,
    zone: m.zone,
    spot: m.spot,
  }));
  return { views: views, jobs: jobs, machines: machines };
}

/** Records all stored forms, by the names that they have in the kept examples. */
export async function storedForms(): Promise<Record<string, unknown>> {
  return { scenario: scenario(), nodes: await nodes(), admission: admission() };
}
