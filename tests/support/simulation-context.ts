/** What all parts of a simulation share: its clock, its seeded choices, its trace and the stored state. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { SimulatedCluster } from "./simulated-clusters.js";
import type { SimulatedJobs } from "./simulated-jobs.js";
import type { SimulatedKeyValueStore } from "./simulated-key-value-store.js";

export interface SimulationContext {
  readonly cluster: SimulatedCluster;
  readonly clock: SimulationClock;
  readonly choices: SeededChoices;
  readonly faults: FaultChances;
  readonly trace: SimulationTrace;
  readonly store: SimulatedKeyValueStore;
  readonly jobs: SimulatedJobs;
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** Simulated seconds, and what is to happen later. */
export class SimulationClock {
  now = 1000;
  private events: ScheduledEvent[] = [];

  schedule(inS: number, run: () => void): void {
    this.events.push({ at: this.now + inS, run });
  }

  /** Time passes, and what is due happens in its order. What that schedules happens in later steps. */
  advance(seconds: number): void {
    this.now += seconds;
    const due = this.events.filter(({ at }) => at <= this.now).sort((a, b) => a.at - b.at);
    this.events = this.events.filter(({ at }) => at > this.now);
    for (const { run } of due) run();
  }
}

/** One sequence of choices for each seed: the order of the draws is part of a run. */
export class SeededChoices {
  private readonly random;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
  }

  /** A whole number from 0 up to, not including, `limit`. */
  below(limit: number): number {
    return uniformInt(this.random, 0, limit - 1);
  }

  /** Whether the choice falls on one of so many. */
  isOneIn(count: number): boolean {
    return this.below(count) === 0;
  }

  oneOf<T>(options: readonly T[]): T {
    return options[this.below(options.length)]!;
  }
}

/** How often something goes wrong: one in so many. */
export interface FaultOdds {
  readonly leader: number;
  readonly machine: number;
  readonly message: number;
  readonly write: number;
}

/** Days differ in what goes wrong often: everything at once hides what needs a quiet moment. */
export class FaultChances {
  readonly odds: FaultOdds;
  /** Faults occur while this is set. */
  isActive = true;

  constructor(private readonly choices: SeededChoices) {
    this.odds = {
      leader: choices.oneOf([80, 250, 1500]),
      machine: choices.oneOf([40, 150, 1000]),
      message: choices.oneOf([5, 15, 80]),
      write: choices.oneOf([5, 20, 100]),
    };
  }

  /** Draws only while faults are active. */
  occurs(oneIn: number): boolean {
    return this.isActive && this.choices.isOneIn(oneIn);
  }
}

/** A rule of the protocol that was broken. */
export interface RuleViolation {
  readonly rule: string;
  readonly what: string;
}

/** What happened, as lines with their time, and the rules that were broken. */
export class SimulationTrace {
  readonly lines: string[] = [];
  readonly violations: RuleViolation[] = [];

  constructor(private readonly clock: SimulationClock) {}

  add(line: string): void {
    this.lines.push(`${this.clock.now.toFixed(2)} ${line}`);
  }

  addViolation(rule: string, what: string): void {
    this.add(`BROKEN ${rule}: ${what}`);
    this.violations.push({ rule, what });
  }
}
