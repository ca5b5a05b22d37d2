/** Exhaustiveness check for discriminated unions. */

/** Thrown when a value reaches a branch that is unreachable according to its type. */
export class UnreachableCaseError extends Error {
  readonly code = "ERR_UNREACHABLE_CASE";

  constructor(value: never) {
    super(`unreachable case: ${JSON.stringify(value)}`);
    this.name = "UnreachableCaseError";
  }
}

/** For the default branch of an exhaustive switch: a missing case is a compile error. */
export function assertNever(value: never): never {
  throw new UnreachableCaseError(value);
}
