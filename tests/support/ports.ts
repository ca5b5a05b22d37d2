/** Finds unused loopback ports for servers that are started later. */
import { createServer } from "node:net";

/** The ports are below the range from which the operating system allocates ports for outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
/** Test processes that run at the same time start at different offsets, which are multiples of this number. */
const PORTS_PER_PROCESS = 200;
let nextPort = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT));

async function isPortFree(port: number): Promise<boolean> {
  const server = createServer();
  const isFree = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  if (isFree) await new Promise((resolve) => server.close(resolve));
  return isFree;
}

/**
 * Returns addresses (host and port) on which nothing listens. Ports that the operating system chooses are unsuitable:
 * outgoing connections of other tests took them before the server listened.
 */
export async function findUnusedAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = nextPort++;
    if (nextPort >= LAST_PORT) nextPort = FIRST_PORT;
    if (await isPortFree(port)) addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}

/** Returns an address (host and port) on which nothing listens. */
export async function findUnusedAddress(): Promise<string> {
  const [address] = await findUnusedAddresses(1);
  return address!;
}
