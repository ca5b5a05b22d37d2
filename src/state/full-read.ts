/**
 * Reads all keys of the state service, page by page and at a limited rate.
 *
 * A page that is refused, cut off or late is requested again from the last key that was read. When a failed page ended
 * the read, three controllers that started together with 114,500 keys used up the rate of the state service, began
 * again at the first page, and never loaded their replicas.
 */
import { TokenBucket } from "../core/overload/token-bucket.js";
import type { KeyValueItem } from "../core/state/key-value.js";
import { sleepSeconds } from "../time/sleep.js";
import type { KeyPage } from "../wire/key-value.js";

/** Result of a request for one page of keys. */
export type PageResult =
  | { readonly kind: "ok"; readonly page: KeyPage }
  /** `retryAfterS`: seconds that the state service asked to wait before the next request; 0 if it did not ask. */
  | { readonly kind: "failed"; readonly retryAfterS: number };

/** Source and pace of a full read. */
export interface FullReadOptions {
  /** Requests the keys after `lastKey`, in their order; null: from the first key on. */
  readonly readPage: (lastKey: string | null) => Promise<PageResult>;
  /** Called with the items of each page, once, in their order. */
  readonly onPage: (items: readonly KeyValueItem[]) => void;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Number of pages requested per second. The pages of one second may be requested in a burst. */
  readonly pagesPerS: number;
  /** Delay after a failed request, in seconds, unless the state service asks for a longer one. */
  readonly retryDelayS: number;
  /** Whether to request the next page, given the number of requests that have failed in a row. */
  readonly mayContinue: (failuresInRow: number) => boolean;
}

/** Size and duration of a full read. */
export interface FullReadStatistics {
  readonly keys: number;
  readonly pages: number;
  /** Number of requests that were refused, or whose answer was cut off or late. */
  readonly failedRequests: number;
  readonly seconds: number;
}

/** Result of a full read. */
export type FullReadResult =
  | {
      readonly kind: "ok";
      /** Revision of the state service when the first page was read. Later pages may contain newer values. */
      readonly revision: number;
      readonly statistics: FullReadStatistics;
    }
  | { readonly kind: "failed" };

/** Reads all keys. The result is `failed` only if `mayContinue` ended the read. */
export async function readAllKeys(options: FullReadOptions): Promise<FullReadResult> {
  const read = new FullRead(options);
  return await read.run();
}

/** The progress of one full read. */
class FullRead {
  /** The last key of the last page; null before the first page was read. */
  private lastKey: string | null = null;
  private keys = 0;
  /** Revision of the first page; null before it was read. */
  private revision: number | null = null;
  private pages = 0;
  private failedRequests = 0;
  private failuresInRow = 0;
  private readonly startedAt: number;
  private readonly pageBudget: TokenBucket;

  constructor(private readonly options: FullReadOptions) {
    this.startedAt = options.now();
    this.pageBudget = TokenBucket.forSingleTokens(options.pagesPerS, options.pagesPerS);
  }

  async run(): Promise<FullReadResult> {
    const { mayContinue, readPage } = this.options;
    while (mayContinue(this.failuresInRow)) {
      await this.waitForPageBudget();
      const result = await readPage(this.lastKey);
      if (result.kind === "failed") {
        await this.waitAfterFailure(result.retryAfterS);
        continue;
      }
      const isLastPage = this.addPage(result.page);
      if (isLastPage) return this.complete(result.page.revision);
    }
    return { kind: "failed" };
  }

  /** Takes the budget of one page, and waits until it is covered. */
  private async waitForPageBudget(): Promise<void> {
    const now = this.options.now();
    const delayS = this.pageBudget.secondsUntilAvailable(1, now);
    this.pageBudget.takeOnCredit(1, now);
    if (delayS > 0) await sleepSeconds(delayS);
  }

  private async waitAfterFailure(retryAfterS: number): Promise<void> {
    this.failedRequests++;
    this.failuresInRow++;
    await sleepSeconds(Math.max(this.options.retryDelayS, retryAfterS));
  }

  /** Adds a page, and returns whether it is the last one. */
  private addPage({ items, more, revision }: KeyPage): boolean {
    this.failuresInRow = 0;
    this.pages++;
    this.revision ??= revision;
    this.keys += items.length;
    this.lastKey = items.at(-1)?.key ?? this.lastKey;
    this.options.onPage(items);
    return !more || items.length === 0;
  }

  private complete(lastRevision: number): FullReadResult {
    const { keys, pages, failedRequests } = this;
    const seconds = this.options.now() - this.startedAt;
    const statistics = { keys, pages, failedRequests, seconds };
    return { kind: "ok", revision: this.revision ?? lastRevision, statistics };
  }
}
