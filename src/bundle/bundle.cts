/**
 * The program in one script, with the code that V8 compiled when it was built. Compiling takes a third of the
 * processor time of a start, and on a machine with a few hundredths of a core that is seconds.
 *
 * V8's code cache is to be had for scripts and not for ES modules, which is why this folder and the bundle are CommonJS.
 * V8 takes no cache that another version wrote or that was made under other flags, and compiles the script then.
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

type Wrapper = (exports: object, require: NodeJS.Require, module: { exports: object }) => void;

function compile(cachedData?: Buffer): Script {
  // The bundle is ASCII; as Latin-1 it is read without a look at each character.
  const source = readFileSync(BUNDLE, "latin1");
  const wrapped = `(function (exports, require, module) {${source}\n})`;
  return new Script(wrapped, { filename: BUNDLE, ...(cachedData && { cachedData }) });
}

/** The program in the bundle; null if none was built. */
export function loadBundle(): Program | null {
  if (!existsSync(BUNDLE)) return null;
  const script = compile(existsSync(CODE_CACHE) ? readFileSync(CODE_CACHE) : undefined);
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as Wrapper;
  wrapper(module.exports, createRequire(BUNDLE), module);
  return module.exports as Program;
}

/**
 * Compiles all functions and not only those that a start runs: the others are needed within seconds, in a takeover.
 */
export function writeCodeCache(): void {
  setFlagsFromString("--no-lazy");
  const script = compile();
  // The flags are part of what V8 checks, so they are as before when it writes.
  setFlagsFromString("--lazy");
  const unfinished = `${CODE_CACHE}.new`;
  writeFileSync(unfinished, script.createCachedData());
  renameSync(unfinished, CODE_CACHE);
}

/** V8 takes the cache that is there, under the flags of this process. */
export function isCodeCacheAccepted(): boolean {
  return compile(readFileSync(CODE_CACHE)).cachedDataRejected === false;
}
