/**
 * Pipelines: jobs bound by dependencies over their start, done and failed events.
 *
 * A submission holds one job, and names those that must be done before it. What is stored of a job are the residuals
 * of its own dependencies and of those on the jobs that it names; the outcome of one of these is an event that
 * residuates them.
 */
import {
  type Atom,
  type EventAttributes,
  type Expression,
  formatExpression,
  isSecure,
  isZero,
  mentions,
  parseExpression,
  residuate,
} from "../../algebra/expression.js";

/** A cancelled job has failed. */
export type JobEvent = "start" | "done" | "failed";

/** How a job ended, as an event for its dependents. */
export type JobOutcome = Exclude<JobEvent, "start">;

const EVENT_PREFIXES: Readonly<Record<JobEvent, string>> = { start: "s", done: "d", failed: "f" };

/** The event's name in expressions: `start` of job `a` is `s:a`, with the signs of the algebra escaped. */
export const eventName = (event: JobEvent, job: string): string =>
  `${EVENT_PREFIXES[event]}:${job.replace(/[.+~]/g, escapeSign)}`;

const escapeSign = (sign: string): string => `%${sign.charCodeAt(0).toString(16)}`;

/** Start is triggered by the controllers. */
const START: EventAttributes = { triggerable: true, rejectable: true, delayable: true };
/** Like commit in the paper: it counts only once the transaction is committed, so it can be delayed and rejected. */
const DONE: EventAttributes = { triggerable: false, rejectable: true, delayable: true };
/** Like abort in the paper: the controllers are told after the fact. */
const FAILED: EventAttributes = { triggerable: false, rejectable: false, delayable: false };

/** Attributes of an event, by its name. */
export function attributesOf(event: string): EventAttributes {
  if (event.startsWith("s:")) return START;
  return event.startsWith("d:") ? DONE : FAILED;
}

/** What every job obeys: start before done, never both done and failed, no start once failed. */
export function ownDependencies(job: string): Expression[] {
  const start = eventName("start", job);
  const done = eventName("done", job);
  const failed = eventName("failed", job);
  return [
    parseExpression(`~${done} + ${start}.${done}`),
    parseExpression(`~${done} + ~${failed}`),
    parseExpression(`~${start} + ~${failed} + ${start}.${failed}`),
  ];
}

/** Its start comes after the other's done; and never, if the other fails. */
export function afterDependencies(job: string, other: string): Expression[] {
  const start = eventName("start", job);
  const otherDone = eventName("done", other);
  const otherFailed = eventName("failed", other);
  return [
    parseExpression(`~${start} + ${otherDone}.${start}`),
    parseExpression(`~${start} + ~${otherFailed}`),
  ];
}

/** All that is stored of a job when it is submitted; `after`: the jobs that must be done before it. */
export const dependenciesOf = (job: string, after: readonly string[]): Expression[] => [
  ...ownDependencies(job),
  ...after.flatMap((other) => afterDependencies(job, other)),
];

/** The other ended: its outcome occurred, and the opposite one never will. */
export function residuateByOutcome(
  dependencies: readonly Expression[],
  other: string,
  outcome: JobOutcome,
): Expression[] {
  const opposite = outcome === "done" ? "failed" : "done";
  const residuated = residuateByEvent(dependencies, eventName(outcome, other));
  return residuateByEvent(residuated, `~${eventName(opposite, other)}`);
}

/** Some residual can only be met if the event never occurs: a start so excluded is rejected for good. */
export const isEventExcluded = (dependencies: readonly Expression[], event: string): boolean =>
  dependencies.some(
    (dependency) => dependency.length > 0 && dependency.every((term) => term.includes(`~${event}`)),
  );

/** Residuals from their stored form. */
export const parseResiduals = (dependencies: readonly string[]): Expression[] =>
  dependencies.map(parseExpression);

/** Residuals in their stored form. */
export const formatResiduals = (dependencies: readonly Expression[]): string[] =>
  dependencies.map(formatExpression);

/** An event that occurred, or never will (its complement), residuates each dependency that names it. */
export function residuateByEvent(dependencies: readonly Expression[], atom: Atom): Expression[] {
  return dependencies.map((dependency) =>
    mentions(dependency, atom) ? residuate(dependency, atom) : dependency,
  );
}

/** A waiting event is accepted when no residual becomes zero and each stays secure. */
export function isEventAcceptable(dependencies: readonly Expression[], event: string): boolean {
  return dependencies.every((dependency) => {
    if (!mentions(dependency, event)) return true;
    const residual = residuate(dependency, event);
    return !isZero(residual) && isSecure(residual, attributesOf);
  });
}

/** Starts that some residual can only be met by: they are triggered and queued as attempted. */
export function requiredStarts(dependencies: readonly Expression[]): string[] {
  const starts = new Set<string>();
  for (const dependency of dependencies) {
    const [first, ...rest] = dependency;
    for (const atom of first ?? []) {
      if (!atom.startsWith("s:")) continue;
      if (rest.every((term) => term.includes(atom))) starts.add(atom);
    }
  }
  return [...starts];
}
