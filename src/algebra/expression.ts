/**
 * Event expressions as sums of sequences, after Singh, Meredith, Tomlinson and Attie.
 *
 * An atom is an event name or its complement, written `~name`. A term is a sequence of atoms that
 * must occur in that order; an expression is a sum of terms. Zero is the empty sum, top the sum
 * that holds the empty sequence. Conjunction is kept outside, as a list of dependencies, because
 * residuation distributes over it (Equation 5).
 */
export type Atom = string;
export type Term = readonly Atom[];
export type Expression = readonly Term[];

export const ZERO: Expression = [];
export const TOP: Expression = [[]];

/** What the controllers can do about an event (Section 4 of the paper). */
export interface EventAttributes {
  readonly triggerable: boolean;
  readonly rejectable: boolean;
  readonly delayable: boolean;
}
export type AttributesOf = (event: string) => EventAttributes;

export const complement = (atom: Atom): Atom => (atom.startsWith("~") ? atom.slice(1) : `~${atom}`);
export const eventOf = (atom: Atom): string => (atom.startsWith("~") ? atom.slice(1) : atom);
export const isZero = (e: Expression): boolean => e.length === 0;
export const isTop = (e: Expression): boolean => e.some((t) => t.length === 0);

/** No admissible trace repeats an event or holds it beside its complement. */
function isAdmissible(term: Term): boolean {
  return new Set(term.map(eventOf)).size === term.length;
}

/** Drops terms that no admissible trace meets, and repeats; top absorbs the rest. */
export function normalise(terms: Expression): Expression {
  if (isTop(terms)) return TOP;
  const seen = new Map<string, Term>();
  for (const t of terms) if (isAdmissible(t)) seen.set(t.join("."), t);
  return [...seen.values()];
}

/** Reads `~d + s.d`; `0` and `T` stand for zero and top. */
export function parseExpression(text: string): Expression {
  if (text.trim() === "0") return ZERO;
  return normalise(
    text.split("+").map((part) => {
      const t = part.trim();
      return t === "T" ? [] : t.split(".").map((a) => a.trim());
    }),
  );
}

export function formatExpression(e: Expression): string {
  if (isZero(e)) return "0";
  return e.map((t) => (t.length === 0 ? "T" : t.join("."))).join(" + ");
}

/** Equations 3 and 8 to 10 for one sequence: null stands for zero. */
function residuateTerm(term: Term, atom: Atom): Term | null {
  if (term.length > 0 && term[0] === atom) return term.slice(1);
  const event = eventOf(atom);
  return term.some((a) => eventOf(a) === event) ? null : term;
}

/** What is left to be met once `atom` has occurred (Equations 1 to 4 and 8 to 10). */
export function residuate(e: Expression, atom: Atom): Expression {
  const left: Term[] = [];
  for (const t of e) {
    const r = residuateTerm(t, atom);
    if (r !== null) left.push(r);
  }
  return normalise(left);
}

export const mentions = (e: Expression, atom: Atom): boolean =>
  e.some((t) => t.some((a) => eventOf(a) === eventOf(atom)));

function isControllable(term: Term, of: AttributesOf): boolean {
  return term.every((a) => (a.startsWith("~") ? of(eventOf(a)).rejectable : of(a).triggerable));
}

/**
 * A state is secure when the controllers cannot be forced to break the dependency: some term can
 * be met by triggering and rejecting alone, or, whichever way an event outside their control
 * falls, what is left is secure (so `f + ~f` always is, as in Example 12).
 */
export function isSecure(e: Expression, of: AttributesOf): boolean {
  if (isZero(e)) return false;
  if (isTop(e) || e.some((t) => isControllable(t, of))) return true;
  const events = new Set(e.flatMap((t) => t.map(eventOf)));
  for (const event of events) {
    const a = of(event);
    if (a.triggerable && a.rejectable) continue;
    if (isSecure(residuate(e, event), of) && isSecure(residuate(e, `~${event}`), of)) return true;
  }
  return false;
}
