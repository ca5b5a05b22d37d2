/** HTTP servers on loopback that exchange MessagePack, as the services of a deployment do. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { decode, encode } from "../../src/wire/msgpack.js";

/** The response of a stand-in; `body` is sent as MessagePack. */
export interface StandInResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Returns the response to a request; `body` is undefined if the request had none. */
export type RequestHandler = (
  method: string,
  url: URL,
  body: unknown,
) => StandInResponse | Promise<StandInResponse>;

/** The response of a service during an outage. */
export const UNAVAILABLE: StandInResponse = { status: 503, body: { error: "trouble" } };

/** Returns a promise that never settles, as if the request or its response were lost. */
export const noResponse = (): Promise<never> => new Promise(() => {});

/** An HTTP server that listens from `start` to `stop`. */
export class StandInServer {
  /** Host and port on which the server listens; empty before `start`. */
  address = "";
  private server: Server | null = null;

  constructor(private readonly handler: RequestHandler) {}

  async start(): Promise<void> {
    const server = createServer((request, response) => void this.respond(request, response));
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Stops the server at once and closes all open connections. */
  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const bytes = Buffer.concat(chunks);
    const url = new URL(request.url ?? "/", "http://x");
    const requestBody = bytes.length > 0 ? decode(bytes) : undefined;
    const { status, body } = await this.handler(request.method ?? "GET", url, requestBody);
    response.writeHead(status, { "content-type": "application/msgpack" });
    response.end(encode(body));
  }
}
