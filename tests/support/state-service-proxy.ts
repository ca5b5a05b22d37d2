/** One node's way to the state service, on which a test can cause faults. */
import { decodeTransaction, type Transaction } from "../../src/wire/inverse-codecs.js";
import { PATH } from "../../src/wire/names.js";
import {
  noResponse,
  type RequestHandler,
  type StandInResponse,
  StandInServer,
  UNAVAILABLE,
} from "./stand-in-server.js";

/** What becomes of a transaction: its answer may be lost, or it is carried out when the test says so. */
export type TransactionFate = "answered" | "answer lost" | "late";

/** Forwards a node's requests to the state service. */
export class StateServiceProxy {
  /** The service refuses this node alone; its open watches wait, as in an outage. */
  isRefusing = false;
  /** Decides for each transaction. */
  fateOf: (transaction: Transaction) => TransactionFate = () => "answered";
  /** Transactions that are carried out only when the test says so. */
  readonly delayedTransactions: (() => void)[] = [];
  private readonly reopenWaiters = new Set<() => void>();
  private readonly server = new StandInServer((...request) => this.forward(...request));

  /** `handler`: the state service. */
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

  /** The service refuses this node no more. */
  reopen(): void {
    this.isRefusing = false;
    for (const resolve of this.reopenWaiters) resolve();
    this.reopenWaiters.clear();
  }

  private async forward(method: string, url: URL, body: unknown): Promise<StandInResponse> {
    if (this.isRefusing) return UNAVAILABLE;
    const isTransaction = url.pathname === PATH.transactions;
    const fate = isTransaction ? this.fateOf(decodeTransaction(body)) : "answered";
    if (fate === "late") {
      this.delayedTransactions.push(() => void this.handler(method, url, body));
      return await noResponse();
    }
    const response = await this.handler(method, url, body);
    if (fate === "answer lost") return await noResponse();
    while (this.isRefusing) await new Promise<void>((resolve) => this.reopenWaiters.add(resolve));
    return response;
  }
}
