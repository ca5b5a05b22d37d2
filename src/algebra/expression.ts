/**
 * Event algebra for dependencies between jobs, after the paper "An Event Algebra for Specifying and Scheduling
 * Workflows" by Singh, Meredith, Tomlinson and Attie. Equations, sections and examples cited here are those of the
 * paper.
 *
 * An atom is an event name or its complement, written `~name`. A term is a sequence of atoms that must occur in that
 * order. An expression is a sum of terms, that is, a disjunction. Zero is the empty sum; top is the sum that contains
 * the empty sequence. A conjunction is represented as a list of expressions, because residuation distributes over it
 * (Equation 5).
 */

/** An event name, or `~` and an event name for its complement, which states that the event will never occur. */
export type Atom = string;
/** A sequence of atoms that must occur in this order. */
export type Term = readonly Atom[];
/** A sum of terms, at least one of which must be satisfied. */
export type Expression = readonly Term[];

/** The expression that no trace (sequence of events) satisfies. */
export const ZERO: Expression = [];
/** The expression that every trace satisfies. */
export const TOP: Expression = [[]];

/** How the controllers can influence an event (Section 4). */
export interface EventAttributes {
  /** The controllers can make the event occur. */
  readonly triggerable: boolean;
  /** The controllers can prevent the event. */
  readonly rejectable: boolean;
  /** The controllers can delay the event. */
  readonly delayable: boolean;
}

/** Looks up the attributes of an event. */
export type AttributesOf = (event: string) => EventAttributes;

/** The complement of an atom: `~name` for `name`, and `name` for `~name`. */
export const complement = (atom: Atom): Atom => (isComplement(atom) ? atom.slice(1) : `~${atom}`);

/** The event that an atom or its complement names. */
export const eventOf = (atom: Atom): string => (isComplement(atom) ? atom.slice(1) : atom);

/** Whether no trace satisfies the expression. */
export const isZero = (expression: Expression): boolean => expression.length === 0;

/** Whether every trace satisfies the expression. */
export const isTop = (expression: Expression): boolean =>
  expression.some((term) => term.length === 0);

/**
 * Drops duplicate terms, and terms that contain an event twice or together with its complement, because no admissible
 * trace satisfies these. If a term is the empty sequence, the result is top.
 */
export function normalise(terms: Expression): Expression {
  if (isTop(terms)) return TOP;
  const distinct = new Map<string, Term>();
  for (const term of terms) {
    if (isAdmissible(term)) distinct.set(term.join("."), term);
  }
  return [...distinct.values()];
}

/** Parses text of the form `~d + s.d`, in which `0` and `T` stand for zero and top. */
export function parseExpression(text: string): Expression {
  if (text.trim() === "0") return ZERO;
  return normalise(
    text.split("+").map((summand) => {
      const term = summand.trim();
      return term === "T" ? [] : term.split(".").map((atom) => atom.trim());
    }),
  );
}

/** Formats an expression as text that `parseExpression` reads. */
export function formatExpression(expression: Expression): string {
  if (isZero(expression)) return "0";
  return expression.map((term) => (term.length === 0 ? "T" : term.join("."))).join(" + ");
}

/**
 * The residual: the expression that remains to be satisfied once `atom` has occurred (Equations 1 to 4 and 8 to 10).
 */
export function residuate(expression: Expression, atom: Atom): Expression {
  const residuals: Term[] = [];
  for (const term of expression) {
    const residual = residuateTerm(term, atom);
    if (residual !== null) residuals.push(residual);
  }
  return normalise(residuals);
}

/** Whether the expression contains the event of this atom, or its complement. */
export const mentions = (expression: Expression, atom: Atom): boolean =>
  expression.some((term) => term.some((other) => eventOf(other) === eventOf(atom)));

/**
 * Whether the expression is secure, that is, whether no event can force the controllers to violate it. It is secure
 * if the controllers can satisfy some term by triggering and rejecting events, or if for some event outside their
 * full control the residuals are secure both after the event and after its complement. For example, `f + ~f` is
 * always secure (Example 12).
 */
export function isSecure(expression: Expression, attributesOf: AttributesOf): boolean {
  if (isZero(expression)) return false;
  if (isTop(expression)) return true;
  if (expression.some((term) => isControllable(term, attributesOf))) return true;
  const events = new Set(expression.flatMap((term) => term.map(eventOf)));
  for (const event of events) {
    const { triggerable, rejectable } = attributesOf(event);
    if (triggerable && rejectable) continue;
    const isSecureEitherWay =
      isSecure(residuate(expression, event), attributesOf) &&
      isSecure(residuate(expression, `~${event}`), attributesOf);
    if (isSecureEitherWay) return true;
  }
  return false;
}

function isComplement(atom: Atom): boolean {
  return atom.startsWith("~");
}

/**
 * Whether an admissible trace can satisfy the term. In an admissible trace, no event occurs twice or together with
 * its complement.
 */
function isAdmissible(term: Term): boolean {
  return new Set(term.map(eventOf)).size === term.length;
}

/** The residual of one term (Equations 3 and 8 to 10); null stands for zero. */
function residuateTerm(term: Term, atom: Atom): Term | null {
  if (term.length > 0 && term[0] === atom) return term.slice(1);
  const event = eventOf(atom);
  return term.some((other) => eventOf(other) === event) ? null : term;
}

/** Whether the controllers can cause every atom of the term to occur. */
function isControllable(term: Term, attributesOf: AttributesOf): boolean {
  return term.every((atom) =>
    isComplement(atom) ? attributesOf(eventOf(atom)).rejectable : attributesOf(atom).triggerable,
  );
}
