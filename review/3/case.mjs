/**
 * A machine dies on which an array runs. The two machines with GPUs, which the array may use too, are idle.
 * Broken: the array is left waiting for 90 s although a machine that fits has room.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "../lib/cloud.mjs";
import { CATALOG, Cluster, Recorder, runCase, smallSettings, TROUBLE } from "../lib/cluster.mjs";
import { StateService } from "../lib/state-service.mjs";
import { sleep } from "../lib/wire.mjs";
import { Worker } from "../lib/worker.mjs";

const LEFT_WAITING_S = 90;
const LAGAR = {
  sku: "lagar", cpus: 24, cards: 4, memoryGb: 192, localGb: 120, fetchGbPerS: 0.5, hourly: 9.97, spotPrice: 3.53,
  readyS: 60, paddocks: ["lisboa-a", "porto-b"],
};

const common = {
  breeds: null, paddock: null, apart: false, restS: 0.0, unsaddleS: 0.0, dueS: null, pullGb: 0.2,
};
const gpuJob = {
  ...common, nameId: "run-000001", herd: "fraud-score", outfit: "risco", gait: "ensemble", rank: "high", strides: 1,
  cpus: 21.0, cards: 4.0, memoryGb: 150.0, tack: "img-gpu", together: true, loaners: false, rideS: 3.0,
};
const array = {
  ...common, nameId: "run-000002", herd: "statement-export", outfit: "lojistas", gait: "array", rank: "idle", strides: 2,
  cpus: 4.0, cards: 0.0, memoryGb: 4.3, tack: "img-export", together: false, loaners: true, rideS: 20.0,
};

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
  // The cloud has no more machines to rent; it answers 503 "no capacity".
  const cloud = new Cloud(settings.cloud, {
    catalog: [...CATALOG, LAGAR], capacity: {}, record,
    createWorker: (name, breed, zone, spot) =>
      new Worker({
        name, breed, zone, spot, jobs, controllers: cluster.members, workers: settings.workers,
        taskS: ({ rideS }) => rideS, onTask,
      }),
  });
  await cloud.start();
  await cluster.prepare();
  onEnd(() => cluster.close());
  onEnd(() => cloud.stop());
  const plain = await cloud.rent("sobreiro", "lisboa-a", false, 0);
  const withGpus = [await cloud.rent("lagar", "lisboa-a", false, 0), await cloud.rent("lagar", "porto-b", false, 0)];
  for (const i of [0, 1, 2]) cluster.startNode(i);
  if (!(await cluster.untilHealthy([0, 1, 2], 15))) throw new Error("the controllers did not become healthy");
  await cluster.probeAll();
  await sleep(500);

  await submit(cluster, jobs, gpuJob);
  if (!(await until(15, () => done.has("run-000001/0")))) throw new Error("the GPU job did not run");
  await submit(cluster, jobs, array);
  if (!(await until(15, () => plain.worker.running().filter(({ stance }) => stance === "running").length === 2))) {
    throw new Error("the array did not start");
  }
  await sleep(1000);

  if (TROUBLE) {
    plain.diedAt = performance.now();
    plain.worker.die();
    record("machine died", { machine: plain.name });
  }
  const startedAt = performance.now();
  let lastQueryAt = -Infinity;
  let waitingSince = null;
  let longestS = 0;
  while (done.size < 3 && longestS < LEFT_WAITING_S && performance.now() - startedAt < 100_000) {
    const isOnMachine = [plain, ...withGpus].some(({ worker }) =>
      worker.running().some(({ stride }) => stride.startsWith("run-000002/")),
    );
    const hasRoom = withGpus.some(({ worker }) => worker.freeCpus() >= array.cpus);
    if (isOnMachine || !hasRoom) waitingSince = null;
    else waitingSince ??= performance.now();
    if (waitingSince !== null) longestS = Math.max(longestS, (performance.now() - waitingSince) / 1000);
    if (performance.now() - lastQueryAt > 5000) {
      lastQueryAt = performance.now();
      record("machines", { free: withGpus.map(({ worker }) => worker.freeCpus()), longestS, done: done.size });
      void cluster.query("run-000002");
    }
    await sleep(200);
  }
  record("result", { longestS, done: [...done] });
  return {
    broken: longestS >= LEFT_WAITING_S,
    why: `the array was left waiting for ${longestS.toFixed(0)} s while a machine had room; done: ${[...done].join(" ")}`,
  };
});

async function submit(cluster, jobs, job) {
  jobs.set(job.nameId, job);
  const answer = await cluster.submit(job);
  if (answer?.status !== 201 && answer?.status !== 200) throw new Error(`${job.nameId} was not accepted`);
}

async function until(withinS, test) {
  const deadline = performance.now() + 1000 * withinS;
  while (performance.now() < deadline) {
    if (test()) return true;
    await sleep(200);
  }
  return false;
}
