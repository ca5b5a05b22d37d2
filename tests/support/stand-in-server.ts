/** HTTP servers on loopback that speak MessagePack, as the deployment's services do. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { decode, encode } from "../../src/wire/msgpack.js";

/** What a stand-in answers; `body` is sent as MessagePack. */
export interface StandInResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Answers a request; `body` is undefined if it had none. */
export type RequestHandler = (
  method: string,
  url: URL,
  body: unknown,
) => StandInResponse | Promise<StandInResponse>;

/** The answer of a service that has an outage. */
export const UNAVAILABLE: StandInResponse = { status: 503, body: { error: "trouble" } };

/** An answer that never comes: the request was lost, or its answer. */
export const noResponse = (): Promise<never> => new Promise(() => {});

/** A server that listens from `start` to `stop`. */
export class StandInServer {
  /** Host and port; empty before `start`. */
  address = "";
  private server: Server | null = null;

  constructor(private readonly handler: RequestHandler) {}

  async start(): Promise<void> {
    const server = createServer((request, response) => void this.respond(request, response));
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Ends it at once, with the connections that are open. */
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
