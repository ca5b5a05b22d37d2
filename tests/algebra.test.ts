import assert from "node:assert/strict";
import { test } from "node:test";
import {
  complement,
  type EventAttributes,
  type Expression,
  eventOf,
  formatExpression,
  isSecure,
  parseExpression,
  residuate,
} from "../src/algebra/expression.js";
import {
  formatResiduals,
  isEventAcceptable,
  ownDependencies,
  requiredStarts,
  residuateByEvent,
} from "../src/core/jobs/pipeline.js";

const after = (text: string, ...atoms: string[]): string =>
  formatExpression(atoms.reduce((e, a) => residuate(e, a), parseExpression(text)));

test("residuation: Figure 2 and Example 8 of the paper", () => {
  const before = "~e + ~f + e.f";
  assert.equal(after(before, "e"), "~f + f");
  assert.equal(after(before, "f"), "~e");
  assert.equal(after(before, "~e"), "T");
  assert.equal(after(before, "e", "f"), "T");
  assert.equal(after(before, "f", "e"), "0");
  const implies = "~e + f";
  assert.equal(after(implies, "e"), "f");
  assert.equal(after(implies, "f"), "T");
  assert.equal(after(implies, "~f"), "~e");
});

test("residuation: Example 14, an abort that must be followed by a start", () => {
  assert.equal(after("~e + f", "e"), "f");
  assert.deepEqual(
    requiredStarts([parseExpression("~s:e + s:f")].map((d) => residuate(d, "s:e"))),
    ["s:f"],
  );
});

test("residuation: an event that is not named changes nothing (Equation 8)", () => {
  assert.equal(after("~e + f", "g"), "~e + f");
});

const ANY: EventAttributes = { triggerable: true, rejectable: true, delayable: true };
const ABORT: EventAttributes = { triggerable: false, rejectable: false, delayable: false };
const START: EventAttributes = { triggerable: true, rejectable: true, delayable: true };

test("security: Examples 12 and 13", () => {
  const abort = (e: string): EventAttributes => (e === "e" ? ABORT : ANY);
  assert.equal(isSecure(parseExpression("~e"), abort), false);
  assert.equal(
    isSecure(parseExpression("~f + f"), () => ABORT),
    true,
  );
  const start = (e: string): EventAttributes => (e === "f" ? START : ABORT);
  assert.equal(isSecure(parseExpression("f"), start), true);
});

/** All admissible traces over the events: each occurs or its complement does, once, in any order. */
function* traces(events: string[], so: string[] = []): Generator<string[]> {
  if (events.length === 0) yield so;
  for (const e of events) {
    const rest = events.filter((x) => x !== e);
    yield* traces(rest, [...so, e]);
    yield* traces(rest, [...so, complement(e)]);
  }
}

const satisfies = (trace: string[], e: Expression): boolean =>
  e.some((term) => {
    let at = 0;
    for (const atom of trace) if (atom === term[at]) at++;
    return at === term.length;
  });

test("residuals agree with enumerating every admissible trace", () => {
  const dependencies = ["~e + ~f + e.f", "~e + f", "e.f.g + ~g", "~e + f.g + g.e", "e.g + f.~g"];
  let checked = 0;
  for (const text of dependencies) {
    const events = [...new Set(parseExpression(text).flatMap((t) => t.map(eventOf)))];
    for (const trace of traces(events)) {
      for (let cut = 0; cut <= trace.length; cut++) {
        const left = trace.slice(0, cut).reduce((e, a) => residuate(e, a), parseExpression(text));
        assert.equal(
          satisfies(trace.slice(cut), left),
          satisfies(trace, parseExpression(text)),
          `${text} over ${trace.join(" ")} cut at ${cut} left ${formatExpression(left)}`,
        );
        checked++;
      }
    }
  }
  assert.equal(checked > 500, true);
});

test("a job's own dependencies let it start once, and never after it failed", () => {
  const fresh = ownDependencies("j");
  assert.equal(isEventAcceptable(fresh, "s:j"), true);
  const started = residuateByEvent(fresh, "s:j");
  assert.deepEqual(formatResiduals(started), ["~d:j + d:j", "~d:j + ~f:j", "~f:j + f:j"]);
  assert.equal(isEventAcceptable(residuateByEvent(fresh, "f:j"), "s:j"), false);
  assert.equal(isEventAcceptable(residuateByEvent(started, "f:j"), "d:j"), false);
  assert.equal(isEventAcceptable(fresh, "d:j"), false);
});

test("in a pipeline of two jobs a failure travels downward", () => {
  const chain = [
    ...ownDependencies("a"),
    ...ownDependencies("b"),
    parseExpression("~s:b + d:a.s:b"),
  ];
  assert.equal(isEventAcceptable(chain, "s:b"), false);
  const done = residuateByEvent(residuateByEvent(chain, "s:a"), "d:a");
  assert.equal(isEventAcceptable(done, "s:b"), true);
  assert.equal(
    isEventAcceptable(residuateByEvent(residuateByEvent(chain, "f:a"), "~d:a"), "s:b"),
    false,
  );
});
