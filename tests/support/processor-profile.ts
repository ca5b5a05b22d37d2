/** Formats the CPU profile of a controller: CPU time by module and by function. */
import type { ProcessProfile } from "./profile-hook.js";

const MAX_TABLE_ROWS = 40;

type Profile = NonNullable<ProcessProfile["profile"]>;
type ProfileNode = Profile["nodes"][number];

/** Milliseconds of CPU time by name: `self` excludes called functions, `inclusive` includes them. */
interface CpuTimes {
  readonly self: Map<string, number>;
  readonly inclusive: Map<string, number>;
}

/** Returns the module of a frame: a file of this project, a package, or a module of Node.js. */
function moduleOf({ url, functionName }: ProfileNode["callFrame"]): string {
  if (url.startsWith("node:")) return url;
  const packageMatch = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(url);
  if (packageMatch !== null) return packageMatch[1]!;
  const projectMatch = /target\/(.+)\.js$/.exec(url);
  return projectMatch === null ? functionName || "native" : projectMatch[1]!;
}

function cpuTimesOf({ nodes, samples, timeDeltas }: Profile): CpuTimes {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const parents = new Map<number, number>();
  for (const { id, children = [] } of nodes) {
    for (const child of children) parents.set(child, id);
  }
  const self = new Map<string, number>();
  const inclusive = new Map<string, number>();
  const addTime = (times: Map<string, number>, name: string, ms: number): void => {
    times.set(name, (times.get(name) ?? 0) + ms);
  };
  samples?.forEach((id, i) => {
    const ms = (timeDeltas?.[i] ?? 0) / 1000;
    addTime(self, moduleOf(byId.get(id)!.callFrame), ms);
    const seen = new Set<string>();
    for (let nodeId: number | undefined = id; nodeId !== undefined; nodeId = parents.get(nodeId)) {
      const { callFrame } = byId.get(nodeId)!;
      seen.add(`${callFrame.functionName || "(anonymous)"} ${moduleOf(callFrame)}`);
    }
    for (const name of seen) addTime(inclusive, name, ms);
  });
  return { self, inclusive };
}

function formatTable(title: string, times: ReadonlyMap<string, number>, seconds: number): string {
  const rows = [...times]
    .filter(([name]) => !name.includes("(idle)") && !name.includes("(root)"))
    .sort(([, msA], [, msB]) => msB - msA)
    .slice(0, MAX_TABLE_ROWS)
    .map(([name, ms]) => `  ${(ms / seconds).toFixed(2).padStart(8)} ${name}`);
  return [`${title} (ms per second)`, ...rows].join("\n");
}

/** Returns the summary of one controller's profile, with tables of CPU time if samples were taken. */
export function describeProfile(member: string, measurements: ProcessProfile): string {
  const { seconds, cpuMs, gcMs, gcRuns, residentMb, heapMb, profile } = measurements;
  const summary =
    `${member}: ${(cpuMs / seconds).toFixed(1)} ms of CPU time per second, ` +
    `garbage collection ${(gcMs / seconds).toFixed(2)} ms in ${(gcRuns / seconds).toFixed(2)} runs, ` +
    `resident ${residentMb.toFixed(0)} MB, heap ${heapMb.toFixed(0)} MB`;
  if (profile === null) return summary;
  const { self, inclusive } = cpuTimesOf(profile);
  return [
    summary,
    formatTable("  by module, without called functions", self, seconds),
    formatTable("  by function, with called functions", inclusive, seconds),
  ].join("\n");
}
