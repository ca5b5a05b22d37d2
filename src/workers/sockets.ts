/**
 * How many connections to workers may be kept. Every worker holds one of its own to the leader, some twice
 * for a moment; a sixth of the sockets is for users, the state service, the cloud, the other controllers and
 * what is being closed. (A fixed fifth of the sockets left none for users when there were half as many
 * machines again.)
 */
export function maxWorkerConnections(sockets: number, machines: number): number {
  const left = (5 / 6) * sockets - 1.05 * machines;
  return Math.floor(Math.max(sockets / 40, 4, Math.min(left, sockets / 2)));
}
