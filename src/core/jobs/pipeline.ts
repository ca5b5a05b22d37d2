/**
 * Pipelines: jobs linked by dependencies between their start, done and failed events.
 *
 * A submission contains one job and names the jobs that must be done before it. Its dependencies are those between
 * its own events (`ownDependencies`) and those on the jobs that it names (`afterDependencies`). Each is an expression
 * of the event algebra in `algebra/expression.ts`. To residuate an expression by an event is to reduce it to its
 * residual: the part that remains to be satisfied after the event. The stored record of a job contains the residuals
 * of all its dependencies. They are residuated again by the outcome of each named job.
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

/** An event of a job. The cancellation of a job is its failed event. */
export type JobEvent = "start" | "done" | "failed";

/** The outcome of a job, as an event for its dependents. */
export type JobOutcome = Exclude<JobEvent, "start">;

const EVENT_PREFIXES: Readonly<Record<JobEvent, string>> = { start: "s", done: "d", failed: "f" };

/**
 * The event's name in expressions: `start` of job `a` is `s:a`. Characters of the job id that are operators of the
 * algebra are escaped.
 */
export const eventName = (event: JobEvent, job: string): string =>
  `${EVENT_PREFIXES[event]}:${job.replace(/[.+~]/g, escapeOperator)}`;

const escapeOperator = (character: string): string => `%${character.charCodeAt(0).toString(16)}`;

/** The controllers decide whether and when a job starts: they can trigger, reject and delay the event. */
const START: EventAttributes = { triggerable: true, rejectable: true, delayable: true };
/**
 * Corresponds to the commit event in the paper that is cited in `algebra/expression.ts`. It occurs only when the
 * transaction that stores it commits, so the controllers can delay and reject it.
 */
const DONE: EventAttributes = { triggerable: false, rejectable: true, delayable: true };
/** Corresponds to the abort event in that paper: the controllers learn of it only after it has occurred. */
const FAILED: EventAttributes = { triggerable: false, rejectable: false, delayable: false };

/** Returns the attributes of an event, given its name. */
export function attributesOf(event: string): EventAttributes {
  if (event.startsWith("s:")) return START;
  return event.startsWith("d:") ? DONE : FAILED;
}

/** Dependencies that hold for every job: start before done, never both done and failed, no start after failed. */
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

/** Dependencies of `job` on `other`: `job` starts only after `other` is done, and never if `other` fails. */
export function afterDependencies(job: string, other: string): Expression[] {
  const start = eventName("start", job);
  const otherDone = eventName("done", other);
  const otherFailed = eventName("failed", other);
  return [
    parseExpression(`~${start} + ${otherDone}.${start}`),
    parseExpression(`~${start} + ~${otherFailed}`),
  ];
}

/** All dependencies stored with a new job. `after`: the jobs that must be done before it. */
export const dependenciesOf = (job: string, after: readonly string[]): Expression[] => [
  ...ownDependencies(job),
  ...after.flatMap((other) => afterDependencies(job, other)),
];

/**
 * Residuates the dependencies by the outcome of `other`. Also residuates them by the complement of the opposite
 * outcome, because that can no longer occur.
 */
export function residuateByOutcome(
  dependencies: readonly Expression[],
  other: string,
  outcome: JobOutcome,
): Expression[] {
  const opposite = outcome === "done" ? "failed" : "done";
  const residuated = residuateByEvent(dependencies, eventName(outcome, other));
  return residuateByEvent(residuated, `~${eventName(opposite, other)}`);
}

/**
 * Whether some residual can be satisfied only if the event never occurs, that is, each of its terms contains the
 * event's complement. A job whose start event is excluded can never start.
 */
export const isEventExcluded = (dependencies: readonly Expression[], event: string): boolean =>
  dependencies.some(
    (dependency) => dependency.length > 0 && dependency.every((term) => term.includes(`~${event}`)),
  );

/** Parses residuals from their stored form. */
export const parseResiduals = (dependencies: readonly string[]): Expression[] =>
  dependencies.map(parseExpression);

/** Formats residuals in their stored form. */
export const formatResiduals = (dependencies: readonly Expression[]): string[] =>
  dependencies.map(formatExpression);

/**
 * Residuates each dependency that mentions the atom's event. The atom is the event, which has occurred, or its
 * complement, which means that the event will never occur.
 */
export function residuateByEvent(dependencies: readonly Expression[], atom: Atom): Expression[] {
  return dependencies.map((dependency) =>
    mentions(dependency, atom) ? residuate(dependency, atom) : dependency,
  );
}

/**
 * Whether an attempted event can be accepted now. After it, each residual that mentions it must still be satisfiable
 * (not zero), and no later event may force a violation of it (`isSecure`).
 */
export function isEventAcceptable(dependencies: readonly Expression[], event: string): boolean {
  return dependencies.every((dependency) => {
    if (!mentions(dependency, event)) return true;
    const residual = residuate(dependency, event);
    return !isZero(residual) && isSecure(residual, attributesOf);
  });
}

/**
 * Start events without which some residual cannot be satisfied: they occur in every term of it. The caller must
 * trigger them, that is, queue them as attempted events.
 */
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
