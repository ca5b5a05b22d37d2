/**
 * What `peatsaddle check` prints, byte for byte: operators' scripts read it. `traces/check-output.txt` holds what the
 * program printed before its fields were renamed.
 */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { settingsText } from "./support/helpers.js";
import { PROGRAM } from "./support/multi-process-cluster.js";

const OPERATOR_FILE = `[term]
keep_ratio = 8
[renting]
max_machines = 500
[admission]
enabled = true
[admission.calendar.settlement]
days = mon,tue
from = 22:00
to = 06:00
team = maps
weight = 4
`;

/** Settings with a peer, and with limits of the state service that will change. */
function settingsWithPeer(): string {
  const siblings = [{ member: "n1", location: "b", addr: "127.0.0.1:5" }];
  const file = JSON.parse(settingsText({ siblings }));
  file.settings.state.next = { value_kb: 2 };
  return JSON.stringify(file);
}

test("the check command prints the configuration in force under the names that it always had", () => {
  const folder = mkdtempSync(join(tmpdir(), "peatsaddle-check-"));
  try {
    const config = join(folder, "settings.json");
    const operator = join(folder, "operator.ini");
    writeFileSync(config, settingsWithPeer());
    writeFileSync(operator, OPERATOR_FILE);
    const args = [PROGRAM, "check", "--config", config, "--operator", operator];
    const checked = spawnSync(process.execPath, args, { encoding: "utf8" });
    assert.equal(checked.status, 0, checked.stderr);
    assert.equal(checked.stderr, "");
    const recorded = new URL("../../../tests/traces/check-output.txt", import.meta.url);
    assert.equal(checked.stdout, readFileSync(recorded, "utf8"));
  } finally {
    rmSync(folder, { recursive: true });
  }
});
