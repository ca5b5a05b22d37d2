/**
 * Loads the program from a single script together with V8's code cache, which is written when the program is built.
 * Without the cache, compilation takes a third of the processor time of a start; on a machine with a few hundredths
 * of a core that takes seconds.
 *
 * This folder and the bundle are CommonJS because V8 supports code caches for scripts but not for ES modules. If the
 * cache was written by another version of V8 or under other flags, V8 rejects it and compiles the script.
 */
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

const BUNDLE = join(__dirname, "..", "bundle.cjs");
const CODE_CACHE = join(__dirname, "..", "bundle.cache");

/** The exports of the bundle. */
interface Program {
  runProgram(): Promise<void>;
}

/** The bundle wrapped as Node.js wraps a CommonJS module. */
type ModuleWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
) => void;

function compile(cachedData?: Buffer): Script {
  // The bundle is ASCII; reading it as Latin-1 avoids decoding UTF-8.
  const source = readFileSync(BUNDLE, "latin1");
  const wrapped = `(function (exports, require, module) {${source}\n})`;
  return new Script(wrapped, { filename: BUNDLE, ...(cachedData && { cachedData }) });
}

/** Loads the program from its bundle, with the code cache if it exists; null if no bundle was built. */
export function loadBundle(): Program | null {
  if (!existsSync(BUNDLE)) return null;
  const script = compile(existsSync(CODE_CACHE) ? readFileSync(CODE_CACHE) : undefined);
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as ModuleWrapper;
  wrapper(module.exports, createRequire(BUNDLE), module);
  return module.exports as Program;
}

/**
 * Writes the code cache. It contains all functions, not only those that run when the process starts: after a failover
 * it runs the others within seconds, and would otherwise have to compile them then.
 */
export function writeCodeCache(): void {
  setFlagsFromString("--no-lazy");
  const script = compile();
  // V8 compares the flags when it reads the cache, so they are restored before the cache is written.
  setFlagsFromString("--lazy");
  const temporaryFile = `${CODE_CACHE}.new`;
  writeFileSync(temporaryFile, script.createCachedData());
  renameSync(temporaryFile, CODE_CACHE);
}

/** True if V8 accepts the code cache under the flags of this process. */
export function isCodeCacheAccepted(): boolean {
  return compile(readFileSync(CODE_CACHE)).cachedDataRejected === false;
}
