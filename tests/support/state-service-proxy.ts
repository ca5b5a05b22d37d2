/** A proxy between one node and the state service, in which a test can inject faults. */
import { decodeTransaction, type Transaction } from "../../src/wire/inverse-codecs.js";
import { PATH } from "../../src/wire/names.js";
import {
  noResponse,
  type RequestHandler,
  type StandInResponse,
  StandInServer,
  UNAVAILABLE,
} from "./stand-in-server.js";

/**
 * How the proxy handles a transaction: it forwards the transaction and its response ("answered"), drops the response
 * ("answer lost"), or holds the transaction back until the test forwards it, also without a response ("late").
 */
export type TransactionHandling = "answered" | "answer lost" | "late";

/** Forwards a node's requests to the state service. */
export class StateServiceProxy {
  /** Whether requests of this node are answered with 503. Responses to open watches are held back meanwhile. */
  isUnavailable = false;
  /** Chooses how each transaction is handled. */
  handlingOf: (transaction: Transaction) => TransactionHandling = () => "answered";
  /** Transactions that were held back. The test calls each function to forward its transaction. */
  readonly delayedTransactions: (() => void)[] = [];
  private readonly outageEndWaiters = new Set<() => void>();
  private readonly server = new StandInServer((...request) => this.forward(...request));

  /** `handler` answers the requests on behalf of the state service. */
  constructor(private readonly handler: RequestHandler) {}

  get address(): string {
    return this.server.address;
  }

  start(): Promise<void> {
    return this.server.start();
  }

  stop(): void {
    this.server.stop();
  }

  /** Ends the outage and sends the responses that were held back. */
  endOutage(): void {
    this.isUnavailable = false;
    for (const resolve of this.outageEndWaiters) resolve();
    this.outageEndWaiters.clear();
  }

  private async forward(method: string, url: URL, body: unknown): Promise<StandInResponse> {
    if (this.isUnavailable) return UNAVAILABLE;
    const isTransaction = url.pathname === PATH.transactions;
    const handling = isTransaction ? this.handlingOf(decodeTransaction(body)) : "answered";
    if (handling === "late") {
      this.delayedTransactions.push(() => void this.handler(method, url, body));
      return await noResponse();
    }
    const response = await this.handler(method, url, body);
    if (handling === "answer lost") return await noResponse();
    while (this.isUnavailable)
      await new Promise<void>((resolve) => this.outageEndWaiters.add(resolve));
    return response;
  }
}
