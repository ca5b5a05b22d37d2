/** Compares the admission decision logs of several controllers, which must reach the same decisions. */
import assert from "node:assert/strict";

/** One line of a decision log, as parsed from JSON. */
export type DecisionLine = Readonly<Record<string, unknown>>;

/** The part of a log between two full reads of the state, in which the controller applied individual changes. */
interface LogSection {
  /** Revision of the full read that starts the section; the decisions up to this revision are not in the section. */
  readonly fromRevision: number;
  toRevision: number;
  /** Rejections of windows up to this version are not in the section. */
  readonly window: number;
  readonly linesByRevision: Map<number, DecisionLine[]>;
}

function sectionsOf(log: readonly DecisionLine[]): LogSection[] {
  const sections: LogSection[] = [];
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
    assert.ok(section !== undefined, "the decision log does not start with a reread");
    section.toRevision = revision;
    const { linesByRevision } = section;
    linesByRevision.set(revision, [...(linesByRevision.get(revision) ?? []), line]);
  }
  return sections;
}

/** The lines of one revision as text, without rejections of windows up to version `window`. */
const textAfterWindow = (lines: readonly DecisionLine[] | undefined, window: number): string =>
  (lines ?? [])
    .filter((line) => line.kind !== "reject" || Number(line.window) > window)
    .map((line) => JSON.stringify(line))
    .join("\n");

/**
 * Asserts that the lines of any two controllers are equal at all revisions at which both applied individual changes.
 * Returns the number of compared revisions, each of which has at least one decision.
 */
export function compareDecisionLogs(logs: readonly (readonly DecisionLine[])[]): number {
  const sectionsByLog = logs.map(sectionsOf);
  const compared = new Set<number>();
  for (const [index, sections] of sectionsByLog.entries()) {
    for (const otherSections of sectionsByLog.slice(index + 1)) {
      for (const section of sections) {
        for (const otherSection of otherSections) compareSections(section, otherSection, compared);
      }
    }
  }
  return compared.size;
}

function compareSections(first: LogSection, second: LogSection, compared: Set<number>): void {
  const from = Math.max(first.fromRevision, second.fromRevision);
  const to = Math.min(first.toRevision, second.toRevision);
  const window = Math.max(first.window, second.window);
  for (const revision of new Set([
    ...first.linesByRevision.keys(),
    ...second.linesByRevision.keys(),
  ])) {
    if (revision <= from || revision > to) continue;
    const expected = textAfterWindow(first.linesByRevision.get(revision), window);
    const actual = textAfterWindow(second.linesByRevision.get(revision), window);
    assert.equal(actual, expected, `revision ${revision}`);
    compared.add(revision);
  }
}
