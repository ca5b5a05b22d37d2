/**
 * The program of `npm run profile`: runs three controller processes with stand-in workers and with users who submit
 * and query jobs, and prints the CPU time of each controller. The measurements are made with stand-ins on loopback.
 */
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Command } from "commander";
import { sleepSeconds } from "../src/time/sleep.js";
import { MultiProcessCluster } from "./support/multi-process-cluster.js";
import { describeProfile } from "./support/processor-profile.js";
import type { ProcessProfile } from "./support/profile-hook.js";
import { ProfileLoad, type ProfileLoadOptions } from "./support/profile-load.js";
import { waitForProcesses } from "./support/waiting.js";

/** The unbundled program: one file per module, so that each sample contains the name of its module. */
const PROGRAM = fileURLToPath(new URL("../../main.js", import.meta.url));
const PROFILE_HOOK = new URL("./support/profile-hook.js", import.meta.url).href;
const NODES = [0, 1, 2];
const HEARTBEAT_INTERVAL_S = 3;
const LEASE_S = 21;

interface Options extends ProfileLoadOptions {
  readonly seconds: number;
  readonly warmUp: number;
  readonly total: boolean;
  readonly program: string;
  readonly flags: string;
  readonly fromStart: boolean;
}

/** Opens a cluster in which each controller writes its profile to its own file. */
function openCluster(options: Options, files: readonly string[]): Promise<MultiProcessCluster> {
  const flags = options.flags.split(" ").filter((flag) => flag !== "");
  return MultiProcessCluster.open({
    taskMs: () => options.taskSeconds * 1000,
    workers: options.machines,
    heartbeat: { intervalS: HEARTBEAT_INTERVAL_S, leaseS: LEASE_S },
    nodeArguments: [...flags, "--import", PROFILE_HOOK],
    environment: (node) => ({
      PROFILE_FILE: files[node]!,
      PROFILE_SAMPLED: options.total ? "no" : "yes",
      PROFILE_FROM_START: options.fromStart ? "yes" : "no",
    }),
  });
}

async function startNodes(cluster: MultiProcessCluster, program: string): Promise<void> {
  for (const node of NODES) cluster.startNode(node, program);
  for (const node of NODES) await cluster.awaitHealthy(node);
  await waitForProcesses("leadership is acquired", () => cluster.leaderIndex() >= 0);
}

/** Starts the measurement in each controller, or ends it if it has started. */
function signalAll(cluster: MultiProcessCluster): void {
  for (const node of NODES) cluster.signalNode(node, "SIGUSR2");
}

/** Number of heartbeats that the stand-in workers have sent so far. */
function heartbeatCount(cluster: MultiProcessCluster): number {
  let count = 0;
  for (const { sentHeartbeats } of cluster.cloud.workers.values()) count += sentHeartbeats.length;
  return count;
}

/** Reads a profile; null if the file is missing or incomplete. */
function readProfile(file: string): ProcessProfile | null {
  if (!existsSync(file)) return null;
  try {
    return JSON.parse(readFileSync(file, "utf8")) as ProcessProfile;
  } catch {
    return null;
  }
}

async function readProfiles(files: readonly string[]): Promise<ProcessProfile[]> {
  let profiles: (ProcessProfile | null)[] = [];
  await waitForProcesses("profiles are written", () => {
    profiles = files.map(readProfile);
    return profiles.every((profile) => profile !== null);
  });
  return profiles.filter((profile) => profile !== null);
}

async function measure(options: Options): Promise<string> {
  const directory = mkdtempSync(join(tmpdir(), "peatsaddle-profile-"));
  const files = NODES.map((node) => join(directory, `n${node}.json`));
  const cluster = await openCluster(options, files);
  try {
    await startNodes(cluster, options.program);
    const load = new ProfileLoad(cluster, options);
    load.start();
    if (!options.fromStart) await sleepSeconds(options.warmUp);
    const leader = cluster.leaderIndex();
    const heartbeatsBefore = heartbeatCount(cluster);
    if (!options.fromStart) signalAll(cluster);
    await sleepSeconds(options.seconds);
    const heartbeatsPerS = (heartbeatCount(cluster) - heartbeatsBefore) / options.seconds;
    signalAll(cluster);
    const profiles = await readProfiles(files);
    load.stop();
    const isSameLeader = cluster.leaderIndex() === leader;
    const leaders = isSameLeader ? "one leader" : "the leader changed: results not comparable";
    const descriptions = profiles.map((profile, node) =>
      describeProfile(`n${node}${node === leader ? " (leader)" : ""}`, profile),
    );
    const summary = `${heartbeatsPerS.toFixed(0)} heartbeats per second, ${leaders}`;
    return [summary, ...descriptions].join("\n\n");
  } finally {
    cluster.close();
  }
}

const commandLineOptions = new Command("profile")
  .description("measure the CPU time of three controllers with stand-ins")
  .option("--machines <n>", "number of stand-in workers", Number, 720)
  .option("--seconds <n>", "duration of the measurement", Number, 20)
  .option("--warm-up <n>", "seconds before the measurement", Number, 25)
  .option("--task-seconds <n>", "run time of a task, in seconds", Number, 40)
  .option("--program <file>", "main.js of another build, for a comparison", PROGRAM)
  .option("--flags <flags>", "flags of Node.js, separated by spaces", "")
  .option("--from-start", "measure from the start of the processes, without a warm-up", false)
  .option("--total", "measure the total CPU time only: sampling costs CPU time itself", false)
  .option("--questions <n>", "queries of users per second", Number, 20)
  .parse()
  .opts<Options>();
process.stdout.write(`${await measure(commandLineOptions)}\n`);
process.exit(0);
