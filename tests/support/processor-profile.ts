/** What a controller's profile says: where its processor time went, by module and by function. */
import type { ProcessProfile } from "./profile-hook.js";

const ROWS_SHOWN = 40;

type Profile = NonNullable<ProcessProfile["profile"]>;
type ProfileNode = Profile["nodes"][number];

/** Milliseconds by name: `self` without what was called, `inclusive` with it. */
interface ProcessorTimes {
  readonly self: Map<string, number>;
  readonly inclusive: Map<string, number>;
}

/** The module of a frame: a file of ours, a package, or a part of Node.js. */
function moduleOf({ url, functionName }: ProfileNode["callFrame"]): string {
  if (url.startsWith("node:")) return url;
  const packaged = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(url);
  if (packaged !== null) return packaged[1]!;
  const own = /target\/(.+)\.js$/.exec(url);
  return own === null ? functionName || "native" : own[1]!;
}

function processorTimesOf({ nodes, samples, timeDeltas }: Profile): ProcessorTimes {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const parents = new Map<number, number>();
  for (const { id, children = [] } of nodes) {
    for (const child of children) parents.set(child, id);
  }
  const self = new Map<string, number>();
  const inclusive = new Map<string, number>();
  const add = (times: Map<string, number>, name: string, ms: number): void => {
    times.set(name, (times.get(name) ?? 0) + ms);
  };
  samples?.forEach((id, i) => {
    const ms = (timeDeltas?.[i] ?? 0) / 1000;
    add(self, moduleOf(byId.get(id)!.callFrame), ms);
    const seen = new Set<string>();
    for (let at: number | undefined = id; at !== undefined; at = parents.get(at)) {
      const { callFrame } = byId.get(at)!;
      seen.add(`${callFrame.functionName || "(anonymous)"} ${moduleOf(callFrame)}`);
    }
    for (const name of seen) add(inclusive, name, ms);
  });
  return { self, inclusive };
}

function table(title: string, times: ReadonlyMap<string, number>, seconds: number): string {
  const rows = [...times]
    .filter(([name]) => !name.includes("(idle)") && !name.includes("(root)"))
    .sort(([, msA], [, msB]) => msB - msA)
    .slice(0, ROWS_SHOWN)
    .map(([name, ms]) => `  ${(ms / seconds).toFixed(2).padStart(8)} ${name}`);
  return [`${title} (ms a second)`, ...rows].join("\n");
}

/** One controller's figures, with tables unless it took no samples. */
export function describeProfile(member: string, measured: ProcessProfile): string {
  const { seconds, cpuMs, gcMs, gcRuns, residentMb, heapMb, profile } = measured;
  const summary =
    `${member}: ${(cpuMs / seconds).toFixed(1)} ms of processor time a second, ` +
    `garbage collection ${(gcMs / seconds).toFixed(2)} ms in ${(gcRuns / seconds).toFixed(2)} runs, ` +
    `resident ${residentMb.toFixed(0)} MB, heap ${heapMb.toFixed(0)} MB`;
  if (profile === null) return summary;
  const { self, inclusive } = processorTimesOf(profile);
  return [
    summary,
    table("  by module, without what it calls", self, seconds),
    table("  by function, with what it calls", inclusive, seconds),
  ].join("\n");
}
