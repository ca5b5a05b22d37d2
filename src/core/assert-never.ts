/** Exhaustiveness check for discriminated unions. */

/** Thrown when a value reaches a branch that the type system holds impossible. */
export class UnreachableCaseError extends Error {
  readonly code = "ERR_UNREACHABLE_CASE";

  constructor(value: never) {
    super(`unreachable case: ${JSON.stringify(value)}`);
    this.name = "UnreachableCaseError";
  }
}

/** The default branch of an exhaustive switch: does not compile while a case is missing. */
export function assertNever(value: never): never {
  throw new UnreachableCaseError(value);
}
