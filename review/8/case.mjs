/** A service runs on many machines, one replica on each. Three of these machines stop, one after the other. */
import { arrayJob, runCase, WITH_TROUBLE } from "../lib-2/cluster.mjs";
import { now, sleep } from "../lib-2/wire.mjs";

const JOB = "run-000412";
const REPLICAS = 38;
const MACHINES = 60;
const DEATHS = 3;
const DEATH_INTERVAL_S = 5;
/** "No job is left waiting for 90 s while a machine that fits has room and its team is under its limit." */
const LEFT_WAITING_S = 90;
/** An image name as registries have them, with its digest; some 240 bytes. */
const TACK = [
  "registry.lisboa-a.vsado-giftcards.example:5000/plataforma/cartoes-presente/servicos-de-producao",
  "/resgate-e-saldo-em-tempo-real/redeem-api",
  ":4.18.2-2026-12-04-build.0731-linux",
  `@sha256:${"0123456789abcdef".repeat(4)}`,
].join("");
const LIMITS = { rps: 100.0, write_rps: 30.0, value_kb: 16.0, txn_ops: 24 };

const options = {
  workers: MACHINES,
  plan: () => ({ runS: Number.POSITIVE_INFINITY, cause: "done" }),
  settings: { state: { ...LIMITS, next: { rps: 100.0, write_rps: 21.0, value_kb: 2.0, txn_ops: 8 } } },
};

await runCase(import.meta.dirname, options, async (cluster, record) => {
  const running = () => cluster.workers.reduce((sum, worker) => sum + worker.runningCount, 0);
  const idle = () => cluster.workers.filter((worker) => !worker.isStopped && worker.tasks.size === 0).length;
  const note = () => record.note(`replicas that run: ${running()} of ${REPLICAS}; idle machines with room: ${idle()}`);
  await cluster.startWorkers();
  cluster.startNodes();
  await cluster.waitUntilHealthy(20);
  // All machines have reported by then.
  await sleep(5);
  const job = { gait: "service", rank: "production", strides: REPLICAS, cpus: 4.0, memoryGb: 6.6, tack: TACK, rideS: 0.0 };
  await cluster.submit(0, arrayJob(JOB, { ...job, herd: "redeem-api" }));
  await cluster.waitFor("all replicas run", 15, () => running() === REPLICAS);
  note();
  for (let i = 0; WITH_TROUBLE && i < DEATHS; i++) {
    if (i > 0) await sleep(DEATH_INTERVAL_S);
    const victim = cluster.workers.find((worker) => worker.runningCount > 0);
    record.note(`${victim.name} stops`);
    cluster.cloud.die(victim.name);
  }
  const overAt = now();
  let completeAt = null;
  let fewestIdle = MACHINES;
  while (now() - overAt < LEFT_WAITING_S && completeAt === null) {
    await sleep(1);
    fewestIdle = Math.min(fewestIdle, idle());
    if (running() === REPLICAS) completeAt = now();
  }
  note();
  await cluster.poll(0, JOB);
  if (completeAt !== null) return null;
  return `${REPLICAS - running()} of ${REPLICAS} replicas of ${JOB} did not run for ${LEFT_WAITING_S} s, and ${fewestIdle} machines or more had room`;
});
