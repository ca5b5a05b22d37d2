/** The limit on the connections that a node opens to workers. */

/**
 * Share of the sockets for connections from and to workers. The rest is for users, the state service, the cloud,
 * other controllers and connections that are closing.
 */
const SHARE_FOR_WORKERS = 5 / 6;
/** Every worker opens one connection to the leader, and some workers briefly have two. */
const CONNECTIONS_PER_MACHINE = 1.05;
const MIN_CONNECTIONS = 4;

/**
 * The maximum number of connections that a node with `sockets` sockets opens to `machines` workers. When the
 * limit was a fixed fifth of the sockets, no sockets were left for users after the number of machines grew by half.
 */
export function maxWorkerConnections(sockets: number, machines: number): number {
  const remaining = SHARE_FOR_WORKERS * sockets - CONNECTIONS_PER_MACHINE * machines;
  return Math.floor(Math.max(sockets / 40, MIN_CONNECTIONS, Math.min(remaining, sockets / 2)));
}
