/**
 * Event expressions as sums of sequences, after Singh, Meredith, Tomlinson and Attie.
 *
 * An atom is an event name or its complement, written `~name`. A term is a sequence of atoms that must occur in that order;
 * an expression is a sum of terms. Zero is the empty sum, top the sum that contains the empty sequence. Conjunction is not
 * part of an expression but a list of dependencies, because residuation distributes over it (Equation 5).
 */

/** An event name, or `~` and an event name for its complement: the event will never occur. */
export type Atom = string;
/** A sequence of atoms, which must occur in this order. */
export type Term = readonly Atom[];
/** A sum of terms, of which one must be met. */
export type Expression = readonly Term[];

/** The expression that no trace meets. */
export const ZERO: Expression = [];
/** The expression that every trace meets. */
export const TOP: Expression = [[]];

/** What the controllers can do about an event (Section 4 of the paper). */
export interface EventAttributes {
  /** They can make it occur. */
  readonly triggerable: boolean;
  /** They can keep it from occurring. */
  readonly rejectable: boolean;
  /** They can make it occur later. */
  readonly delayable: boolean;
}

/** Looks up the attributes of an event. */
export type AttributesOf = (event: string) => EventAttributes;

/** The complement of an atom: of `name` it is `~name`, and the reverse. */
export const complement = (atom: Atom): Atom => (isComplement(atom) ? atom.slice(1) : `~${atom}`);

/** The event that an atom or its complement names. */
export const eventOf = (atom: Atom): string => (isComplement(atom) ? atom.slice(1) : atom);

/** Can no trace meet the expression? */
export const isZero = (expression: Expression): boolean => expression.length === 0;

/** Does every trace meet the expression? */
export const isTop = (expression: Expression): boolean =>
  expression.some((term) => term.length === 0);

/** Drops repeated terms and those that no admissible trace meets; top absorbs all others. */
export function normalise(terms: Expression): Expression {
  if (isTop(terms)) return TOP;
  const distinct = new Map<string, Term>();
  for (const term of terms) {
    if (isAdmissible(term)) distinct.set(term.join("."), term);
  }
  return [...distinct.values()];
}

/** Parses the form `~d + s.d`; `0` and `T` stand for zero and top. */
export function parseExpression(text: string): Expression {
  if (text.trim() === "0") return ZERO;
  return normalise(
    text.split("+").map((summand) => {
      const term = summand.trim();
      return term === "T" ? [] : term.split(".").map((atom) => atom.trim());
    }),
  );
}

/** The text that `parseExpression` reads. */
export function formatExpression(expression: Expression): string {
  if (isZero(expression)) return "0";
  return expression.map((term) => (term.length === 0 ? "T" : term.join("."))).join(" + ");
}

/** The residual: what remains to be met once `atom` has occurred (Equations 1 to 4 and 8 to 10). */
export function residuate(expression: Expression, atom: Atom): Expression {
  const residuals: Term[] = [];
  for (const term of expression) {
    const residual = residuateTerm(term, atom);
    if (residual !== null) residuals.push(residual);
  }
  return normalise(residuals);
}

/** Does the expression name the event of this atom? */
export const mentions = (expression: Expression, atom: Atom): boolean =>
  expression.some((term) => term.some((other) => eventOf(other) === eventOf(atom)));

/**
 * Is the state secure, so that the controllers cannot be forced to violate the dependency? Either some term can be met by
 * triggering and rejecting alone, or there is an event outside their control after which, whether it occurs or not, the
 * residual is secure (so `f + ~f` always is, as in Example 12).
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

/** No admissible trace repeats an event or contains both the event and its complement. */
function isAdmissible(term: Term): boolean {
  return new Set(term.map(eventOf)).size === term.length;
}

/** Equations 3 and 8 to 10 for one sequence; null stands for zero. */
function residuateTerm(term: Term, atom: Atom): Term | null {
  if (term.length > 0 && term[0] === atom) return term.slice(1);
  const event = eventOf(atom);
  return term.some((other) => eventOf(other) === event) ? null : term;
}

/** Can the controllers bring about every atom of the term? */
function isControllable(term: Term, attributesOf: AttributesOf): boolean {
  return term.every((atom) =>
    isComplement(atom) ? attributesOf(eventOf(atom)).rejectable : attributesOf(atom).triggerable,
  );
}
