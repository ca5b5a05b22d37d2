/** Finds unused loopback ports for servers that are started later. */
import { createServer, type Server } from "node:net";

/** The ports are below the range from which the operating system allocates ports for outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
const PORTS_PER_BLOCK = 200;
const BLOCK_COUNT = (LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK;

/** Thrown if all blocks of ports are in use. */
export class NoUnusedPortsError extends Error {
  constructor() {
    super(`no block of ${PORTS_PER_BLOCK} ports is left`);
    this.name = "NoUnusedPortsError";
  }
}

/** Listens on the port; null if it is in use. */
async function tryListen(port: number): Promise<Server | null> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  return isListening ? server : null;
}

async function isPortFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === null) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/**
 * A block of ports that belongs to this process until it ends: the process listens on the block's first port, so the
 * operating system grants the block to one process at a time. Blocks that were only computed from the process id met
 * if two ids were 110 apart: a test then started its servers on ports that another test had found unused.
 */
class PortBlock {
  private nextPort: number;

  private constructor(private readonly firstPort: number) {
    this.nextPort = firstPort + 1;
  }

  /** Claims the first block that no process has, from one on that depends on the process id. */
  static async claim(): Promise<PortBlock> {
    for (let attempt = 0; attempt < BLOCK_COUNT; attempt++) {
      const index = (process.pid + attempt) % BLOCK_COUNT;
      const firstPort = FIRST_PORT + index * PORTS_PER_BLOCK;
      const guard = await tryListen(firstPort);
      if (guard === null) continue;
      // The guard must not keep the test process from ending.
      guard.unref();
      return new PortBlock(firstPort);
    }
    throw new NoUnusedPortsError();
  }

  /** Returns a port on which nothing listens; null if the block is used up. */
  async take(): Promise<number | null> {
    while (this.nextPort < this.firstPort + PORTS_PER_BLOCK) {
      const port = this.nextPort++;
      if (await isPortFree(port)) return port;
    }
    return null;
  }
}

let currentBlock: Promise<PortBlock> | null = null;

async function takePort(): Promise<number> {
  for (;;) {
    currentBlock ??= PortBlock.claim();
    const block = currentBlock;
    const port = await (await block).take();
    if (port !== null) return port;
    if (currentBlock === block) currentBlock = null;
  }
}

/**
 * Returns addresses (host and port) on which nothing listens. Ports that the operating system chooses are unsuitable:
 * outgoing connections of other tests took them before the server listened.
 * @throws NoUnusedPortsError if other processes have claimed all ports.
 */
export async function findUnusedAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) addresses.push(`127.0.0.1:${await takePort()}`);
  return addresses;
}

/** Returns an address (host and port) on which nothing listens. */
export async function findUnusedAddress(): Promise<string> {
  const [address] = await findUnusedAddresses(1);
  return address!;
}
