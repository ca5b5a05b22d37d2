/** The bundle and its code cache: V8 accepts the cache, and the program starts without either. */
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

/** The flags of Node.js with which the platform starts the program. */
function deployedFlags(): string[] {
  const command = /^run = "node (.*)target\/peatsaddle\.cjs/m.exec(readFileSync(SERVICE, "utf8"));
  assert.ok(command !== null, "service.toml names the program");
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

test("V8 accepts the code cache under the flags that service.toml runs the program with", () => {
  assert.equal(isCodeCacheAccepted(...deployedFlags()), "true");
});

test("V8 rejects the code cache under other flags, which the check above would show", () => {
  assert.equal(isCodeCacheAccepted("--max-old-space-size=99"), "false");
});

test("a damaged code cache is ignored, and the program starts", () => {
  const copy = mkdtempSync(join(tmpdir(), "peatsaddle-bundle-"));
  for (const name of ["peatsaddle.cjs", "bundle", "bundle.cjs", "bundle.cache"]) {
    cpSync(join(TARGET, name), join(copy, name), { recursive: true });
  }
  const cache = readFileSync(join(copy, "bundle.cache"));
  writeFileSync(join(copy, "bundle.cache"), cache.fill(0, cache.length / 2));
  assert.equal(runNode(join(copy, "peatsaddle.cjs"), "--version"), VERSION);
  writeFileSync(join(copy, "bundle.cache"), cache.subarray(0, 10));
  assert.equal(runNode(join(copy, "peatsaddle.cjs"), "--version"), VERSION);
});

test("without a bundle the program starts from its modules", () => {
  assert.equal(runNode(pathOf("../src/peatsaddle.cjs"), "--version"), VERSION);
});
