/**
 * Example messages and settings of other programs, and functions that decode them, for `golden-forms.test.ts`. The
 * bodies use the field names of the protocols, which stay when the source is renamed. Decoded values are copied to
 * objects whose keys are those of the kept examples, so that these keys do not follow a renaming either.
 */
import { decodeOperatorSettings, type OperatorSettings } from "../../src/config/operator.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { ListedMachine, MachineType } from "../../src/core/model/machines.js";
import type { TaskState, WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { PeerHeartbeatReader } from "../../src/peers/codec.js";
import {
  decodeCatalog,
  decodeMachineList,
  decodeProvisionedMachines,
} from "../../src/wire/cloud.js";
import { decodeCommands } from "../../src/wire/commands.js";
import { decodeJob } from "../../src/wire/jobs.js";
import {
  decodeLease,
  decodeRange,
  decodeTransactionResult,
  decodeWatchResponse,
} from "../../src/wire/key-value.js";
import { decodeSettings, type NodeSettings } from "../../src/wire/settings.js";
import { decodeWorkerHeartbeat } from "../../src/wire/worker-heartbeat.js";
import { jobBody } from "./job-builders.js";
import { settingsText } from "./node-settings.js";

type Bodies = Readonly<Record<string, unknown>>;

/** Bodies of one kind, by descriptive names. `read` decodes a body, and returns null for a malformed one. */
export interface DecodeCase {
  readonly bodies: Bodies;
  readonly read: (body: unknown) => unknown;
}

/** Applies a function to a value, and returns null for null. */
const orNull =
  <T>(describe: (value: T) => unknown) =>
  (value: T | null): unknown =>
    value === null ? null : describe(value);

/** Returns the body (`whole`) and named copies of it, each with some fields changed. */
const variants = (whole: Record<string, unknown>, changes: Record<string, object>): Bodies => ({
  whole: whole,
  ...Object.fromEntries(
    Object.entries(changes).map(([name, change]) => [name, { ...whole, ...change }]),
  ),
});

/** Names of task states in the kept examples, which keep two names that the source has since changed. */
const TRACE_STATE_NAMES: Record<TaskState, string> = {
  "pulling image": "fetching",
  waiting: "waiting",
  running: "running",
  checkpointing: "saving",
  exited: "exited",
};

/** A decoded heartbeat under the keys of the kept examples. */
export const describeHeartbeat = (heartbeat: WorkerHeartbeat): unknown => ({
  machine: heartbeat.machine,
  address: heartbeat.address,
  type: heartbeat.type,
  zone: heartbeat.zone,
  spot: heartbeat.spot,
  session: heartbeat.incarnation,
  sequence: heartbeat.sequence,
  token: heartbeat.fencingToken,
  notice: heartbeat.interruptionNoticeS,
  tasks: heartbeat.tasks.map((status) => [
    status.job,
    status.task,
    status.attempt,
    TRACE_STATE_NAMES[status.state],
    status.cause,
    status.checkpointed,
  ]),
});

const taskBody = (overrides: object): unknown => ({
  stride: "run-1/3",
  mounting: 2,
  stance: "running",
  ...overrides,
});
const exitCauses = "done halted mates_gone alone error no_room in_use no_such unheard".split(" ");
/** The body of a heartbeat with a task in each state, with each exit cause, and with an unknown exit cause. */
export const heartbeatBody: Record<string, unknown> = {
  mount: "m-1",
  address: "10.0.0.1:9000",
  breed: "small",
  paddock: "a",
  loaners: true,
  stint: 4,
  tally: 17,
  rein: 6,
  recallS: 30.5,
  strides: [
    ...["pulling", "waiting", "running", "saving"].map((stance) => taskBody({ stance: stance })),
    ...exitCauses.map((cause) => taskBody({ stance: "ended", cause: cause })),
    taskBody({ stance: "ended", saved: true }),
  ],
};
const heartbeatBodies = variants(heartbeatBody, {
  "no notice, no tasks": { recallS: null, strides: [] },
  "no name": { mount: "" },
  "session not whole": { stint: 1.5 },
  "unknown state": { strides: [taskBody({ stance: "asleep" })] },
  "task without number": { strides: [taskBody({ stride: "run-1" })] },
});

const describeCommand = (command: WorkerCommand): unknown => ({
  call: command.op,
  job: command.job,
  task: command.task,
  attempt: command.attempt,
  grace: command.op === "stop" ? command.graceS : null,
});
const commandBody = (name: string, overrides: object = {}): unknown => ({
  call: name,
  stride: "run-1/3",
  mounting: 2,
  ...overrides,
});
const commandBodies = variants(
  {
    rein: 6,
    stint: 4,
    calls: [commandBody("run"), commandBody("halt", { easeS: 2.5 }), commandBody("forget")],
  },
  { "no session": { stint: null }, "unknown call": { calls: [commandBody("jump")] } },
);

const describeJob = (job: JobSpec): unknown => ({
  id: job.id,
  class: job.class,
  team: job.team,
  kind: job.kind,
  priority: job.priority,
  tasks: job.tasks,
  cpus: job.cpus,
  gpus: job.gpus,
  memory: job.memoryGb,
  types: job.types,
  zone: job.zone,
  oneZone: job.oneZone,
  spread: job.spread,
  spot: job.spot,
  image: job.image,
  imageGb: job.imageGb,
  estimate: job.estimateS,
  checkpoint: job.checkpointS,
  save: job.saveS,
  deadline: job.deadlineS,
  after: job.after ?? null,
});
const full = { cards: 1, breeds: ["small", "big"], paddock: "a", dueS: 90, follows: ["a", "a"] };
/** Bodies of submissions, valid and malformed. */
export const submissionBodies = variants(jobBody(), {
  full: { ...full, gait: "ensemble", rank: "production", together: true, restS: 5, unsaddleS: 2 },
  "replicas, high": { gait: "service", rank: "high", apart: true, loaners: false },
  "left out": { rank: "idle", breeds: undefined, paddock: undefined, dueS: undefined },
  "bad id": { nameId: "a/b" },
  "no tasks": { strides: 0 },
  "our own kind": { gait: "gang" },
  "unknown priority": { rank: "low" },
  "no resources": { cpus: 0, memoryGb: 0 },
  "together and apart": { together: true, apart: true },
});

const describeMachineType = (type: MachineType): unknown => ({
  name: type.name,
  cpus: type.cpus,
  gpus: type.gpus,
  memory: type.memoryGb,
  cache: type.cacheGb,
  fetch: type.fetchGbPerS,
  price: type.price,
  spotPrice: type.spotPrice,
  boot: type.bootS,
  zones: type.zones,
});
const typeBody = { sku: "s", cpus: 4, memoryGb: 32, hourly: 0.2, readyS: 15, paddocks: ["a", "b"] };
const bigTypeFields = { sku: "b", cards: 4, localGb: 40, fetchGbPerS: 0.5, spotPrice: 0.1 };
/** The body of a catalog of machine types. */
export const catalogBody = { breeds: [typeBody, { ...typeBody, ...bigTypeFields }] };

const describeListedMachine = (machine: ListedMachine): unknown => ({
  name: machine.name,
  address: machine.address,
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  state: machine.state,
  age: machine.ageS,
});
const listed = { nameId: "m-1", address: "h:1", breed: "s", paddock: "a", loaners: true, ageS: 9 };
const machineBody = (stance: string, change = {}): unknown => ({ ...listed, stance, ...change });
const machineBodies = [
  machineBody("booting", { address: null }),
  machineBody("running"),
  machineBody("failed"),
];
/** The body of a machine list. */
export const machineListBody = { mounts: machineBodies, more: true };

const rangeItems = [{ k: "p/run-1", data: { v: 1 }, mark: 9 }];
const changeLogBody = [
  { write: "epoch", data: { n: 3 }, mark: 11 },
  { remove: "p/run-1", mark: 12 },
];

const describeSettings = (settings: NodeSettings): unknown => {
  const { cluster } = settings;
  return {
    node: [
      settings.member,
      settings.zone,
      settings.listenAddress,
      settings.peerAddress,
      settings.cloudAddress,
      settings.stateServiceAddress,
    ],
    siblings: settings.peers.map((peer) => [peer.member, peer.zone, peer.address]),
    nodes: cluster.nodes,
    zones: cluster.zones,
    teams: cluster.teams.map((t) => [t.name, t.cpus, t.cpusMax, t.gpus, t.gpusMax]),
    objectives: cluster.objectives.map((o) => [o.kind, o.class, o.withinS, o.share]),
    report: cluster.heartbeatIntervalS,
    lease: cluster.leaseS,
    gangWait: cluster.gangWaitS,
    gangPeer: cluster.gangPeerS,
    cancel: cluster.cancelS,
    stateRequests: cluster.stateRps,
    stateWrites: cluster.stateWriteRps,
    valueKb: cluster.valueKb,
    changes: cluster.txnOps,
    cloudRequests: cluster.cloudRps,
    listLag: cluster.listLagS,
    cpuShare: cluster.cpuShare,
    memoryMb: cluster.memoryMb,
    sockets: cluster.sockets,
    clocks: cluster.clockOffMs,
  };
};
const readSettings = (text: unknown): unknown => {
  const decoded = decodeSettings(String(text));
  return "settings" in decoded
    ? { settings: describeSettings(decoded.settings) }
    : { faults: decoded.faults };
};
/** Returns the settings with some fields of the shared part changed, merged section by section. */
const withChanges = (changes: Record<string, unknown>): string => {
  const { settings } = JSON.parse(settingsText()) as { settings: Record<string, unknown> };
  const changed = Object.entries(changes).map(([name, c]) =>
    typeof c !== "object" || c === null || Array.isArray(c)
      ? [name, c]
      : [name, { ...(settings[name] as object), ...c }],
  );
  return settingsText({ settings: { ...settings, ...Object.fromEntries(changed) } });
};
const sibling = { member: "n1", location: "b", addr: "10.0.0.2:70" };
const nextLimits = { rps: 90, write_rps: 30, value_kb: 4, txn_ops: 16 };
const zeroIntervals = { report_s: 0, lease_s: 0, gang_wait_s: 0, gang_peer_s: 0, cancel_s: 0 };
const settingsTexts: Bodies = {
  whole: settingsText({ siblings: [sibling] }),
  "limits to come": withChanges({ state: { next: nextLimits } }),
  "no objectives, a bare team": withChanges({ objectives: undefined, teams: [{ name: "maps" }] }),
  "no JSON": "",
  empty: "{}",
  "bad addresses": settingsText({ serve_on: "x", mesh_addr: "a b:1", services: { cloud: "x:y" } }),
  "bad siblings": settingsText({ member: "", location: "", siblings: [{}] }),
  "bad workers": withChanges({ workers: zeroIntervals, nodes: 0.5, zones: [], teams: [{}] }),
  "bad limits": withChanges({ state: { rps: 0, txn_ops: 1.5, next: { value_kb: 0 } } }),
  "bad rest": withChanges({ cloud: { rps: "5" }, resources: { sockets: -1 }, clock_off_ms: null }),
};

const describeOperatorSettings = (settings: OperatorSettings): unknown => ({
  termLease: settings.termLeaseRatio,
  grace: settings.graceRatio,
  keep: settings.extensionRatio,
  spare: settings.spareCapacityRatio,
  mostMachines: settings.maxMachines,
  idleLeases: settings.maxIdleLeases,
  inProgress: settings.maxConcurrentRequests,
  tracing: settings.tracingEnabled,
  admission: settings.admission.enabled,
  window: settings.admission.windowRatio,
  queue: settings.admission.queueRatio,
  timeZone: settings.admission.calendar.timeZone,
  periods: settings.admission.calendar.periods.map((period) => [
    [period.name, period.days, period.from, period.to],
    [period.team, period.class, period.weight],
  ]),
});
const readOperator = (text: unknown): unknown => {
  const decoded = decodeOperatorSettings(String(text));
  const operator = orNull(describeOperatorSettings)(decoded.operator);
  return { operator: operator, faults: decoded.faults, unknown: decoded.unknown };
};
const calendarSection = "[admission.calendar.night]";
const periodFields = "from = 22:00\nto = 06:00\nteam = maps\nweight = 4";
const wholeFile = [
  "[term]\nlease_ratio = 0.6\ngrace_ratio = 2\nkeep_ratio = 7",
  "[renting]\nspare_ratio = 2\nmax_machines = 50\nidle_leases = 30",
  "[api]\nmax_in_progress = 90\n[tracing]\nenabled = true",
  "[admission]\nenabled = true\nwindow_ratio = 2\nqueue_ratio = 3\ntime_zone = Europe/Lisbon",
  `${calendarSection}\ndays = mon, Tue,sun\nclass = web\n${periodFields}`,
  `[admission.calendar.day]\n${periodFields}`,
].join("\n");
const operatorFiles: Bodies = {
  empty: "",
  whole: wholeFile,
  "keep below grace": "[term]\ngrace_ratio = 4\nkeep_ratio = 0",
  "unknown keys": "a = 1\n[b]\nc = 1\n[term]\nd = 1\n[admission]\ne = 1",
  "no sections": "term = 1\nrenting = 1\napi = 1\ntracing = 1\nadmission = 1",
  "too small": "[term]\nlease_ratio=0.1\ngrace_ratio=-1\nkeep_ratio=-1\n[api]\nmax_in_progress=3",
  "too large": "[renting]\nspare_ratio=11\nmax_machines=100001\nidle_leases=1001",
  "not numbers": "[term]\nlease_ratio=x\n[renting]\nmax_machines=1.5\n[tracing]\nenabled=perhaps",
  "admission, bad values":
    "[admission]\nenabled=1\nwindow_ratio=0.1\nqueue_ratio=\ntime_zone=Atlantis/Centre\ncalendar=3",
  "calendar, left out": calendarSection,
  "calendar, bad values": `${calendarSection}\ndays=mon,x\nfrom=25:00\nto=24:01\nteam=\nclass=\nweight=0`,
};

const readPeerHeartbeats = (hex: unknown): unknown => {
  try {
    const heartbeats = new PeerHeartbeatReader().feed(Buffer.from(String(hex), "hex"));
    return heartbeats.map((b) => [b.reachesStateService, b.holdsLeadership, b.epoch, b.zoneIndex]);
  } catch (e) {
    return (e as Error).message;
  }
};
const beat = "5001000a03000000000000010201";

/** Examples of all kinds, by the names that the kinds have in the kept examples. */
export const DECODE_CASES: Readonly<Record<string, DecodeCase>> = {
  reports: {
    bodies: heartbeatBodies,
    read: (body) => orNull(describeHeartbeat)(decodeWorkerHeartbeat(body)),
  },
  commands: {
    bodies: commandBodies,
    read: (body) =>
      orNull((c: NonNullable<ReturnType<typeof decodeCommands>>) => ({
        token: c.fencingToken,
        session: c.incarnation,
        commands: c.commands.map(describeCommand),
      }))(decodeCommands(body)),
  },
  submissions: { bodies: submissionBodies, read: (body) => orNull(describeJob)(decodeJob(body)) },
  "machine types": {
    bodies: {
      whole: catalogBody,
      "no zones": { breeds: [{ ...typeBody, paddocks: null }] },
    },
    read: (body) => decodeCatalog(body)?.map(describeMachineType) ?? null,
  },
  "machine list": {
    bodies: variants(machineListBody, {
      last: { more: null },
      "bad state": { mounts: [machineBody("")] },
    }),
    read: (body) => {
      const list = decodeMachineList(body);
      return list === null
        ? null
        : { machines: list.machines.map(describeListedMachine), more: list.more };
    },
  },
  "machines hired": {
    bodies: { whole: { mounts: ["m-1"] }, none: {} },
    read: decodeProvisionedMachines,
  },
  ranges: {
    bodies: variants(
      { items: rangeItems, more: true, ledger: 10 },
      { last: { more: null }, bad: { items: [{}] } },
    ),
    read: (body) => {
      const range = decodeRange(body);
      if (range === null) return null;
      return {
        items: range.items.map((item) => [item.key, item.value, item.modRevision]),
        more: range.more,
        at: range.revision,
      };
    },
  },
  "changes followed": {
    bodies: variants({ log: changeLogBody, ledger: 12 }, { bad: { log: [{ mark: 1 }] } }),
    read: (body) => {
      const response = decodeWatchResponse(body);
      if (response === null) return null;
      return {
        at: response.revision,
        changes: response.events.map((event) => [
          event.key,
          event.value,
          event.removed,
          event.modRevision,
        ]),
      };
    },
  },
  "transactions answered": {
    bodies: variants({ ledger: 12 }, { failed: { failed: ["epoch"] }, bad: { ledger: "12" } }),
    read: (body) => {
      const result = decodeTransactionResult(body);
      return result === null ? null : { at: result.revision, failed: result.failedKeys };
    },
  },
  leases: { bodies: { whole: { tether: 7 }, bad: {} }, read: decodeLease },
  settings: { bodies: settingsTexts, read: readSettings },
  "operator's file": { bodies: operatorFiles, read: readOperator },
  "peer messages": {
    bodies: {
      "two, one cut": beat + beat.slice(0, 16),
      "other kind, longer one": `5002000101${beat.replace("000a", "000b")}ff`,
      foreign: "00000000",
    },
    read: readPeerHeartbeats,
  },
};
