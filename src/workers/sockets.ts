/** How many of a node's sockets go to connections that it opens to workers. */

/** Share of the sockets that is left after those for users, the state service, the cloud, other controllers and closing ones. */
const SHARE_FOR_WORKERS = 5 / 6;
/** Every worker holds one connection of its own to the leader, some twice for a moment. */
const CONNECTIONS_PER_MACHINE = 1.05;
const MIN_CONNECTIONS = 4;

/**
 * The largest number of connections to workers for a node with `sockets` sockets and `machines` machines. (A fixed fifth
 * of the sockets left none for users when there were half as many machines again.)
 */
export function maxWorkerConnections(sockets: number, machines: number): number {
  const remaining = SHARE_FOR_WORKERS * sockets - CONNECTIONS_PER_MACHINE * machines;
  return Math.floor(Math.max(sockets / 40, MIN_CONNECTIONS, Math.min(remaining, sockets / 2)));
}
