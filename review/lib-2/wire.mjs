/** MessagePack, a small HTTP server and a small HTTP client, shared by the stand-ins and the clients of the cases. */
import { Agent, createServer, request as httpRequest } from "node:http";
import { createRequire } from "node:module";
import { createServer as createTcpServer } from "node:net";

const require = createRequire(new URL("../../package.json", import.meta.url));
const { Packr } = require("msgpackr");
const packr = new Packr({ useRecords: false, int64AsType: "number" });

export const encode = (value) => packr.pack(value);
export const decode = (bytes) => packr.unpack(bytes);
export const sleep = (seconds) => new Promise((resolve) => setTimeout(resolve, 1000 * seconds));
/** Monotonic time in seconds. */
export const now = () => performance.now() / 1000;

async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/**
 * Starts an HTTP server on loopback. `handle(method, url, body)` returns `{ status, body }`, or null to give no
 * answer at all.
 */
export async function startServer(port, handle) {
  const server = createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    void (async () => {
      try {
        const bytes = await readBody(request);
        const url = new URL(request.url ?? "/", "http://stand-in");
        const answer = await handle(request.method, url, bytes.length > 0 ? decode(bytes) : undefined);
        if (answer === null) return;
        const body = encode(answer.body ?? {});
        const headers = { "content-type": "application/msgpack", "content-length": body.length };
        response.writeHead(answer.status, headers);
        response.end(body);
      } catch {
        response.destroy();
      }
    })();
  });
  server.requestTimeout = 0;
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return server;
}

/** An HTTP client with persistent connections to one address. */
export class Client {
  constructor(address) {
    const [host, port] = address.split(":");
    this.host = host;
    this.port = Number(port);
    this.agent = new Agent({ keepAlive: true, maxSockets: 64 });
  }

  /** Returns `{ status, body, headers }`, or null if there was no response within `timeoutMs`. */
  request(method, path, body, timeoutMs) {
    const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
    return new Promise((resolve) => {
      const outgoing = httpRequest({
        host: this.host,
        port: this.port,
        method,
        path,
        agent: this.agent,
        headers: { "content-type": "application/msgpack", "content-length": bytes.length },
      });
      const timer = setTimeout(() => finish(null), timeoutMs);
      const finish = (result) => {
        clearTimeout(timer);
        if (result === null) outgoing.destroy();
        resolve(result);
      };
      outgoing.on("error", () => finish(null));
      outgoing.on("response", (response) => {
        readBody(response)
          .then((answer) => {
            let decoded = null;
            try {
              decoded = decode(answer);
            } catch {}
            finish({ status: response.statusCode, headers: response.headers, body: decoded });
          })
          .catch(() => finish(null));
      });
      outgoing.end(bytes);
    });
  }

  close() {
    this.agent.destroy();
  }
}

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });

/** Returns free ports below the range from which the system takes the ports of outgoing connections. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (!ports.includes(port) && (await isFree(port))) ports.push(port);
  }
  return ports;
}
