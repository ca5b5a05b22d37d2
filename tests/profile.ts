/**
 * The program behind `npm run profile`: three controllers as processes of their own, stand-in workers, and users who
 * submit and ask; prints where each controller's processor time goes. Figures of stand-ins on loopback.
 */
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Command } from "commander";
import { sleepSeconds } from "../src/time/sleep.js";
import { MultiProcessCluster } from "./support/multi-process-cluster.js";
import type { ProcessProfile } from "./support/profile-hook.js";
import { waitForProcesses } from "./support/waiting.js";

/** The program in many files, so that each sample names its module. */
const PROGRAM = fileURLToPath(new URL("../../main.js", import.meta.url));
const HOOK = new URL("./support/profile-hook.js", import.meta.url).href;
const NODE_COUNT = 3;
const CPUS_PER_MACHINE = 4;
const HEARTBEAT_INTERVAL_S = 3;
const LEASE_S = 21;
const TASKS_PER_JOB = 40;
const ROWS_SHOWN = 40;

interface Options {
  readonly machines: number;
  readonly seconds: number;
  readonly warmUp: number;
  readonly taskSeconds: number;
  readonly questions: number;
  readonly total: boolean;
  readonly program: string;
  readonly flags: string;
  readonly fromStart: boolean;
}

type Profile = NonNullable<ProcessProfile["profile"]>;
type Node = Profile["nodes"][number];

/** Milliseconds by name: `self` without what was called, `inclusive` with it. */
interface ProcessorTimes {
  readonly self: Map<string, number>;
  readonly inclusive: Map<string, number>;
}

/** The module of a frame: a source file of this program, a package, or a module of Node.js. */
function moduleOf({ url, functionName }: Node["callFrame"]): string {
  if (url.startsWith("node:")) return url;
  const packaged = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(url);
  if (packaged !== null) return packaged[1]!;
  const own = /target\/(.+)\.js$/.exec(url);
  return own === null ? functionName || "native" : own[1]!;
}

function processorTimesOf({ nodes, samples, timeDeltas }: Profile): ProcessorTimes {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const parents = new Map<number, number>();
  for (const node of nodes) for (const child of node.children ?? []) parents.set(child, node.id);
  const self = new Map<string, number>();
  const inclusive = new Map<string, number>();
  const add = (times: Map<string, number>, name: string, ms: number): void => {
    times.set(name, (times.get(name) ?? 0) + ms);
  };
  samples?.forEach((id, index) => {
    const ms = (timeDeltas?.[index] ?? 0) / 1000;
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
    .sort((a, b) => b[1] - a[1])
    .slice(0, ROWS_SHOWN)
    .map(([name, ms]) => `  ${(ms / seconds).toFixed(2).padStart(8)} ${name}`);
  return [`${title} (ms a second)`, ...rows].join("\n");
}

function describe(member: string, measured: ProcessProfile): string {
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

/** Users who submit enough jobs to use all machines, and query the jobs that they submitted. */
class SimulatedUsers {
  private next = 0;
  private readonly submitted: string[] = [];
  private stopped = false;

  constructor(
    private readonly site: MultiProcessCluster,
    private readonly options: Options,
  ) {}

  start(): void {
    void this.submitAll();
    void this.askAll();
  }
  stop(): void {
    this.stopped = true;
  }

  private async submitAll(): Promise<void> {
    const { machines, taskSeconds } = this.options;
    const jobsASecond = (machines * CPUS_PER_MACHINE) / TASKS_PER_JOB / taskSeconds;
    while (!this.stopped) {
      const id = `run-${this.next++}`;
      const change = { tasks: TASKS_PER_JOB, estimateS: taskSeconds, memoryGb: 0.1 };
      void this.site
        .submitJobOnce(this.next % NODE_COUNT, id, change)
        .then(({ status }) => status === 201 && this.submitted.push(id));
      await sleepSeconds(1 / jobsASecond);
    }
  }

  private async askAll(): Promise<void> {
    for (let questionCount = 0; !this.stopped; questionCount++) {
      const id = this.submitted[(questionCount * 7) % Math.max(1, this.submitted.length)];
      if (id !== undefined)
        void this.site.queryJob(questionCount % NODE_COUNT, id).catch(() => null);
      await sleepSeconds(1 / this.options.questions);
    }
  }
}

function heartbeatCount(site: MultiProcessCluster): number {
  let count = 0;
  for (const worker of site.cloud.workers.values()) count += worker.sentHeartbeats.length;
  return count;
}

async function measure(options: Options): Promise<string> {
  const dir = mkdtempSync(join(tmpdir(), "peatsaddle-profile-"));
  const files = Array.from({ length: NODE_COUNT }, (_, node) => join(dir, `n${node}.json`));
  const site = await MultiProcessCluster.open({
    taskMs: () => options.taskSeconds * 1000,
    workers: options.machines,
    heartbeat: { everyS: HEARTBEAT_INTERVAL_S, leaseS: LEASE_S },
    nodeArguments: [...options.flags.split(" ").filter((flag) => flag !== ""), "--import", HOOK],
    environment: (node) => ({
      PROFILE_FILE: files[node]!,
      PROFILE_SAMPLED: options.total ? "no" : "yes",
      PROFILE_FROM_START: options.fromStart ? "yes" : "no",
    }),
  });
  try {
    for (let node = 0; node < NODE_COUNT; node++) site.startNode(node, options.program);
    for (let node = 0; node < NODE_COUNT; node++) await site.awaitHealthy(node);
    await waitForProcesses("leadership is acquired", () => site.leaderIndex() >= 0);
    const users = new SimulatedUsers(site, options);
    users.start();
    if (!options.fromStart) await sleepSeconds(options.warmUp);
    const leader = site.leaderIndex();
    const heartbeatsBefore = heartbeatCount(site);
    if (!options.fromStart)
      for (let node = 0; node < NODE_COUNT; node++) site.signalNode(node, "SIGUSR2");
    await sleepSeconds(options.seconds);
    const heartbeatsPerSecond = (heartbeatCount(site) - heartbeatsBefore) / options.seconds;
    for (let node = 0; node < NODE_COUNT; node++) site.signalNode(node, "SIGUSR2");
    await waitForProcesses("profiles are written", () => files.every(existsSync));
    await sleepSeconds(1);
    users.stop();
    const kept =
      site.leaderIndex() === leader ? "one leader" : "the leader changed: figures not comparable";
    const text = files.map((file, node) => {
      const measured = JSON.parse(readFileSync(file, "utf8")) as ProcessProfile;
      return describe(`n${node}${node === leader ? " (leader)" : ""}`, measured);
    });
    return [`${heartbeatsPerSecond.toFixed(0)} heartbeats a second, ${kept}`, ...text].join("\n\n");
  } finally {
    site.close();
  }
}

const options = new Command("profile")
  .description("where the processor time of three controllers goes; figures of stand-ins")
  .option("--machines <n>", "stand-in workers", Number, 720)
  .option("--seconds <n>", "how long is measured", Number, 20)
  .option("--warm-up <n>", "seconds before that", Number, 25)
  .option("--task-seconds <n>", "run time of a task", Number, 40)
  .option("--program <file>", "main.js of another build, to compare with", PROGRAM)
  .option("--flags <flags>", "of Node.js, separated by spaces", "")
  .option("--from-start", "measure from the start of the processes, with no warm-up", false)
  .option("--total", "without samples, which cost processor time themselves", false)
  .option("--questions <n>", "users' questions a second", Number, 20)
  .parse()
  .opts<Options>();
process.stdout.write(`${await measure(options)}\n`);
process.exit(0);
