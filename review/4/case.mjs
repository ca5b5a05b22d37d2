/**
 * A task fails on one machine, is forgotten there and runs on another. The leader ends and is started again, and a
 * late copy of its `run` command, which was carried out long before, arrives at the first machine.
 */
import { arrayJob, runCase, WITH_TROUBLE } from "../lib-2/cluster.mjs";
import { now, sleep } from "../lib-2/wire.mjs";

const JOB = "run-000412";
const STRIDE = `${JOB}/0`;
/** Seconds from the end of the leader's process to its next start. */
const RESTART_DELAY_S = 0.3;
/** Seconds after that start at which the copy arrives. */
const COPY_DELAY_S = 0.1;

const options = {
  workers: 4,
  // The first attempt fails, as on a faulty machine; a later one runs until the case ends.
  plan: (_stride, mounting) =>
    mounting === 1 ? { runS: 1, cause: "error" } : { runS: Number.POSITIVE_INFINITY, cause: "done" },
};

/** Machines on which the task is at this time, by the events so far. */
function machinesWithTask(events) {
  const machines = new Set();
  for (const { what, stride, machine } of events) {
    if (stride !== STRIDE) continue;
    if (what === "starts") machines.add(machine);
    else if (what === "ends") machines.delete(machine);
  }
  return machines;
}

/** `ran_twice`: while the task is on one machine, it starts on another. */
function findSecondStart(events) {
  for (const [index, event] of events.entries()) {
    if (event.stride !== STRIDE || event.what !== "starts") continue;
    const others = machinesWithTask(events.slice(0, index));
    others.delete(event.machine);
    if (others.size > 0) return `${STRIDE} starts on ${event.machine} while it is on ${[...others]}`;
  }
  return null;
}

await runCase(import.meta.dirname, options, async (cluster, record) => {
  cluster.restartDelayS = RESTART_DELAY_S;
  await cluster.startWorkers();
  cluster.startNodes();
  await cluster.waitUntilHealthy(20);
  await cluster.submit(0, arrayJob(JOB));
  const { events } = record;
  const failed = await cluster.waitFor("the first attempt fails", 30, () =>
    events.find(({ stride, what, cause }) => stride === STRIDE && what === "ends" && cause === "error"),
  );
  const first = cluster.cloud.workers.get(failed.machine);
  const isCopied = ({ calls }) => calls.some(({ call, stride, mounting }) => call === "run" && stride === STRIDE && mounting === 1);
  await cluster.waitFor("the first machine forgets the attempt", 30, () =>
    events.some(({ what, stride, mounting }) => what === "forgotten" && stride === STRIDE && mounting === 1),
  );
  await cluster.waitFor("the task runs on another machine", 30, () => {
    const machines = machinesWithTask(events);
    return machines.size === 1 && !machines.has(first.name);
  });
  await sleep(5);
  const command = first.executed.find(isCopied);
  record.note(`${first.name} got, and carried out: ${JSON.stringify(command)}`);
  if (WITH_TROUBLE) {
    const leader = cluster.members.findIndex(({ member }) => member === first.lastAnswerFrom);
    record.note(`the leader's process ends (${cluster.members[leader].member}); token of ${first.name}: ${first.rein}`);
    cluster.killNode(leader);
    await sleep(RESTART_DELAY_S + COPY_DELAY_S);
    const before = now();
    const { status } = first.receive(command);
    record.note(`a late copy of that command arrives at ${first.name}: ${status} (${(now() - before).toFixed(3)} s)`);
  }
  await sleep(20);
  return findSecondStart(events);
});
