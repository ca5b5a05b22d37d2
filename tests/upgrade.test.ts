/**
 * Tests the compatibility of stored state with the version in production. `traces/production.json` holds values that
 * a leader of that version stored. The schemas below contain all fields that it reads and writes.
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

const traceFile = new URL("../../../tests/traces/production.json", import.meta.url);
const traceItems = (): KeyValueItem[] =>
  JSON.parse(readFileSync(traceFile, "utf8")) as KeyValueItem[];

const storedPlacements = z.array(z.tuple([z.number(), z.number(), z.array(z.string())]));
const storedShard = { v: z.number(), n: z.number(), done: z.string(), pl: storedPlacements };
const storedJob = {
  ...storedShard,
  at: z.number(),
  r: z.array(z.string()),
  o: z.number(),
  c: z.number().optional(),
};
/** Schemas of the values that the version in production stores, by key prefix. Unknown fields are errors. */
const PRODUCTION_SCHEMAS: Record<string, z.ZodType> = {
  p: z.strictObject({ ...storedJob, j: z.record(z.string(), z.unknown()) }),
  q: z.strictObject(storedShard),
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
const schemaOf = (key: string) => PRODUCTION_SCHEMAS[key.split("/")[0]!]!;
const specFields = (items: readonly KeyValueItem[]) =>
  new Set(
    items.flatMap((item) =>
      item.key.startsWith("p/") ? Object.keys((item.value as { j: JobSpec }).j) : [],
    ),
  );

function takeOver(items: KeyValueItem[], state = {}): TestLeader {
  const replica = new StateReplica();
  replica.reset(items, 100);
  return new TestLeader({ replica, epoch: 2, state });
}

test("the schemas match the values that the version in production stored, and cover all their key prefixes", () => {
  const prefixes = new Set<string>();
  for (const item of traceItems()) {
    prefixes.add(item.key.split("/")[0]!);
    assert.doesNotThrow(() => schemaOf(item.key).parse(item.value), item.key);
  }
  assert.deepEqual([...prefixes].sort(), Object.keys(PRODUCTION_SCHEMAS).sort());
});

test("a leader of this version loads the state stored in production, under the current and the next limits of the state service", () => {
  for (const state of [{}, { next: { value_kb: 2, txn_ops: 8 } }]) {
    const leader = takeOver(traceItems(), state);
    leader.tick();
    const { jobs } = leader.scheduler.cluster;
    const placementCountOf = (id: string) => jobs.get(id)?.placements.size;
    assert.deepEqual(
      ["web", "gang", "list", "large", "waiting"].map(placementCountOf),
      [2, 2, 6, 659, 0],
    );
    assert.equal(jobs.get("gang")!.isCancelled, true);
    assert.deepEqual(
      ["web", "gang", "list", "over", "nobody"].map((id) => leader.replica.view(id)?.state),
      ["running", "running", "running", "done", undefined],
    );
  }
});

test("this version stores only fields that the version in production knows, as long as no job depends on another", () => {
  const leader = takeOver(traceItems());
  leader.epoch = 2;
  const productionFields = specFields(traceItems());
  const machines = [...leader.scheduler.cluster.machines.values()].map((machine) => machine.name);
  leader.submit(jobSpec("new", { team: "maps", tasks: 3 }));
  for (const machine of machines) {
    const placements = [...leader.scheduler.cluster.machines.get(machine)!.placements.values()];
    leader.receiveHeartbeatOnly(
      machine,
      placements.map((placement) =>
        taskStatus(placement.job.spec.id, placement.task, placement.attempt),
      ),
    );
  }
  for (let step = 0; step < 6; step++) leader.tick();
  const storedItems = (): KeyValueItem[] => {
    const stored = new Map<string, KeyValueItem | null>(
      traceItems().map((item) => [item.key, item]),
    );
    for (const [key, item] of leader.writtenItems) stored.set(key, item);
    return [...stored.values()].filter(
      (item) => item !== null && /^[pqdg]\//.test(item.key),
    ) as KeyValueItem[];
  };
  const { placements } = leader.replica.activeJobs.get("new")!.value;
  assert.ok(placements.length > 0, "placements are stored");
  for (const item of storedItems())
    schemaOf(item.key).parse(JSON.parse(JSON.stringify(item.value)));
  assert.deepEqual(specFields(storedItems()), productionFields);
  // The residuals of a job without dependencies are also equal to those that the version in production stores.
  const residualsOf = (id: string) =>
    leader.replica.activeJobs.get(id)!.value.residuals.join().replaceAll(id, "JOB");
  const waiting = traceItems().find((item) => item.key === "p/waiting")!.value as { r: string[] };
  leader.submit(jobSpec("other", { types: ["big"], cpus: 4 }));
  assert.equal(residualsOf("other"), waiting.r.join().replaceAll("waiting", "JOB"));
  leader.submit(jobSpec("follower", { after: ["other"] }));
  assert.deepEqual(
    [...specFields(storedItems())].filter((key) => !productionFields.has(key)),
    ["after"],
  );
});

test("peer heartbeats have the encoding that the version in production sends and reads", () => {
  const heartbeat = { reachesStateService: true, holdsLeadership: true, epoch: 258, zoneIndex: 1 };
  const recorded = "5001000a0300000000000001" + "02" + "01";
  assert.equal(encodePeerHeartbeat(heartbeat).toString("hex"), recorded);
  assert.deepEqual(new PeerHeartbeatReader().feed(Buffer.from(recorded, "hex")), [heartbeat]);
});
