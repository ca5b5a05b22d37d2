/**
 * Loads the program from a single script together with V8's code cache, which is written when the program is built.
 * Compilation takes a third of the processor time of a start, and on a machine with a few hundredths of a core that is
 * seconds.
 *
 * V8 supports code caches for scripts but not for ES modules, which is why this folder and the bundle are CommonJS. V8
 * rejects a cache written by another version or under other flags, and compiles the script instead.
 */
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

const BUNDLE = join(__dirname, "..", "bundle.cjs");
const CODE_CACHE = join(__dirname, "..", "bundle.cache");

/** What the bundle exports. */
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
  // The bundle is ASCII, and reading it as Latin-1 skips the decoding of UTF-8.
  const source = readFileSync(BUNDLE, "latin1");
  const wrapped = `(function (exports, require, module) {${source}\n})`;
  return new Script(wrapped, { filename: BUNDLE, ...(cachedData && { cachedData }) });
}

/** Loads the program from its bundle, with the code cache if there is one; null: no bundle was built. */
export function loadBundle(): Program | null {
  if (!existsSync(BUNDLE)) return null;
  const script = compile(existsSync(CODE_CACHE) ? readFileSync(CODE_CACHE) : undefined);
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as ModuleWrapper;
  wrapper(module.exports, createRequire(BUNDLE), module);
  return module.exports as Program;
}

/**
 * Writes the code cache. It contains all functions and not only those that a start runs: a failover needs the others within
 * seconds.
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

/** Does V8 accept the code cache under the flags of this process? */
export function isCodeCacheAccepted(): boolean {
  return compile(readFileSync(CODE_CACHE)).cachedDataRejected === false;
}
