/** The name of a task on the wire, `JOB/NUMBER`. A job id contains no slash. */

/** One task of a job. */
export interface TaskName {
  readonly job: string;
  readonly task: number;
}

/** Formats the name that `parseTaskName` parses. */
export const formatTaskName = ({ job, task }: TaskName): string => `${job}/${task}`;

/** Parses the name of a task; null if the text is not one. */
export function parseTaskName(name: string): TaskName | null {
  const slash = name.lastIndexOf("/");
  const task = Number(name.slice(slash + 1));
  if (slash <= 0 || !Number.isInteger(task) || task < 0) return null;
  return { job: name.slice(0, slash), task };
}
