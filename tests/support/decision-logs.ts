/** Compares the decision logs of several controllers, which must decide alike. */
import assert from "node:assert/strict";

/** One line of a decision log, as parsed from JSON. */
export type DecisionLine = Readonly<Record<string, unknown>>;

/** A section of a log between two re-reads of the state, in which the controller applied change by change. */
interface Section {
  /** Revision of the re-read, whose own decisions are not in the section. */
  readonly fromRevision: number;
  toRevision: number;
  /** Rejections of windows up to this one are not in the section. */
  readonly window: number;
  readonly linesByRevision: Map<number, DecisionLine[]>;
}

function sectionsOf(log: readonly DecisionLine[]): Section[] {
  const sections: Section[] = [];
  for (const line of log) {
    const revision = Number(line.revision);
    if (line.kind === "reread") {
      sections.push({
        fromRevision: revision,
        toRevision: revision,
        window: Number(line.window),
        linesByRevision: new Map(),
      });
      continue;
    }
    const section = sections.at(-1);
    assert.ok(section !== undefined, "a log begins with a reread");
    section.toRevision = revision;
    const { linesByRevision } = section;
    linesByRevision.set(revision, [...(linesByRevision.get(revision) ?? []), line]);
  }
  return sections;
}

/** The lines of one revision as text, without rejections of windows up to this one. */
const textAfterWindow = (lines: readonly DecisionLine[] | undefined, window: number): string =>
  (lines ?? [])
    .filter((line) => line.kind !== "reject" || Number(line.window) > window)
    .map((line) => JSON.stringify(line))
    .join("\n");

/**
 * Asserts that the lines of any two controllers are the same wherever both applied change by change. Returns how many
 * revisions with any decision were compared.
 */
export function compareDecisionLogs(logs: readonly (readonly DecisionLine[])[]): number {
  const sectionsByLog = logs.map(sectionsOf);
  const compared = new Set<number>();
  for (const [index, sections] of sectionsByLog.entries()) {
    for (const otherSections of sectionsByLog.slice(index + 1)) {
      for (const a of sections) {
        for (const b of otherSections) compareSections(a, b, compared);
      }
    }
  }
  return compared.size;
}

function compareSections(a: Section, b: Section, compared: Set<number>): void {
  const from = Math.max(a.fromRevision, b.fromRevision);
  const to = Math.min(a.toRevision, b.toRevision);
  const window = Math.max(a.window, b.window);
  for (const revision of new Set([...a.linesByRevision.keys(), ...b.linesByRevision.keys()])) {
    if (revision <= from || revision > to) continue;
    const expected = textAfterWindow(a.linesByRevision.get(revision), window);
    const actual = textAfterWindow(b.linesByRevision.get(revision), window);
    assert.equal(actual, expected, `revision ${revision}`);
    compared.add(revision);
  }
}
