/**
 * What one planning pass works on: the leader's view of the cluster, the settings, the time, and a snapshot
 * of the machines that is taken once a pass.
 */

import type { Cluster } from "../cluster.js";
import type { Machine } from "../machines/machine.js";
import { AMOUNT_TOLERANCE } from "../model/constants.js";
import type { ClusterSettings } from "../model/settings.js";
import type { TokenBucket } from "../overload/token-bucket.js";
import { acceptsNewWork } from "./eligibility.js";

export interface PlanningContext {
  readonly cluster: Cluster;
  readonly settings: ClusterSettings;
  readonly now: number;
  /** Time of day in milliseconds, for deadlines. */
  readonly wallMs: number;
  /** Largest value that a pipeline may grow to while tasks are still being placed. */
  readonly maxValueBytes: number;
  readonly snapshot: MachineSnapshot;
  /** How many tasks of large arrays may be placed. */
  readonly bulkBudget: TokenBucket;
  /** A line on a single task. */
  readonly logTask: (message: string, fields: () => Record<string, unknown>) => void;
}

/**
 * What one pass looks up again and again, found once: with many hundred machines and jobs a look
 * at every machine for every job is more than a node can do.
 */
export interface MachineSnapshot {
  /** Machines that take work now, by type. */
  readonly usableByType: ReadonlyMap<string, readonly Machine[]>;
  /** Those with anything free as the pass begins. */
  readonly withFreeCapacity: readonly Machine[];
  /** Every kind of machine there is: type, zone and whether it is a spot machine. */
  readonly oneOfEachKind: readonly Machine[];
  /** Open machines that hold an image. */
  readonly withImage: ReadonlyMap<string, readonly Machine[]>;
  /** How many usable GPU machines, free or not, hold an image. */
  readonly gpuMachinesWithImage: ReadonlyMap<string, number>;
}

export function takeMachineSnapshot(
  cluster: Cluster,
  settings: ClusterSettings,
  now: number,
): MachineSnapshot {
  const usableNow = new Map<string, Machine[]>();
  const open: Machine[] = [];
  const kinds = new Map<string, Machine>();
  const holding = new Map<string, Machine[]>();
  const onGpus = new Map<string, number>();
  for (const m of cluster.machines.values()) {
    const kind = `${m.type.name} ${m.zone} ${m.spot}`;
    if (!kinds.has(kind)) kinds.set(kind, m);
    if (!acceptsNewWork(m, null, settings, now)) continue;
    const ofType = usableNow.get(m.type.name);
    if (ofType === undefined) usableNow.set(m.type.name, [m]);
    else ofType.push(m);
    m.weakestPrecedence = -1;
    for (const p of m.placements.values()) {
      if (p.stop === null && p.job.precedence > m.weakestPrecedence)
        m.weakestPrecedence = p.job.precedence;
    }
    if (m.type.gpus > 0) {
      for (const [image, i] of m.images) {
        if (i.ready) onGpus.set(image, (onGpus.get(image) ?? 0) + 1);
      }
    }
    if (m.freeCpus < AMOUNT_TOLERANCE || m.freeMemoryGb < AMOUNT_TOLERANCE) continue;
    open.push(m);
    for (const [image, i] of m.images) {
      if (!i.ready) continue;
      const list = holding.get(image);
      if (list === undefined) holding.set(image, [m]);
      else list.push(m);
    }
  }
  return {
    usableByType: usableNow,
    withFreeCapacity: open,
    oneOfEachKind: [...kinds.values()],
    withImage: holding,
    gpuMachinesWithImage: onGpus,
  };
}
