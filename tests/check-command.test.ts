/** Output of `check`. Operators' scripts read it, so names, order and layout are those of the released program. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { PROGRAM } from "./support/multi-process-cluster.js";
import { settingsText } from "./support/node-settings.js";

const EXPECTED_OUTPUT = {
  settings: {
    member: "n0",
    zone: "a",
    serveOn: "127.0.0.1:1",
    meshAddress: "127.0.0.1:2",
    siblings: [{ member: "n1", zone: "b", address: "127.0.0.1:9" }],
    cloud: "127.0.0.1:3",
    state: "127.0.0.1:4",
    cluster: {
      nodes: 3,
      zones: ["a", "b"],
      teams: [
        { name: "vision", cpus: 4, cpusMax: 16, gpus: 0, gpusMax: 0 },
        { name: "maps", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
      ],
      objectives: [{ kind: "wait", class: "web", withinS: 1, share: 0.9 }],
      reportS: 3,
      leaseS: 21,
      gangWaitS: 45,
      gangPeerS: 8,
      cancelS: 46,
      stateRps: 150,
      stateWriteRps: 40,
      valueKb: 8,
      txnOps: 32,
      cloudRps: 5,
      listLagS: 3,
      cpuShare: 0.25,
      memoryMb: 242,
      sockets: 1500,
      clockOffMs: 25,
    },
  },
  operator: {
    termLeaseRatio: 0.5,
    graceRatio: 1,
    keepRatio: 6,
    spareRatio: 1,
    maxMachines: 100_000,
    idleLeases: 20,
    maxInProgress: 400,
    admission: {
      enabled: false,
      windowRatio: 1,
      queueRatio: 2,
      calendar: { timeZone: "UTC", periods: [] },
    },
    tracing: false,
  },
};

test("check prints the configuration in force with the names and the order of the released program", () => {
  const folder = mkdtempSync(join(tmpdir(), "peatsaddle-check-"));
  const config = join(folder, "settings.json");
  const siblings = [{ member: "n1", location: "b", addr: "127.0.0.1:9" }];
  writeFileSync(config, JSON.stringify({ ...JSON.parse(settingsText()), siblings }));
  const run = spawnSync(process.execPath, [PROGRAM, "check", "--config", config], {
    encoding: "utf8",
  });
  assert.equal(run.status, 0, run.stderr);
  assert.equal(run.stdout, `${JSON.stringify(EXPECTED_OUTPUT, null, 2)}\n`);
});
