/**
 * Compatibility of the formats on the wire, in the state service, in the settings and in the INI file. Names in the
 * source may change, but these formats may not. `traces/golden-forms.json` holds examples that were recorded before
 * the source was renamed: encoded bytes, a readable form of them, and the result of decoding them. The tests generate
 * the examples again, compare them byte for byte, and decode the recorded bytes again.
 *
 * `GOLDEN_WRITE=1` regenerates the file; run `npx biome format --write tests` afterwards. Do so only after a
 * deliberate change of a format.
 */
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import type { KeyValueItem } from "../src/core/state/key-value.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { recordExchanges } from "./support/golden-exchanges.js";
import { DECODE_CASES } from "./support/golden-messages.js";
import { readAdmission, readStored, recordStoredForms } from "./support/golden-stored.js";

interface RecordedExample {
  readonly bytes: string;
  readonly read?: unknown;
}
interface Golden {
  readonly read: Record<string, Record<string, RecordedExample>>;
  readonly exchanges: Record<string, unknown>;
  readonly stored: {
    readonly scenario: Record<
      "middle" | "end",
      (RecordedExample & { key: string; mark: number })[]
    >;
    readonly nodes: unknown;
    readonly admission: Record<"window" | "ledger" | "rejections", RecordedExample>;
  };
  readonly readAgain: unknown;
}

const file = new URL("../../../tests/traces/golden-forms.json", import.meta.url);
/** Returns the value as JSON represents it, without undefined fields. */
const toPlainJson = <T>(value: unknown): T => JSON.parse(JSON.stringify(value)) as T;
const decodeExample = (example: RecordedExample): unknown =>
  decode(Buffer.from(example.bytes, "hex"));

/** Decodes the values of the state service in the examples. */
function decodeStoredValues(stored: Golden["stored"]): unknown {
  const items = (examples: Golden["stored"]["scenario"]["end"]): KeyValueItem[] =>
    examples.map((example) => ({
      key: example.key,
      value: decodeExample(example),
      modRevision: example.mark,
    }));
  const { window, ledger, rejections } = stored.admission;
  return {
    middle: readStored(items(stored.scenario.middle)),
    end: readStored(items(stored.scenario.end)),
    admission: readAdmission(
      decodeExample(window),
      decodeExample(ledger),
      decodeExample(rejections),
    ),
  };
}

function generateDecodedExamples(): Record<string, Record<string, unknown>> {
  const examples: Record<string, Record<string, unknown>> = {};
  for (const [kind, { bodies, read }] of Object.entries(DECODE_CASES)) {
    examples[kind] = {};
    for (const [name, body] of Object.entries(bodies)) {
      const bytes = encode(body);
      examples[kind][name] = {
        body: body,
        bytes: bytes.toString("hex"),
        read: read(decode(bytes)),
      };
    }
  }
  return examples;
}

async function generate(): Promise<Golden> {
  const stored = toPlainJson<Golden["stored"]>(await recordStoredForms());
  const parts = {
    exchanges: await recordExchanges(),
    stored: stored,
    readAgain: decodeStoredValues(stored),
  };
  return toPlainJson({ read: generateDecodedExamples(), ...parts });
}

let generation: Promise<Golden> | null = null;
/** Generates the examples once, in the first test that compares them. If this fails, other tests still run. */
function generated(): Promise<Golden> {
  generation ??= generate();
  return generation;
}
if (process.env.GOLDEN_WRITE === "1") {
  writeFileSync(file, `${JSON.stringify(await generated(), null, 2)}\n`);
}
const golden = JSON.parse(readFileSync(file, "utf8")) as Golden;

for (const kind of Object.keys(golden.read)) {
  test(`${kind}: recorded bytes are decoded to the recorded result, and generated examples match`, async () => {
    for (const [name, example] of Object.entries(golden.read[kind]!)) {
      assert.deepEqual(
        toPlainJson(DECODE_CASES[kind]!.read(decodeExample(example))),
        example.read,
        name,
      );
    }
    assert.deepEqual((await generated()).read[kind], golden.read[kind]);
  });
}

test("the generated examples are of the same kinds as the recorded ones", async () => {
  const forms = await generated();
  assert.deepEqual(Object.keys(forms.read), Object.keys(golden.read));
  assert.deepEqual(Object.keys(forms.exchanges), Object.keys(golden.exchanges));
});

for (const counterpart of Object.keys(golden.exchanges)) {
  test(`${counterpart}: requests and responses match the recorded bytes`, async () => {
    assert.deepEqual((await generated()).exchanges[counterpart], golden.exchanges[counterpart]);
  });
}

test("values in the state service and transactions match the recorded bytes", async () => {
  const { stored } = await generated();
  assert.deepEqual(stored.scenario, golden.stored.scenario);
  assert.deepEqual(stored.nodes, golden.stored.nodes);
  assert.deepEqual(stored.admission, golden.stored.admission);
});

test("recorded values of the state service are decoded to the recorded result", () => {
  assert.deepEqual(toPlainJson(decodeStoredValues(golden.stored)), golden.readAgain);
});
