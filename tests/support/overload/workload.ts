/** The workload of the overload run, and the dimensions of the cluster that it meets. */

/** Controllers, as processes. */
export const CONTROLLERS = 3;
export const WORKERS = 8;
const CPUS_PER_WORKER = 4;
export const CPUS = WORKERS * CPUS_PER_WORKER;
/** Duration of each task, in seconds. */
export const TASK_S = 2;
/** Users give up after this time, as the protocol says. */
export const PATIENCE_S = 60;

/** A class whose arrivals are a multiple of the capacity. */
export interface Load {
  readonly team: string;
  readonly class: string;
  readonly tasks: number;
  readonly kind: "array" | "gang";
  /** Its arrivals, as a ratio to the capacity. */
  readonly demand: number;
  /** CPUs that its team is guaranteed; no other class of this workload belongs to the team. */
  readonly guaranteed: number;
}

/** Five times the capacity. */
export const LOADS: readonly Load[] = [
  { team: "bookings", class: "booking", tasks: 1, kind: "array", demand: 0.75, guaranteed: 10 },
  { team: "settlement", class: "night", tasks: 8, kind: "array", demand: 1, guaranteed: 8 },
  { team: "vision", class: "photos", tasks: 16, kind: "gang", demand: 0.75, guaranteed: 0 },
  { team: "fraud", class: "scoring", tasks: 1, kind: "array", demand: 2.5, guaranteed: 0 },
];
