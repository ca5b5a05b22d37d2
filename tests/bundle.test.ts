/** The bundle and its V8 code cache. The program also starts without them. */
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const pathOf = (relative: string): string => fileURLToPath(new URL(relative, import.meta.url));
const TARGET = pathOf("../../");
const SERVICE = pathOf("../../../deploy/service.toml");
const VERSION = "0.1.0";

/** Returns the Node.js flags with which the deployment starts the program. */
function deployedFlags(): string[] {
  const command = /^run = "node (.*)target\/peatsaddle\.cjs/m.exec(readFileSync(SERVICE, "utf8"));
  assert.ok(command !== null, "service.toml contains the command that starts the program");
  return command[1]!.split(" ").filter((flag) => flag !== "");
}

const runNode = (...args: string[]): string =>
  execFileSync(process.execPath, args, { encoding: "utf8" }).trim();

const isCodeCacheAccepted = (...flags: string[]): string =>
  runNode(
    ...flags,
    "-p",
    `require(${JSON.stringify(join(TARGET, "bundle/bundle.cjs"))}).isCodeCacheAccepted()`,
  );

test("V8 accepts the code cache under the Node.js flags of service.toml", () => {
  assert.equal(isCodeCacheAccepted(...deployedFlags()), "true");
});

// Verifies that the previous test fails if V8 rejects the code cache.
test("V8 rejects the code cache under other Node.js flags", () => {
  assert.equal(isCodeCacheAccepted("--max-old-space-size=99"), "false");
});

test("the program starts with a damaged code cache", () => {
  const folder = mkdtempSync(join(tmpdir(), "peatsaddle-bundle-"));
  for (const name of ["peatsaddle.cjs", "bundle", "bundle.cjs", "bundle.cache"]) {
    cpSync(join(TARGET, name), join(folder, name), { recursive: true });
  }
  const cache = readFileSync(join(folder, "bundle.cache"));
  writeFileSync(join(folder, "bundle.cache"), cache.fill(0, cache.length / 2));
  assert.equal(runNode(join(folder, "peatsaddle.cjs"), "--version"), VERSION);
  writeFileSync(join(folder, "bundle.cache"), cache.subarray(0, 10));
  assert.equal(runNode(join(folder, "peatsaddle.cjs"), "--version"), VERSION);
});

test("the program starts from its modules if there is no bundle", () => {
  assert.equal(runNode(pathOf("../src/peatsaddle.cjs"), "--version"), VERSION);
});
