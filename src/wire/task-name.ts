/** The name of a task on the wire: `JOB/NUMBER`, A job's id holds no slash. */

/** One task of a job. */
export interface TaskName {
  readonly job: string;
  readonly task: number;
}

/** The inverse of `parseTaskName`. */
export const formatTaskName = ({ job, task }: TaskName): string => `${job}/${task}`;

/** Null for a text that names no task. */
export function parseTaskName(name: string): TaskName | null {
  const slash = name.lastIndexOf("/");
  const task = Number(name.slice(slash + 1));
  if (slash <= 0 || !Number.isInteger(task) || task < 0) return null;
  return { job: name.slice(0, slash), task };
}
