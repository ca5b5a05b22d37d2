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
export interface ReadForm {
  readonly bodies: Bodies;
  readonly read: (body: unknown) => unknown;
}

/** Applies a function to a value, and returns null for null. */
const orNull =
  <T>(form: (value: T) => unknown) =>
  (value: T | null): unknown =>
    value === null ? null : form(value);

/** Returns the body (`whole`) and named copies of it, each with some fields changed. */
const variants = (whole: Record<string, unknown>, changes: Record<string, object>): Bodies => ({
  whole: whole,
  ...Object.fromEntries(Object.entries(changes).map(([name, c]) => [name, { ...whole, ...c }])),
});

/** Names of task states in the kept examples, which keep two names that the source has since changed. */
const KEPT_STATE: Record<TaskState, string> = {
  "pulling image": "fetching",
  waiting: "waiting",
  running: "running",
  checkpointing: "saving",
  exited: "exited",
};

/** A decoded heartbeat under the keys of the kept examples. */
export const reportForm = (r: WorkerHeartbeat): unknown => ({
  machine: r.machine,
  address: r.address,
  type: r.type,
  zone: r.zone,
  spot: r.spot,
  session: r.incarnation,
  sequence: r.sequence,
  token: r.fencingToken,
  notice: r.interruptionNoticeS,
  tasks: r.tasks.map((t) => [
    t.job,
    t.task,
    t.attempt,
    KEPT_STATE[t.state],
    t.cause,
    t.checkpointed,
  ]),
});

const stride = (change: object): unknown => ({
  stride: "run-1/3",
  mounting: 2,
  stance: "running",
  ...change,
});
const causes = "done halted mates_gone alone error no_room in_use no_such unheard".split(" ");
/** The body of a heartbeat with a task in each state, with each exit cause, and with an unknown exit cause. */
export const checkin: Record<string, unknown> = {
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
    ...["pulling", "waiting", "running", "saving"].map((stance) => stride({ stance: stance })),
    ...causes.map((cause) => stride({ stance: "ended", cause: cause })),
    stride({ stance: "ended", saved: true }),
  ],
};
const reports = variants(checkin, {
  "no notice, no tasks": { recallS: null, strides: [] },
  "no name": { mount: "" },
  "session not whole": { stint: 1.5 },
  "unknown state": { strides: [stride({ stance: "asleep" })] },
  "task without number": { strides: [stride({ stride: "run-1" })] },
});

const commandForm = (c: WorkerCommand): unknown => ({
  call: c.op,
  job: c.job,
  task: c.task,
  attempt: c.attempt,
  grace: c.op === "stop" ? c.graceS : null,
});
const call = (name: string, change: object = {}): unknown => ({
  call: name,
  stride: "run-1/3",
  mounting: 2,
  ...change,
});
const commands = variants(
  { rein: 6, stint: 4, calls: [call("run"), call("halt", { easeS: 2.5 }), call("forget")] },
  { "no session": { stint: null }, "unknown call": { calls: [call("jump")] } },
);

const jobForm = (j: JobSpec): unknown => ({
  id: j.id,
  class: j.class,
  team: j.team,
  kind: j.kind,
  priority: j.priority,
  tasks: j.tasks,
  cpus: j.cpus,
  gpus: j.gpus,
  memory: j.memoryGb,
  types: j.types,
  zone: j.zone,
  oneZone: j.oneZone,
  spread: j.spread,
  spot: j.spot,
  image: j.image,
  imageGb: j.imageGb,
  estimate: j.estimateS,
  checkpoint: j.checkpointS,
  save: j.saveS,
  deadline: j.deadlineS,
  after: j.after ?? null,
});
const full = { cards: 1, breeds: ["small", "big"], paddock: "a", dueS: 90, follows: ["a", "a"] };
/** Bodies of submissions, valid and malformed. */
export const submissions = variants(jobBody(), {
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

const typeForm = (t: MachineType): unknown => ({
  name: t.name,
  cpus: t.cpus,
  gpus: t.gpus,
  memory: t.memoryGb,
  cache: t.cacheGb,
  fetch: t.fetchGbPerS,
  price: t.price,
  spotPrice: t.spotPrice,
  boot: t.bootS,
  zones: t.zones,
});
const breed = { sku: "s", cpus: 4, memoryGb: 32, hourly: 0.2, readyS: 15, paddocks: ["a", "b"] };
const bigBreed = { sku: "b", cards: 4, localGb: 40, fetchGbPerS: 0.5, spotPrice: 0.1 };
/** The body of a catalog of machine types. */
export const catalog = { breeds: [breed, { ...breed, ...bigBreed }] };

const listedForm = (m: ListedMachine): unknown => ({
  name: m.name,
  address: m.address,
  type: m.type,
  zone: m.zone,
  spot: m.spot,
  state: m.state,
  age: m.ageS,
});
const listed = { nameId: "m-1", address: "h:1", breed: "s", paddock: "a", loaners: true, ageS: 9 };
const machine = (stance: string, change = {}): unknown => ({ ...listed, stance, ...change });
const states = [machine("booting", { address: null }), machine("running"), machine("failed")];
/** The body of a machine list. */
export const machineList = { mounts: states, more: true };

const items = [{ k: "p/run-1", data: { v: 1 }, mark: 9 }];
const log = [
  { write: "epoch", data: { n: 3 }, mark: 11 },
  { remove: "p/run-1", mark: 12 },
];

const settingsForm = (s: NodeSettings): unknown => {
  const { cluster } = s;
  return {
    node: [s.member, s.zone, s.listenAddress, s.peerAddress, s.cloudAddress, s.stateServiceAddress],
    siblings: s.peers.map((x) => [x.member, x.zone, x.address]),
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
  const r = decodeSettings(String(text));
  return "settings" in r ? { settings: settingsForm(r.settings) } : { faults: r.faults };
};
/** Returns the settings with some fields of the shared part changed, merged section by section. */
const innerChange = (changes: Record<string, unknown>): string => {
  const { settings } = JSON.parse(settingsText()) as { settings: Record<string, unknown> };
  const changed = Object.entries(changes).map(([name, c]) =>
    typeof c !== "object" || c === null || Array.isArray(c)
      ? [name, c]
      : [name, { ...(settings[name] as object), ...c }],
  );
  return settingsText({ settings: { ...settings, ...Object.fromEntries(changed) } });
};
const sibling = { member: "n1", location: "b", addr: "10.0.0.2:70" };
const next = { rps: 90, write_rps: 30, value_kb: 4, txn_ops: 16 };
const zero = { report_s: 0, lease_s: 0, gang_wait_s: 0, gang_peer_s: 0, cancel_s: 0 };
const settings: Bodies = {
  whole: settingsText({ siblings: [sibling] }),
  "limits to come": innerChange({ state: { next: next } }),
  "no objectives, a bare team": innerChange({ objectives: undefined, teams: [{ name: "maps" }] }),
  "no JSON": "",
  empty: "{}",
  "bad addresses": settingsText({ serve_on: "x", mesh_addr: "a b:1", services: { cloud: "x:y" } }),
  "bad siblings": settingsText({ member: "", location: "", siblings: [{}] }),
  "bad workers": innerChange({ workers: zero, nodes: 0.5, zones: [], teams: [{}] }),
  "bad limits": innerChange({ state: { rps: 0, txn_ops: 1.5, next: { value_kb: 0 } } }),
  "bad rest": innerChange({ cloud: { rps: "5" }, resources: { sockets: -1 }, clock_off_ms: null }),
};

const operatorForm = (o: OperatorSettings): unknown => ({
  termLease: o.termLeaseRatio,
  grace: o.graceRatio,
  keep: o.extensionRatio,
  spare: o.spareCapacityRatio,
  mostMachines: o.maxMachines,
  idleLeases: o.maxIdleLeases,
  inProgress: o.maxConcurrentRequests,
  tracing: o.tracingEnabled,
  admission: o.admission.enabled,
  window: o.admission.windowRatio,
  queue: o.admission.queueRatio,
  timeZone: o.admission.calendar.timeZone,
  periods: o.admission.calendar.periods.map((p) => [
    [p.name, p.days, p.from, p.to],
    [p.team, p.class, p.weight],
  ]),
});
const readOperator = (text: unknown): unknown => {
  const r = decodeOperatorSettings(String(text));
  const operator = orNull(operatorForm)(r.operator);
  return { operator: operator, faults: r.faults, unknown: r.unknown };
};
const calendar = "[admission.calendar.night]";
const span = "from = 22:00\nto = 06:00\nteam = maps\nweight = 4";
const wholeFile = [
  "[term]\nlease_ratio = 0.6\ngrace_ratio = 2\nkeep_ratio = 7",
  "[renting]\nspare_ratio = 2\nmax_machines = 50\nidle_leases = 30",
  "[api]\nmax_in_progress = 90\n[tracing]\nenabled = true",
  "[admission]\nenabled = true\nwindow_ratio = 2\nqueue_ratio = 3\ntime_zone = Europe/Lisbon",
  `${calendar}\ndays = mon, Tue,sun\nclass = web\n${span}`,
  `[admission.calendar.day]\n${span}`,
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
  "calendar, left out": calendar,
  "calendar, bad values": `${calendar}\ndays=mon,x\nfrom=25:00\nto=24:01\nteam=\nclass=\nweight=0`,
};

const readHeartbeats = (hex: unknown): unknown => {
  try {
    const beats = new PeerHeartbeatReader().feed(Buffer.from(String(hex), "hex"));
    return beats.map((b) => [b.reachesStateService, b.holdsLeadership, b.epoch, b.zoneIndex]);
  } catch (e) {
    return (e as Error).message;
  }
};
const beat = "5001000a03000000000000010201";

/** Examples of all kinds, by the names that the kinds have in the kept examples. */
export const READ: Readonly<Record<string, ReadForm>> = {
  reports: { bodies: reports, read: (b) => orNull(reportForm)(decodeWorkerHeartbeat(b)) },
  commands: {
    bodies: commands,
    read: (b) =>
      orNull((c: NonNullable<ReturnType<typeof decodeCommands>>) => ({
        token: c.fencingToken,
        session: c.incarnation,
        commands: c.commands.map(commandForm),
      }))(decodeCommands(b)),
  },
  submissions: { bodies: submissions, read: (b) => orNull(jobForm)(decodeJob(b)) },
  "machine types": {
    bodies: { whole: catalog, "no zones": { breeds: [{ ...breed, paddocks: null }] } },
    read: (b) => decodeCatalog(b)?.map(typeForm) ?? null,
  },
  "machine list": {
    bodies: variants(machineList, { last: { more: null }, "bad state": { mounts: [machine("")] } }),
    read: (b) => {
      const list = decodeMachineList(b);
      return list === null ? null : { machines: list.machines.map(listedForm), more: list.more };
    },
  },
  "machines hired": {
    bodies: { whole: { mounts: ["m-1"] }, none: {} },
    read: decodeProvisionedMachines,
  },
  ranges: {
    bodies: variants(
      { items: items, more: true, ledger: 10 },
      { last: { more: null }, bad: { items: [{}] } },
    ),
    read: (b) => {
      const r = decodeRange(b);
      if (r === null) return null;
      return {
        items: r.items.map((i) => [i.key, i.value, i.modRevision]),
        more: r.more,
        at: r.revision,
      };
    },
  },
  "changes followed": {
    bodies: variants({ log: log, ledger: 12 }, { bad: { log: [{ mark: 1 }] } }),
    read: (b) => {
      const f = decodeWatchResponse(b);
      if (f === null) return null;
      return {
        at: f.revision,
        changes: f.events.map((e) => [e.key, e.value, e.removed, e.modRevision]),
      };
    },
  },
  "transactions answered": {
    bodies: variants({ ledger: 12 }, { failed: { failed: ["epoch"] }, bad: { ledger: "12" } }),
    read: (b) => {
      const t = decodeTransactionResult(b);
      return t === null ? null : { at: t.revision, failed: t.failedKeys };
    },
  },
  leases: { bodies: { whole: { tether: 7 }, bad: {} }, read: decodeLease },
  settings: { bodies: settings, read: readSettings },
  "operator's file": { bodies: operatorFiles, read: readOperator },
  "peer messages": {
    bodies: {
      "two, one cut": beat + beat.slice(0, 16),
      "other kind, longer one": `5002000101${beat.replace("000a", "000b")}ff`,
      foreign: "00000000",
    },
    read: readHeartbeats,
  },
};
