/**
 * Measures the CPU time of a controller. `npm run profile` loads it into the process with `--import`, so that the
 * program itself contains no profiling code. The first signal SIGUSR2 starts the measurement, the second ends it and
 * writes the result to the file that PROFILE_FILE names. If PROFILE_FROM_START is "yes", the measurement starts with
 * the process, and the first signal ends it. If PROFILE_SAMPLED is "yes", the result contains a sampled CPU profile.
 */
import { writeFileSync } from "node:fs";
import { type Profiler, Session } from "node:inspector/promises";
import { PerformanceObserver, performance } from "node:perf_hooks";

/** The measurements of one controller process. */
export interface ProcessProfile {
  readonly seconds: number;
  readonly cpuMs: number;
  readonly gcMs: number;
  readonly gcRuns: number;
  readonly residentMb: number;
  readonly heapMb: number;
  /** Null if no samples were taken: sampling costs CPU time itself. */
  readonly profile: Profiler.Profile | null;
}

const SAMPLING_INTERVAL_US = 500;
const BYTES_PER_MB = 2 ** 20;

const profileFile = process.env.PROFILE_FILE;
const isSampled = process.env.PROFILE_SAMPLED === "yes";
const session = new Session();

interface MeasurementStart {
  readonly startedAtMs: number;
  readonly cpu: NodeJS.CpuUsage;
}

/** Null until the measurement starts. */
let measurementStart: MeasurementStart | null = null;
const gc = { ms: 0, runs: 0 };
const observer = new PerformanceObserver((list) => {
  for (const entry of list.getEntries()) {
    gc.ms += entry.duration;
    gc.runs++;
  }
});

async function startMeasurement(): Promise<void> {
  observer.observe({ entryTypes: ["gc"] });
  if (isSampled) {
    session.connect();
    await session.post("Profiler.enable");
    await session.post("Profiler.setSamplingInterval", { interval: SAMPLING_INTERVAL_US });
    await session.post("Profiler.start");
  }
  measurementStart = { startedAtMs: performance.now(), cpu: process.cpuUsage() };
}

async function stopMeasurement(start: MeasurementStart): Promise<void> {
  const cpu = process.cpuUsage(start.cpu);
  const seconds = (performance.now() - start.startedAtMs) / 1000;
  const profile = isSampled ? (await session.post("Profiler.stop")).profile : null;
  const { rss, heapUsed } = process.memoryUsage();
  const measurements: ProcessProfile = {
    seconds,
    cpuMs: (cpu.user + cpu.system) / 1000,
    gcMs: gc.ms,
    gcRuns: gc.runs,
    residentMb: rss / BYTES_PER_MB,
    heapMb: heapUsed / BYTES_PER_MB,
    profile,
  };
  if (profileFile !== undefined) writeFileSync(profileFile, JSON.stringify(measurements));
}

if (process.env.PROFILE_FROM_START === "yes") void startMeasurement();
process.on(
  "SIGUSR2",
  () => void (measurementStart === null ? startMeasurement() : stopMeasurement(measurementStart)),
);
