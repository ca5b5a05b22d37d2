/**
 * A machine with 600 small tasks of two jobs dies, and another machine that is up has room for all of them.
 * Broken: some of the tasks are not started for 90 s although that machine has room.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "../lib/cloud.mjs";
import { CATALOG, Cluster, Recorder, runCase, smallSettings, TROUBLE } from "../lib/cluster.mjs";
import { StateService } from "../lib/state-service.mjs";
import { sleep } from "../lib/wire.mjs";
import { Worker } from "../lib/worker.mjs";

const TASKS = 300;
const TASK_S = 60;
const LEFT_WAITING_S = 90;

const job = (nameId) => ({
  nameId, herd: "settle-night", outfit: "tesouraria", gait: "array", rank: "normal", strides: TASKS, cpus: 0.1,
  cards: 0.0, memoryGb: 0.5, tack: "img-1", pullGb: 0.2, breeds: null, paddock: null, together: false, apart: false,
  loaners: false, rideS: TASK_S, restS: 0.0, unsaddleS: 0.0, dueS: null,
});

await runCase(async (onEnd) => {
  const { line: record } = new Recorder(dirname(fileURLToPath(import.meta.url)));
  const settings = smallSettings();
  const state = new StateService(settings.state, 2);
  await state.start();
  onEnd(() => state.stop());
  const jobs = new Map();
  const done = new Set();
  const onTask = (event, fields) => {
    record(event, fields);
    if (event === "ended" && fields.cause === "done") done.add(fields.stride);
  };
  const cluster = new Cluster({
    settings, zones: ["lisboa-a", "porto-b", "lisboa-a"], record,
    services: () => ({ cloud: cloud.address, state: state.address }),
  });
  const cloud = new Cloud(settings.cloud, {
    catalog: CATALOG, capacity: {}, record,
    createWorker: (name, breed, zone, spot) =>
      new Worker({
        name, breed, zone, spot, jobs, controllers: cluster.members, workers: settings.workers,
        taskS: () => TASK_S, onTask,
      }),
  });
  await cloud.start();
  await cluster.prepare();
  onEnd(() => cluster.close());
  onEnd(() => cloud.stop());
  const machines = [await cloud.rent("montado", "lisboa-a", false, 0), await cloud.rent("montado", "porto-b", false, 0)];
  for (const i of [0, 1, 2]) cluster.startNode(i);
  if (!(await cluster.untilHealthy([0, 1, 2], 15))) throw new Error("the controllers did not become healthy");
  await cluster.probeAll();
  await sleep(500);

  // The second job comes when the first one runs, so that both are started in parts.
  const ids = ["run-000001", "run-000002"];
  for (const id of ids) {
    jobs.set(id, job(id));
    const answer = await cluster.submit(jobs.get(id));
    if (answer?.status !== 201 && answer?.status !== 200) throw new Error("a job was not accepted");
    if (!(await until(15, () => onMachines(machines, id).size === TASKS))) throw new Error(`${id} did not start`);
    await sleep(500);
  }
  const fullest = machines.reduce((a, b) => (a.worker.running().length >= b.worker.running().length ? a : b));
  record("before the disruption", { machine: fullest.name, tasks: fullest.worker.running().length });
  if (fullest.worker.running().length !== 2 * TASKS) throw new Error("the tasks are not on one machine");
  const other = machines.find((machine) => machine !== fullest);

  if (TROUBLE) {
    fullest.diedAt = performance.now();
    fullest.worker.die();
    if (!(await until(30, () => other.worker.running().length > 0))) throw new Error("nothing was started again");
  }
  // For how long each of the tasks has waited while the machine that is up had room for it.
  const waitingSince = new Map();
  let longestS = 0;
  let waiting = 0;
  let lastQueryAt = -Infinity;
  while (longestS < LEFT_WAITING_S && done.size < 2 * TASKS) {
    const placed = new Set(ids.flatMap((id) => [...onMachines(machines, id)]));
    const hasRoom = [...machines].some(({ worker }) => !worker.isDead && worker.freeCpus() >= 0.1);
    waiting = 0;
    for (const id of ids) {
      for (let i = 0; i < TASKS; i++) {
        const stride = `${id}/${i}`;
        if (!hasRoom || placed.has(stride) || done.has(stride)) waitingSince.delete(stride);
        else {
          waiting++;
          if (!waitingSince.has(stride)) waitingSince.set(stride, performance.now());
          longestS = Math.max(longestS, (performance.now() - waitingSince.get(stride)) / 1000);
        }
      }
    }
    if (performance.now() - lastQueryAt > 5000) {
      lastQueryAt = performance.now();
      record("tasks", { waiting, done: done.size, freeCpus: other.worker.freeCpus(), longestS });
      for (const id of ids) void cluster.query(id);
    }
    await sleep(250);
  }
  record("result", { waiting, longestS, done: done.size });
  return {
    broken: longestS >= LEFT_WAITING_S,
    why: `${waiting} tasks have waited, the longest for ${longestS.toFixed(0)} s, while a machine had room; ${done.size} of ${2 * TASKS} are done`,
  };
});

function onMachines(machines, id) {
  const strides = new Set();
  for (const { worker } of machines) {
    for (const { stride } of worker.running()) if (stride.startsWith(`${id}/`)) strides.add(stride);
  }
  return strides;
}

async function until(withinS, test) {
  const deadline = performance.now() + 1000 * withinS;
  while (performance.now() < deadline) {
    if (test()) return true;
    await sleep(200);
  }
  return false;
}
