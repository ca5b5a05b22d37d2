/**
 * Pipelines: jobs bound by dependencies over their start, done and failed events.
 *
 * The users' interface carries one job a submission, and names those that must be done before it. What is
 * stored of a job are the residuals of its own dependencies and of those on the jobs it names; an end of one
 * of these is an event that residuates them.
 */
import {
  type EventAttributes,
  type Expression,
  formatExpression,
  isSecure,
  isZero,
  mentions,
  parseExpression,
  residuate,
} from "../../algebra/expression.js";

export type JobEvent = "start" | "done" | "failed";

/** `start` of job `a` is the event `s:a`. */
const PREFIX: Record<JobEvent, string> = { start: "s", done: "d", failed: "f" };
export const eventName = (event: JobEvent, job: string): string =>
  `${PREFIX[event]}:${job.replace(/[.+~]/g, (c) => `%${c.charCodeAt(0).toString(16)}`)}`;

/**
 * Start is triggered by the controllers. Done is like commit in the paper: it counts only once the
 * conditional write is through, so it can be delayed and rejected. Failed is like abort: the
 * controllers are told after the fact.
 */
const START: EventAttributes = { triggerable: true, rejectable: true, delayable: true };
const DONE: EventAttributes = { triggerable: false, rejectable: true, delayable: true };
const FAILED: EventAttributes = { triggerable: false, rejectable: false, delayable: false };
export const attributesOf = (event: string): EventAttributes =>
  event.startsWith("s:") ? START : event.startsWith("d:") ? DONE : FAILED;

/** What every job obeys: start before done, never both done and failed, no start once failed. */
export function ownDependencies(job: string): Expression[] {
  const s = eventName("start", job);
  const d = eventName("done", job);
  const f = eventName("failed", job);
  return [
    parseExpression(`~${d} + ${s}.${d}`),
    parseExpression(`~${d} + ~${f}`),
    parseExpression(`~${s} + ~${f} + ${s}.${f}`),
  ];
}

/** Its start comes after the other's done; and never, if the other fails. */
export function afterDependencies(job: string, other: string): Expression[] {
  const s = eventName("start", job);
  const d = eventName("done", other);
  const f = eventName("failed", other);
  return [parseExpression(`~${s} + ${d}.${s}`), parseExpression(`~${s} + ~${f}`)];
}

/** All that is stored of a job when it is submitted. */
export const dependenciesOf = (job: string, after: readonly string[]): Expression[] => [
  ...ownDependencies(job),
  ...after.flatMap((other) => afterDependencies(job, other)),
];

/** The other ended: the event, and that its opposite never occurs (done and failed exclude each other). */
export function residuateByOutcome(
  dependencies: readonly Expression[],
  other: string,
  how: "done" | "failed",
): Expression[] {
  const never = how === "done" ? "failed" : "done";
  const once = residuateByEvent(dependencies, eventName(how, other));
  return residuateByEvent(once, `~${eventName(never, other)}`);
}

/** Some residual can only be met if the event never occurs: a start so demanded is rejected for good. */
export const isEventExcluded = (dependencies: readonly Expression[], atom: string): boolean =>
  dependencies.some((d) => d.length > 0 && d.every((t) => t.includes(`~${atom}`)));

export const parseResiduals = (dependencies: readonly string[]): Expression[] =>
  dependencies.map(parseExpression);
export const formatResiduals = (dependencies: readonly Expression[]): string[] =>
  dependencies.map(formatExpression);

/** An event that occurred residuates each dependency that names it. */
export function residuateByEvent(dependencies: readonly Expression[], atom: string): Expression[] {
  return dependencies.map((d) => (mentions(d, atom) ? residuate(d, atom) : d));
}

/** A waiting event is accepted when no residual becomes zero and each stays secure. */
export function isEventAcceptable(dependencies: readonly Expression[], atom: string): boolean {
  return dependencies.every((d) => {
    if (!mentions(d, atom)) return true;
    const next = residuate(d, atom);
    return !isZero(next) && isSecure(next, attributesOf);
  });
}

/** Starts that some residual can only be met by: they are triggered and queued as attempted. */
export function requiredStarts(dependencies: readonly Expression[]): string[] {
  const out = new Set<string>();
  for (const d of dependencies) {
    if (d.length === 0) continue;
    const [first, ...rest] = d;
    for (const atom of first ?? []) {
      if (atom.startsWith("s:") && rest.every((t) => t.includes(atom))) out.add(atom);
    }
  }
  return [...out];
}
