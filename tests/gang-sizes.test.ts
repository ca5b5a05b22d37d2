/** In a backlog of gangs every size of a class is served, not only the small ones. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobSpec } from "./support/job-builders.js";
import { SimulatedWorkers } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

const SIZES = [1, 2, 4];
const MACHINES = 32;
const RUN_S = 20;
const BURST_S = 120;
const DAY_S = 260;

interface Burst {
  /** Gangs of each size submitted in a second. */
  readonly perSecond: number;
  /** Machines that stop with all that is on them, in the middle of the burst. */
  readonly lost: number;
}

/** The share of each size that began within four minutes of its submission. */
function servedShares({ perSecond, lost }: Burst): number[] {
  const names = Array.from({ length: MACHINES }, (_, i) => `m${i}${i % 2 === 0 ? "a" : "b"}`);
  const leader = new TestLeader();
  const workers = new SimulatedWorkers(leader, new Map(names.map((n) => [n, "big"])), () => RUN_S);
  workers.runFor(4);
  const submittedAt = new Map<string, { size: number; at: number }>();
  const began = leader.now;
  let arrivals = 0;
  workers.runFor(DAY_S, () => {
    const t = leader.now - began;
    for (; t < BURST_S && arrivals < t * perSecond; arrivals++) {
      for (const size of SIZES) {
        const id = `gang-${size}-${arrivals}`;
        submittedAt.set(id, { size, at: leader.now });
        const gang = { kind: "gang", tasks: size, oneZone: true, priority: "high" } as const;
        const shape = { cpus: 6, gpus: 4, types: ["big"], imageGb: 0.1, estimateS: RUN_S };
        leader.submit(jobSpec(id, { ...gang, ...shape, team: "maps", class: "gpu" }));
      }
    }
    if (t >= BURST_S / 2) for (const name of names.slice(0, lost)) workers.crashMachine(name);
  });
  assert.deepEqual(workers.duplicateStarts, []);
  const served = new Map(SIZES.map((size) => [size, new Set<string>()]));
  for (const start of workers.starts) {
    const { size, at } = submittedAt.get(start.job)!;
    if (start.at - at <= 240) served.get(size)!.add(start.job);
  }
  return SIZES.map((size) => served.get(size)!.size / arrivals);
}

test("in a burst beyond the machines at least half of each size begins, as far as they allow it", () => {
  // 32 machines for 260 s; the burst asks for 0.8 x 120 x 7 machines for 20 s: 62 percent of it fits.
  const shares = servedShares({ perSecond: 0.8, lost: 0 });
  for (const share of shares) assert.ok(share >= 0.5, `served ${shares}`);
});

test("the same while a quarter of the machines is lost", () => {
  const shares = servedShares({ perSecond: 0.7, lost: 8 });
  for (const share of shares) assert.ok(share >= 0.5, `served ${shares}`);
});

test("a burst that the machines can serve is served whole", () => {
  assert.deepEqual(servedShares({ perSecond: 0.4, lost: 0 }), [1, 1, 1]);
});
