/**
 * The version in production and this one on each other's data. `traces/production.json` holds what that version
 * stored (its own leader wrote it); the shapes below are all that it reads and writes.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { z } from "zod";
import type { JobSpec } from "../src/core/model/jobs.js";
import type { KeyValueItem } from "../src/core/state/key-value.js";
import { StateReplica } from "../src/core/state/state-replica.js";
import { encodePeerHeartbeat, PeerHeartbeatReader } from "../src/peers/codec.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { TestLeader } from "./support/test-leader.js";

const file = new URL("../../../tests/traces/production.json", import.meta.url);
const trace = (): KeyValueItem[] => JSON.parse(readFileSync(file, "utf8")) as KeyValueItem[];

const placements = z.array(z.tuple([z.number(), z.number(), z.array(z.string())]));
const part = { v: z.number(), n: z.number(), done: z.string(), pl: placements };
const job = {
  ...part,
  at: z.number(),
  r: z.array(z.string()),
  o: z.number(),
  c: z.number().optional(),
};
/** Nothing but what the version in production knows: other fields are faults. */
const PRODUCTION: Record<string, z.ZodType> = {
  p: z.strictObject({ ...job, j: z.record(z.string(), z.unknown()) }),
  q: z.strictObject(part),
  d: z.strictObject({ s: z.enum(["done", "cancelled"]), n: z.number() }),
  x: z.strictObject({ at: z.number(), told: z.literal(false) }),
  g: z.record(z.string(), z.tuple([z.string(), z.string(), z.string(), z.boolean()])),
  epoch: z.strictObject({ n: z.number() }),
  lead: z.strictObject({
    member: z.string(),
    epoch: z.number(),
    lease: z.number(),
    at: z.number(),
  }),
};
const shapeOf = (key: string) => PRODUCTION[key.split("/")[0]!]!;
const specKeys = (items: readonly KeyValueItem[]) =>
  new Set(
    items.flatMap((i) =>
      i.key.startsWith("p/") ? Object.keys((i.value as { j: JobSpec }).j) : [],
    ),
  );

function takeOver(items: KeyValueItem[], state = {}): TestLeader {
  const records = new StateReplica();
  records.reset(items, 100);
  return new TestLeader({ replica: records, epoch: 2, state });
}

test("the values that production stored have the shapes that this version's values are checked against", () => {
  const kinds = new Set<string>();
  for (const i of trace()) {
    kinds.add(i.key.split("/")[0]!);
    assert.doesNotThrow(() => shapeOf(i.key).parse(i.value), i.key);
  }
  assert.deepEqual([...kinds].sort(), Object.keys(PRODUCTION).sort());
});

test("a leader of this version takes over production's state, under present and next limits of the state service", () => {
  for (const state of [{}, { next: { value_kb: 2, txn_ops: 8 } }]) {
    const h = takeOver(trace(), state);
    h.tick();
    const { jobs } = h.scheduler.cluster;
    const placed = (id: string) => jobs.get(id)?.placements.size;
    assert.deepEqual(["web", "gang", "list", "large", "waiting"].map(placed), [2, 2, 6, 659, 0]);
    assert.equal(jobs.get("gang")!.isCancelled, true);
    assert.deepEqual(
      ["web", "gang", "list", "over", "nobody"].map((id) => h.replica.view(id)?.state),
      ["running", "running", "running", "done", undefined],
    );
  }
});

test("this version writes only fields that production knows, until a job depends on another", () => {
  const h = takeOver(trace());
  h.epoch = 2;
  const known = specKeys(trace());
  const machines = [...h.scheduler.cluster.machines.values()].map((m) => m.name);
  h.submit(jobSpec("new", { team: "maps", tasks: 3 }));
  for (const m of machines) {
    const on = [...h.scheduler.cluster.machines.get(m)!.placements.values()];
    h.receiveHeartbeatOnly(
      m,
      on.map((p) => taskStatus(p.job.spec.id, p.task, p.attempt)),
    );
  }
  for (let i = 0; i < 6; i++) h.tick();
  const items = (): KeyValueItem[] => {
    const stored = new Map<string, KeyValueItem | null>(trace().map((item) => [item.key, item]));
    for (const [key, item] of h.writtenItems) stored.set(key, item);
    return [...stored.values()].filter(
      (item) => item !== null && /^[pqdg]\//.test(item.key),
    ) as KeyValueItem[];
  };
  assert.ok(h.replica.activeJobs.get("new")!.value.placements.length > 0, "it wrote something");
  for (const i of items()) shapeOf(i.key).parse(JSON.parse(JSON.stringify(i.value)));
  assert.deepEqual(specKeys(items()), known);
  // Residuals too are those that production stores for a job by itself.
  const r = (id: string) =>
    h.replica.activeJobs.get(id)!.value.residuals.join().replaceAll(id, "JOB");
  const waiting = trace().find((i) => i.key === "p/waiting")!.value as { r: string[] };
  h.submit(jobSpec("other", { types: ["big"], cpus: 4 }));
  assert.equal(r("other"), waiting.r.join().replaceAll("waiting", "JOB"));
  h.submit(jobSpec("follower", { after: ["other"] }));
  assert.deepEqual(
    [...specKeys(items())].filter((k) => !known.has(k)),
    ["after"],
  );
});

test("peer heartbeats are the bytes that production sends and reads", () => {
  const heartbeat = { reachesStateService: true, holdsLeadership: true, epoch: 258, zoneIndex: 1 };
  const recorded = "5001000a0300000000000001" + "02" + "01";
  assert.equal(encodePeerHeartbeat(heartbeat).toString("hex"), recorded);
  assert.deepEqual(new PeerHeartbeatReader().feed(Buffer.from(recorded, "hex")), [heartbeat]);
});
