/** Holds the decision logs of several controllers against one another. */
import assert from "node:assert/strict";

export type DecisionLine = Readonly<Record<string, unknown>>;

/** A stretch of a log in which the controller read change by change. */
interface Stretch {
  readonly from: number;
  to: number;
  /** Rejections of windows up to this one are not in it. */
  readonly window: number;
  readonly lines: Map<number, DecisionLine[]>;
}

function stretchesOf(log: readonly DecisionLine[]): Stretch[] {
  const out: Stretch[] = [];
  for (const line of log) {
    const revision = Number(line.revision);
    if (line.kind === "reread") {
      out.push({ from: revision, to: revision, window: Number(line.window), lines: new Map() });
      continue;
    }
    const stretch = out.at(-1);
    assert.ok(stretch !== undefined, "a log begins with a reread");
    stretch.to = revision;
    stretch.lines.set(revision, [...(stretch.lines.get(revision) ?? []), line]);
  }
  return out;
}

const text = (lines: readonly DecisionLine[] | undefined, window: number): string =>
  (lines ?? [])
    .filter((line) => line.kind !== "reject" || Number(line.window) > window)
    .map((line) => JSON.stringify(line))
    .join("\n");

/**
 * Wherever two controllers both read change by change, their lines are the same. Returns how many revisions with any
 * decision were compared.
 */
export function compareDecisionLogs(logs: readonly (readonly DecisionLine[])[]): number {
  const all = logs.map(stretchesOf);
  const compared = new Set<number>();
  for (const [i, one] of all.entries()) {
    for (const other of all.slice(i + 1)) {
      for (const a of one) for (const b of other) compareStretches(a, b, compared);
    }
  }
  return compared.size;
}

function compareStretches(a: Stretch, b: Stretch, compared: Set<number>): void {
  const from = Math.max(a.from, b.from);
  const to = Math.min(a.to, b.to);
  const window = Math.max(a.window, b.window);
  for (const revision of new Set([...a.lines.keys(), ...b.lines.keys()])) {
    if (revision <= from || revision > to) continue;
    const expected = text(a.lines.get(revision), window);
    assert.equal(text(b.lines.get(revision), window), expected, `revision ${revision}`);
    compared.add(revision);
  }
}
