/**
 * The event algebra: examples of the paper that the source code cites, and a comparison with all admissible traces.
 */
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

const residuateAll = (expression: Expression, atoms: readonly string[]): Expression =>
  atoms.reduce((residual, atom) => residuate(residual, atom), expression);

const residualText = (text: string, ...atoms: string[]): string =>
  formatExpression(residuateAll(parseExpression(text), atoms));

test("residuation yields the results of Figure 2 and Example 8 of the paper", () => {
  const before = "~e + ~f + e.f";
  assert.equal(residualText(before, "e"), "~f + f");
  assert.equal(residualText(before, "f"), "~e");
  assert.equal(residualText(before, "~e"), "T");
  assert.equal(residualText(before, "e", "f"), "T");
  assert.equal(residualText(before, "f", "e"), "0");
  const implies = "~e + f";
  assert.equal(residualText(implies, "e"), "f");
  assert.equal(residualText(implies, "f"), "T");
  assert.equal(residualText(implies, "~f"), "~e");
});

test("residuation requires a start after an abort, as in Example 14 of the paper", () => {
  assert.equal(residualText("~e + f", "e"), "f");
  assert.deepEqual(
    requiredStarts(
      [parseExpression("~s:e + s:f")].map((dependency) => residuate(dependency, "s:e")),
    ),
    ["s:f"],
  );
});

test("residuation by an event that is not in the expression changes nothing (Equation 8 of the paper)", () => {
  assert.equal(residualText("~e + f", "g"), "~e + f");
});

const ANY: EventAttributes = { triggerable: true, rejectable: true, delayable: true };
const ABORT: EventAttributes = { triggerable: false, rejectable: false, delayable: false };
const START: EventAttributes = { triggerable: true, rejectable: true, delayable: true };

test("security is decided as in Examples 12 and 13 of the paper", () => {
  const abort = (event: string): EventAttributes => (event === "e" ? ABORT : ANY);
  assert.equal(isSecure(parseExpression("~e"), abort), false);
  assert.equal(
    isSecure(parseExpression("~f + f"), () => ABORT),
    true,
  );
  const start = (event: string): EventAttributes => (event === "f" ? START : ABORT);
  assert.equal(isSecure(parseExpression("f"), start), true);
});

/** All admissible traces over the events: of each event, either it or its complement occurs once, in any order. */
function* traces(events: string[], prefix: string[] = []): Generator<string[]> {
  if (events.length === 0) yield prefix;
  for (const event of events) {
    const rest = events.filter((other) => other !== event);
    yield* traces(rest, [...prefix, event]);
    yield* traces(rest, [...prefix, complement(event)]);
  }
}

const satisfies = (trace: string[], expression: Expression): boolean =>
  expression.some((term) => {
    let matched = 0;
    for (const atom of trace) {
      if (atom === term[matched]) matched++;
    }
    return matched === term.length;
  });

test("residuals agree with an enumeration of every admissible trace", () => {
  const dependencies = ["~e + ~f + e.f", "~e + f", "e.f.g + ~g", "~e + f.g + g.e", "e.g + f.~g"];
  let checked = 0;
  for (const text of dependencies) {
    const events = [...new Set(parseExpression(text).flatMap((term) => term.map(eventOf)))];
    for (const trace of traces(events)) {
      for (let occurred = 0; occurred <= trace.length; occurred++) {
        const residual = residuateAll(parseExpression(text), trace.slice(0, occurred));
        assert.equal(
          satisfies(trace.slice(occurred), residual),
          satisfies(trace, parseExpression(text)),
          `${text} over ${trace.join(" ")} after ${occurred} events, residual ${formatExpression(residual)}`,
        );
        checked++;
      }
    }
  }
  assert.equal(checked > 500, true);
});

test("a job's own dependencies allow one start, and none after a failure", () => {
  const fresh = ownDependencies("j");
  assert.equal(isEventAcceptable(fresh, "s:j"), true);
  const started = residuateByEvent(fresh, "s:j");
  assert.deepEqual(formatResiduals(started), ["~d:j + d:j", "~d:j + ~f:j", "~f:j + f:j"]);
  assert.equal(isEventAcceptable(residuateByEvent(fresh, "f:j"), "s:j"), false);
  assert.equal(isEventAcceptable(residuateByEvent(started, "f:j"), "d:j"), false);
  assert.equal(isEventAcceptable(fresh, "d:j"), false);
});

test("in a pipeline of two jobs a failure propagates to the dependent job", () => {
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
