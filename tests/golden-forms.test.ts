/**
 * Guards what stands on the wire, in the state service, in the settings and in the INI file: names and files in the
 * source may change, these may not. `traces/golden-forms.json` holds examples that the code made before it was renamed:
 * bytes beside a form that people read, and what was read in them. Here they are made again and compared byte for byte,
 * and the kept bytes are read again. `GOLDEN_WRITE=1` writes the examples anew (then `npx biome format --write tests`):
 * only for a change of a form that was decided on.
 */
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import type { KeyValueItem } from "../src/core/state/key-value.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { exchanges } from "./support/golden-exchanges.js";
import { READ } from "./support/golden-messages.js";
import { readAdmission, readStored, storedForms } from "./support/golden-stored.js";

interface Kept {
  readonly bytes: string;
  readonly read?: unknown;
}
interface Golden {
  readonly read: Record<string, Record<string, Kept>>;
  readonly exchanges: Record<string, unknown>;
  readonly stored: {
    readonly scenario: Record<"middle" | "end", (Kept & { key: string; mark: number })[]>;
    readonly nodes: unknown;
    readonly admission: Record<"window" | "ledger" | "rejections", Kept>;
  };
  readonly readAgain: unknown;
}

const file = new URL("../../../tests/traces/golden-forms.json", import.meta.url);
/** As a file holds it: nothing is undefined. */
const plain = <T>(value: unknown): T => JSON.parse(JSON.stringify(value)) as T;
const unpack = (kept: Kept): unknown => decode(Buffer.from(kept.bytes, "hex"));

/** What is read of the stored values of these examples. */
function readAgain(stored: Golden["stored"]): unknown {
  const items = (kept: Golden["stored"]["scenario"]["end"]): KeyValueItem[] =>
    kept.map((keptValue) => ({
      key: keptValue.key,
      value: unpack(keptValue),
      modRevision: keptValue.mark,
    }));
  const { window, ledger, rejections } = stored.admission;
  return {
    middle: readStored(items(stored.scenario.middle)),
    end: readStored(items(stored.scenario.end)),
    admission: readAdmission(unpack(window), unpack(ledger), unpack(rejections)),
  };
}

function readExamples(): Record<string, Record<string, unknown>> {
  const out: Record<string, Record<string, unknown>> = {};
  for (const [kind, { bodies, read }] of Object.entries(READ)) {
    out[kind] = {};
    for (const [name, body] of Object.entries(bodies)) {
      const bytes = encode(body);
      out[kind][name] = { body: body, bytes: bytes.toString("hex"), read: read(decode(bytes)) };
    }
  }
  return out;
}

async function generate(): Promise<Golden> {
  const stored = plain<Golden["stored"]>(await storedForms());
  const parts = { exchanges: await exchanges(), stored: stored, readAgain: readAgain(stored) };
  return plain({ read: readExamples(), ...parts });
}

let made: Promise<Golden> | null = null;
/** Generated once, in the first test that compares: if it throws, the tests of decoding still run. */
function generated(): Promise<Golden> {
  made ??= generate();
  return made;
}
if (process.env.GOLDEN_WRITE === "1") {
  writeFileSync(file, `${JSON.stringify(await generated(), null, 2)}\n`);
}
const golden = JSON.parse(readFileSync(file, "utf8")) as Golden;

for (const kind of Object.keys(golden.read)) {
  test(`${kind}: the kept bytes are read as they were`, async () => {
    for (const [name, kept] of Object.entries(golden.read[kind]!)) {
      assert.deepEqual(plain(READ[kind]!.read(unpack(kept))), kept.read, name);
    }
    assert.deepEqual((await generated()).read[kind], golden.read[kind]);
  });
}

test("no kind of example is left out", async () => {
  const forms = await generated();
  assert.deepEqual(Object.keys(forms.read), Object.keys(golden.read));
  assert.deepEqual(Object.keys(forms.exchanges), Object.keys(golden.exchanges));
});

for (const other of Object.keys(golden.exchanges)) {
  test(`${other}: requests and answers are the same bytes`, async () => {
    assert.deepEqual((await generated()).exchanges[other], golden.exchanges[other]);
  });
}

test("stored values and transactions are the same bytes", async () => {
  const { stored } = await generated();
  assert.deepEqual(stored.scenario, golden.stored.scenario);
  assert.deepEqual(stored.nodes, golden.stored.nodes);
  assert.deepEqual(stored.admission, golden.stored.admission);
});

test("the kept stored values are read as they were", () => {
  assert.deepEqual(plain(readAgain(golden.stored)), golden.readAgain);
});
