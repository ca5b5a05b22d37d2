/** In a backlog of gangs of one class, gangs of every size start, not only the small ones. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobSpec } from "./support/job-builders.js";
import { SimulatedWorkers } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

const SIZES = [1, 2, 4];
const MACHINES = 32;
const TASK_DURATION_S = 20;
const BURST_S = 120;
const SIMULATED_S = 260;

interface Burst {
  /** Gangs of each size that are submitted per second. */
  readonly perSecond: number;
  /** Machines that crash with all their tasks in the middle of the burst. */
  readonly crashedMachines: number;
}

/** For each size, the share of its gangs that started within four minutes of their submission. */
function startedShares({ perSecond, crashedMachines }: Burst): number[] {
  const names = Array.from(
    { length: MACHINES },
    (_, index) => `m${index}${index % 2 === 0 ? "a" : "b"}`,
  );
  const leader = new TestLeader();
  const workers = new SimulatedWorkers(
    leader,
    new Map(names.map((name) => [name, "big"])),
    () => TASK_DURATION_S,
  );
  workers.runFor(4);
  const submittedAt = new Map<string, { size: number; at: number }>();
  const startedAt = leader.now;
  let arrivals = 0;
  workers.runFor(SIMULATED_S, () => {
    const elapsedS = leader.now - startedAt;
    for (; elapsedS < BURST_S && arrivals < elapsedS * perSecond; arrivals++) {
      for (const size of SIZES) {
        const id = `gang-${size}-${arrivals}`;
        submittedAt.set(id, { size, at: leader.now });
        const gang = { kind: "gang", tasks: size, oneZone: true, priority: "high" } as const;
        const requirements = {
          cpus: 6,
          gpus: 4,
          types: ["big"],
          imageGb: 0.1,
          estimateS: TASK_DURATION_S,
        };
        leader.submit(jobSpec(id, { ...gang, ...requirements, team: "maps", class: "gpu" }));
      }
    }
    if (elapsedS >= BURST_S / 2)
      for (const name of names.slice(0, crashedMachines)) workers.crashMachine(name);
  });
  assert.deepEqual(workers.duplicateStarts, []);
  const startedInTime = new Map(SIZES.map((size) => [size, new Set<string>()]));
  for (const start of workers.starts) {
    const { size, at } = submittedAt.get(start.job)!;
    if (start.at - at <= 240) startedInTime.get(size)!.add(start.job);
  }
  return SIZES.map((size) => startedInTime.get(size)!.size / arrivals);
}

test("in a burst beyond the capacity at least half of the gangs of each size start within four minutes", () => {
  // The cluster has 32 machines for 260 s. The burst needs 0.8 x 120 x 7 machines for 20 s each, and 62 percent
  // of that fits.
  const shares = startedShares({ perSecond: 0.8, crashedMachines: 0 });
  for (const share of shares) assert.ok(share >= 0.5, `started within four minutes: ${shares}`);
});

test("at least half of each size's gangs start within four minutes when a quarter of the machines crashes", () => {
  const shares = startedShares({ perSecond: 0.7, crashedMachines: 8 });
  for (const share of shares) assert.ok(share >= 0.5, `started within four minutes: ${shares}`);
});

test("all gangs of a burst within the capacity start within four minutes", () => {
  assert.deepEqual(startedShares({ perSecond: 0.4, crashedMachines: 0 }), [1, 1, 1]);
});
