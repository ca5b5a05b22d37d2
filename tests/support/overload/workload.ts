/** The workload of the overload run, and the size of the cluster. */

/** Number of controller processes. */
export const CONTROLLER_COUNT = 3;
/** Number of worker stand-ins. */
export const WORKER_COUNT = 8;
const CPUS_PER_WORKER = 4;
/** Number of CPUs of all workers: the capacity of the cluster. */
export const TOTAL_CPUS = WORKER_COUNT * CPUS_PER_WORKER;
/** Run time of each task, in seconds. */
export const TASK_S = 2;
/** Users give up this many seconds after their first attempt, as the protocol specifies. */
export const USER_TIMEOUT_S = 60;

/** A job class, and the rate at which its jobs arrive. */
export interface ClassLoad {
  readonly team: string;
  readonly class: string;
  readonly tasks: number;
  readonly kind: "array" | "gang";
  /** CPU time that the arriving jobs need, as a ratio to the capacity. */
  readonly demand: number;
  /** Guaranteed CPUs of the team; no other class of this workload belongs to the team. */
  readonly guaranteedCpus: number;
}

/** The classes of the workload, whose demand adds up to five times the capacity. */
export const CLASS_LOADS: readonly ClassLoad[] = [
  { team: "bookings", class: "booking", tasks: 1, kind: "array", demand: 0.75, guaranteedCpus: 10 },
  { team: "settlement", class: "night", tasks: 8, kind: "array", demand: 1, guaranteedCpus: 8 },
  { team: "vision", class: "photos", tasks: 16, kind: "gang", demand: 0.75, guaranteedCpus: 0 },
  { team: "fraud", class: "scoring", tasks: 1, kind: "array", demand: 2.5, guaranteedCpus: 0 },
];
