/** Decoding of data from other programs: jobs, key changes, settings and peer heartbeats. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeOperatorSettings } from "../src/config/operator.js";
import { encodePeerHeartbeat, PeerHeartbeatReader } from "../src/peers/codec.js";
import { decodeJob } from "../src/wire/jobs.js";
import { decodeWatchResponse } from "../src/wire/key-value.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { decodeSettings } from "../src/wire/settings.js";
import { jobBody } from "./support/job-builders.js";
import { settingsText } from "./support/node-settings.js";

test("a submitted job is decoded, or rejected as malformed if any of its fields is invalid", () => {
  assert.equal(decodeJob(decode(encode(jobBody())))?.kind, "array");
  assert.equal(decodeJob(decode(encode({ ...jobBody(), breeds: undefined })))?.types, null);
  const invalidChanges: Record<string, unknown>[] = [
    { nameId: 7 },
    { nameId: "" },
    { nameId: "x".repeat(200) },
    { nameId: "a b" },
    { gait: "toString" },
    { rank: "urgent" },
    { strides: 0 },
    { strides: 1.5 },
    { strides: 100_001 },
    { cpus: -1 },
    { cpus: "4" },
    { memoryGb: Number.NaN },
    { together: null },
    { together: true, apart: true },
    { cpus: 0, cards: 0, memoryGb: 0 },
    { tack: undefined },
    { breeds: "g8" },
  ];
  for (const change of invalidChanges) {
    assert.equal(
      decodeJob(decode(encode({ ...jobBody(), ...change }))),
      null,
      JSON.stringify(change),
    );
  }
  assert.equal(decodeJob([]), null);
  assert.equal(decodeJob(undefined), null);
});

// A schema that required a value stopped every watcher at the first removed key.
test("a removed key is decoded without a value", () => {
  const batch = decodeWatchResponse({ ledger: 9, log: [{ remove: "p/a", mark: 9 }] });
  assert.deepEqual(batch?.events, [{ key: "p/a", value: null, removed: true, modRevision: 9 }]);
});

test("each invalid setting is reported with one line that names its field", () => {
  const validSettings = decodeSettings(settingsText());
  assert.ok("settings" in validSettings && validSettings.settings.cluster.leaseS === 21);
  const invalidSettings = decodeSettings(settingsText({ serve_on: "nowhere", siblings: 3 }));
  assert.ok("faults" in invalidSettings);
  assert.deepEqual(invalidSettings.faults.map((fault) => fault.split(":")[0]).sort(), [
    "serve_on",
    "siblings",
  ]);
  assert.ok("faults" in decodeSettings("{"));
  const ini = decodeOperatorSettings("[term]\ngrace_ratio = 9\nnew_key = 1\n[other]\na = 1\n");
  assert.equal(ini.faults.length, 1);
  assert.match(ini.faults[0]!, /^term.grace_ratio/);
  assert.deepEqual(ini.unknown, ["other", "term.new_key"]);
});

test("peer heartbeats are decoded from a stream split at any byte, and bytes of another protocol cause an error", () => {
  const firstHeartbeat = encodePeerHeartbeat({
    reachesStateService: true,
    holdsLeadership: false,
    epoch: 2 ** 40 + 1,
    zoneIndex: 2,
  });
  const secondHeartbeat = encodePeerHeartbeat({
    reachesStateService: false,
    holdsLeadership: true,
    epoch: 0,
    zoneIndex: 0,
  });
  assert.equal(firstHeartbeat.toString("hex"), "5001000a01000001000000000102");
  const reader = new PeerHeartbeatReader();
  const received = [...Buffer.concat([firstHeartbeat, secondHeartbeat, firstHeartbeat])].flatMap(
    (byte) => reader.feed(Buffer.from([byte])),
  );
  assert.deepEqual(received, [
    { reachesStateService: true, holdsLeadership: false, epoch: 2 ** 40 + 1, zoneIndex: 2 },
    { reachesStateService: false, holdsLeadership: true, epoch: 0, zoneIndex: 0 },
    { reachesStateService: true, holdsLeadership: false, epoch: 2 ** 40 + 1, zoneIndex: 2 },
  ]);
  assert.throws(() => new PeerHeartbeatReader().feed(Buffer.from("GET / HTTP/1.1")));
});
