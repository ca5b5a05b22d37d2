/**
 * Loaded into a controller with `--import` by `npm run profile`: between two signals SIGUSR2 it records where processor
 * time goes, and writes what it found to the file that PROFILE_FILE names. The program itself knows nothing of it.
 */
import { writeFileSync } from "node:fs";
import { type Profiler, Session } from "node:inspector/promises";
import { type EventLoopUtilization, PerformanceObserver, performance } from "node:perf_hooks";

/** What one controller measured of itself. */
export interface ProcessProfile {
  readonly seconds: number;
  readonly cpuMs: number;
  readonly gcMs: number;
  readonly gcRuns: number;
  readonly loopUtilization: number;
  readonly residentMb: number;
  readonly heapMb: number;
  readonly profile: Profiler.Profile;
}

const SAMPLING_US = 500;
const MB = 2 ** 20;

const file = process.env.PROFILE_FILE;
const session = new Session();
session.connect();
let began: { at: number; cpu: NodeJS.CpuUsage; loop: EventLoopUtilization } | null = null;
const gc = { ms: 0, runs: 0 };
const observer = new PerformanceObserver((list) => {
  for (const entry of list.getEntries()) {
    gc.ms += entry.duration;
    gc.runs++;
  }
});

async function start(): Promise<void> {
  await session.post("Profiler.enable");
  await session.post("Profiler.setSamplingInterval", { interval: SAMPLING_US });
  observer.observe({ entryTypes: ["gc"] });
  await session.post("Profiler.start");
  began = {
    at: performance.now(),
    cpu: process.cpuUsage(),
    loop: performance.eventLoopUtilization(),
  };
}

async function stop(since: NonNullable<typeof began>): Promise<void> {
  const cpu = process.cpuUsage(since.cpu);
  const seconds = (performance.now() - since.at) / 1000;
  const loop = performance.eventLoopUtilization(since.loop);
  const { profile } = await session.post("Profiler.stop");
  const { rss, heapUsed } = process.memoryUsage();
  const measured: ProcessProfile = {
    seconds,
    cpuMs: (cpu.user + cpu.system) / 1000,
    gcMs: gc.ms,
    gcRuns: gc.runs,
    loopUtilization: loop.utilization,
    residentMb: rss / MB,
    heapMb: heapUsed / MB,
    profile,
  };
  if (file !== undefined) writeFileSync(file, JSON.stringify(measured));
}

process.on("SIGUSR2", () => void (began === null ? start() : stop(began)));
