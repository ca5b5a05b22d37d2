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
import { describeMessage } from "./golden-exchanges.js";
import { catalogBody, submissionBodies } from "./golden-messages.js";
import { jobSpec } from "./job-builders.js";
import { settingsText } from "./node-settings.js";
import { SimulatedWorkers } from "./simulated-workers.js";
import { TestLeader } from "./test-leader.js";

const NOW_MS = 1_700_000_000_000;

const describeTransaction = (
  preconditions: readonly Precondition[],
  changes: readonly Change[],
): unknown => describeMessage(encode(encodeTransaction(preconditions, changes)));

/** A leader that records its transactions. */
class RecordingLeader extends TestLeader {
  readonly transactions: unknown[] = [];
  override commitWrite(write: LeaderTransaction): void {
    this.transactions.push(describeTransaction(write.preconditions, write.changes));
    super.commitWrite(write);
  }
}

/** Returns all values of a replica as the state service holds them. */
function describeStoredValues(replica: StateReplica): unknown[] {
  const items: KeyValueItem[] = [];
  const add = (key: string, value: unknown, revision: number) =>
    items.push({ key: key, value: value, modRevision: revision });
  for (const [id, record] of replica.activeJobs) {
    add(`p/${id}`, encodeJobRecord(record.value), record.modRevision);
    for (const [n, shard] of replica.shardsOf(id)) {
      add(`q/${id}/${n}`, encodeJobShardRecord(shard.value), shard.modRevision);
    }
  }
  for (const [id, final] of replica.finalRecords) add(`d/${id}`, encodeFinalRecord(final), 1);
  for (const [id, cancellation] of replica.cancellations)
    add(`x/${id}`, { at: 0, told: cancellation.confirmedAtOnce }, 1);
  for (const [n, shard] of replica.machineShards) add(`g/${n}`, shard.value, shard.modRevision);
  add("epoch", encodeEpoch(replica.epoch.value), replica.epoch.modRevision);
  return items.map((item) => ({
    key: item.key,
    mark: item.modRevision,
    ...(describeMessage(encode(item.value)) as object),
  }));
}

/** Runs jobs of each kind, small and sharded, with completions, failures, cancellations and dependent jobs. */
function runScenario(): Record<string, unknown> {
  const leader = new RecordingLeader({ state: { value_kb: 2 } });
  const machineNames = ["m1a", "m2b", "m3a", "m4b", "m5a", "m6b"];
  const taskSeconds: Record<string, number> = { web: 1000, large: 1 };
  const taskOutcome = (job: string) => (job === "flaky" ? "error" : (taskSeconds[job] ?? 5));
  const workers = new SimulatedWorkers(
    leader,
    new Map(machineNames.map((n) => [n, "small"])),
    taskOutcome,
  );
  workers.runFor(4);
  leader.submit(
    jobSpec("web", { kind: "service", tasks: 2, spread: true, priority: "production" }),
  );
  leader.submit(jobSpec("list", { tasks: 3, types: ["small"], deadlineS: 900 }));
  leader.submit(jobSpec("gang", { kind: "gang", tasks: 2, oneZone: true, team: "maps" }));
  leader.submit(jobSpec("after+list", { after: ["list"] }));
  leader.submit(jobSpec("after-gang", { after: ["gang"] }));
  leader.submit(jobSpec("flaky", { team: "maps" }));
  leader.submit(jobSpec("large", { team: "maps", tasks: 170, priority: "low", memoryGb: 0.5 }));
  workers.runFor(2);
  leader.cancel("gang");
  workers.crashMachine("m6b");
  const middle = describeStoredValues(leader.replica);
  workers.runFor(8);
  for (const id of ["list", "gang"]) leader.notifyJobChanged(id);
  workers.runFor(3);
  leader.cancel("large");
  workers.runFor(4);
  return {
    transactions: leader.transactions,
    middle: middle,
    end: describeStoredValues(leader.replica),
  };
}

/**
 * A client of a state service that accepts every request; it records the transactions and applies them to a replica.
 */
class RecordingKeyValueClient extends KeyValueClient {
  readonly transactions: unknown[] = [];
  private revision = 10;
  constructor(private readonly replica: StateReplica) {
    super("127.0.0.1:1", () => 0, 1);
  }
  override async transact(
    preconditions: readonly Precondition[],
    changes: readonly Change[],
  ): Promise<TransactionResult> {
    this.transactions.push(describeTransaction(preconditions, changes));
    const revision = ++this.revision;
    const events = changes.map((change) => ({
      key: change.key,
      value: change.op === "put" ? change.value : null,
      removed: change.op === "delete",
      modRevision: revision,
    }));
    this.replica.apply(events, revision);
    return { kind: "ok", revision };
  }
  override async grantLease(): Promise<LeaseGrant> {
    return { kind: "ok", leaseId: 7 };
  }
  override async revokeLease(): Promise<void> {}
}
class UpToDateWatcher extends StateWatcher {
  override async readLatest(): Promise<boolean> {
    return true;
  }
}
class FixedCatalogCloudClient extends CloudClient {
  override async fetchCatalog(): Promise<MachineType[] | null> {
    return decodeCatalog(catalogBody);
  }
}

/**
 * Records the transactions of a node that acquires leadership and raises its fencing token, stores the machine types,
 * and handles two submissions and a cancellation.
 */
async function recordNodeTransactions(): Promise<unknown[]> {
  const replica = new StateReplica();
  replica.reset([], 0);
  const keyValueClient = new RecordingKeyValueClient(replica);
  const watcher = new UpToDateWatcher({
    keyValueClient,
    replica,
    now: () => 0,
    minimumIntervalS: 0,
    blockMs: 0,
    onChange: () => {},
    onLoaded: () => {},
    observer: null,
  });
  watcher.isLoaded = true;
  const { scheduler } = new TestLeader();
  const leadership = new Leadership(keyValueClient, watcher, replica, {
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
  await storeMachineTypes(keyValueClient, watcher, replica);
  const submissionWriter = new SubmissionWriter({
    keyValueClient,
    writeBudget: new TokenBucket(100, 100),
    now: () => 0,
    maxChanges: 32,
    maxTransactionBytes: 60_000,
    maxValueBytes: 8192,
    maxWaitS: 5,
  });
  await submissionWriter.submit(decodeJob(submissionBodies.whole)!, NOW_MS);
  await submissionWriter.submit(
    decodeJob({ ...(submissionBodies.full as object), nameId: "run.2" })!,
    NOW_MS,
  );
  await submissionWriter.cancel("run-1", NOW_MS + 1);
  return keyValueClient.transactions;
}

async function storeMachineTypes(
  keyValueClient: KeyValueClient,
  watcher: StateWatcher,
  replica: StateReplica,
): Promise<void> {
  const decoded = decodeSettings(settingsText());
  if (!("settings" in decoded)) throw new Error("the settings of the test are invalid");
  const cloud = new FixedCatalogCloudClient("127.0.0.1:1", 1);
  const { cluster } = decoded.settings;
  const machineTypeCatalog = new MachineTypeCatalog({
    cluster,
    cloud,
    keyValueClient,
    watcher,
    replica,
    onChange: () => {},
  });
  void machineTypeCatalog.run();
  while (replica.machineTypes === null) await nextTurn();
  machineTypeCatalog.stop();
}

const TEAM = "café/maps";
const RESOURCES = { cpus: 8, gpus: 1.5, memoryGb: 64 };
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
function encodeAdmissionValues(): unknown {
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
  const rejectedClass = { team: TEAM, class: "web", lane: "new", jobs: 3, ids: ["a"] } as const;
  const classes = [{ ...rejectedClass, resources: RESOURCES }];
  const rejections = { member: "n/0", window: 5, sequence: 9, classes: classes };
  return {
    window: describeMessage(encode(window)),
    charged: describeTransaction(batch.preconditions, batch.changes),
    ledger: describeMessage(
      encode(batch.changes[0]!.op === "put" ? batch.changes[0]!.value : null),
    ),
    rejections: describeMessage(encode(encodeRejections(rejections))),
    rejectionsKey: ADMISSION_KEY.rejections("n/0"),
  };
}

/** Decodes a stored window, ledger and record of rejections. */
export function readAdmission(window: unknown, ledger: unknown, rejections: unknown): unknown {
  const decodedWindow = decodeWindow(window);
  const decodedLedger = decodeLedger(ledger);
  const decodedRejections = decodeRejections("n/0", rejections);
  return {
    window: decodedWindow && [
      decodedWindow.version,
      decodedWindow.epoch,
      decodedWindow.mode,
      decodedWindow.periods,
    ],
    capacity: decodedWindow && [
      decodedWindow.capacity.cpus,
      decodedWindow.capacity.gpus,
      decodedWindow.capacity.memoryGb,
    ],
    grants: decodedWindow?.grants.map((grant) => [
      grant.team,
      grant.class,
      grant.lanes.new,
      grant.lanes.follower,
    ]),
    ledger: decodedLedger && [
      decodedLedger.window,
      [...decodedLedger.used].map(([name, used]) => [name, used.new, used.follower]),
    ],
    rejections: decodedRejections && [
      decodedRejections.member,
      decodedRejections.window,
      decodedRejections.sequence,
    ],
    refused: decodedRejections?.classes.map((rejected) => [
      rejected.team,
      rejected.class,
      rejected.lane,
      rejected.jobs,
      rejected.ids,
      rejected.resources.cpus,
    ]),
  };
}

/** Returns the job views for users, and the state that a new leader restores, from stored values. */
export function readStored(items: KeyValueItem[]): unknown {
  const replica = new StateReplica();
  replica.reset(items, 1000);
  const ids = [...replica.activeJobs.keys(), ...replica.finalRecords.keys()];
  const views = ids.map((id) => {
    const view = replica.view(id)!;
    return [id, view.state, view.done, view.running];
  });
  const newLeader = new TestLeader({ replica, epoch: 2, state: { value_kb: 2 } });
  const jobs = [...newLeader.scheduler.cluster.jobs.values()].map((job) => ({
    id: job.spec.id,
    owner: job.ownerEpoch,
    version: job.version,
    cancelled: job.isCancelled,
    done: job.doneTasks.toString(),
    residuals: job.residualsText,
    partSize: job.shardSize,
    parts: [...job.shards.values()].map((shard) => [
      shard.index,
      shard.firstTask,
      shard.endTask,
      shard.attempt,
      shard.persistedVersion,
    ]),
    placements: [...job.placements.values()].map((placement) => [
      [placement.task, placement.attempt],
      [placement.machine.name, placement.incarnation],
    ]),
  }));
  const machines = [...newLeader.scheduler.cluster.machines.values()].map((machine) => ({
    name: machine.name,
    address: machine.address,
    type: machine.type.name,
    zone: machine.zone,
    spot: machine.spot,
  }));
  return { views: views, jobs: jobs, machines: machines };
}

/** Records all stored values and transactions, by the names that they have in the kept examples. */
export async function recordStoredForms(): Promise<Record<string, unknown>> {
  return {
    scenario: runScenario(),
    nodes: await recordNodeTransactions(),
    admission: encodeAdmissionValues(),
  };
}
