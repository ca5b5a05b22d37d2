/** Whether a node is in contact with the state service. */
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";

/** What contact with the state service is judged by. */
export interface StateContactOptions {
  readonly keyValueClient: KeyValueClient;
  readonly watcher: StateWatcher;
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Longest time between two answers that counts as contact. */
  readonly maximumContactGapS: number;
}

/** Knows whether the state service answered recently. */
export class StateContact {
  constructor(private readonly options: StateContactOptions) {}

  /** The replica holds the stored state, current or not. */
  get isLoaded(): boolean {
    return this.options.watcher.isLoaded;
  }

  /**
   * A watch ends several times within the longest gap, so a longer one means that this node is partitioned from the
   * service.
   */
  reachesStateService(): boolean {
    const { keyValueClient, watcher, now, maximumContactGapS } = this.options;
    return watcher.isLoaded && now() - keyValueClient.lastAnswerAt < maximumContactGapS;
  }
}
