/** MessagePack over HTTP/1.1 on loopback: a server for the stand-ins and a client for users and workers. */
import http from "node:http";
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false, int64AsType: "number", encodeUndefinedAsNil: true });
export const encode = (value) => packr.pack(value);
export const decode = (bytes) => packr.unpack(bytes);

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Starts a server on a free loopback port. `handle(method, url, body)` returns `{status, body}`, or null: no answer. */
export async function serve(handle) {
  const server = http.createServer(async (request, response) => {
    try {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const bytes = Buffer.concat(chunks);
      const body = bytes.length > 0 ? decode(bytes) : undefined;
      const answer = await handle(request.method, new URL(request.url, "http://x"), body);
      if (answer === null) return; // The client waits until its own timeout.
      const payload = Buffer.isBuffer(answer.body) ? answer.body : encode(answer.body ?? {});
      response.writeHead(answer.status, {
        "content-type": "application/msgpack",
        "content-length": payload.length,
      });
      response.end(payload);
    } catch {
      response.destroy();
    }
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Sends a request. Resolves to `{status, headers, body}`, or to null if there is no answer within `timeoutMs`. */
export function call(address, method, path, body, { timeoutMs = 5000, agent } = {}) {
  const [host, port] = address.split(":");
  const bytes = body === undefined ? null : encode(body);
  return new Promise((resolve) => {
    const headers = { "content-length": bytes?.length ?? 0 };
    if (bytes !== null) headers["content-type"] = "application/msgpack";
    const request = http.request({ host, port: Number(port), method, path, headers, agent });
    const timer = setTimeout(() => {
      resolve(null);
      request.destroy();
    }, timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on("error", () => finish(null));
    request.on("response", async (response) => {
      try {
        const chunks = [];
        for await (const chunk of response) chunks.push(chunk);
        const payload = Buffer.concat(chunks);
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: payload.length > 0 ? decode(payload) : undefined,
        });
      } catch {
        finish(null);
      }
    });
    request.end(bytes);
  });
}

/** A token bucket with a burst of `burstS` seconds' worth. */
export class Bucket {
  constructor(rate, burstS) {
    this.rate = rate;
    this.burst = rate * burstS;
    this.tokens = this.burst;
    this.at = performance.now();
  }
  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
