/** Detects whether a node is in contact with the state service. */
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";

/** Dependencies of `StateContact`. */
export interface StateContactOptions {
  readonly keyValueClient: KeyValueClient;
  readonly watcher: StateWatcher;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Seconds since the last answer of the state service after which the node no longer counts as in contact. */
  readonly maximumContactGapS: number;
}

/** Determines from the time of the state service's last answer whether the node is in contact with it. */
export class StateContact {
  constructor(private readonly options: StateContactOptions) {}

  /** True if the replica has been loaded; it may be out of date. */
  get isReplicaLoaded(): boolean {
    return this.options.watcher.isLoaded;
  }

  /**
   * Whether the replica is loaded and the state service has answered within `maximumContactGapS`. Watch requests
   * are answered within that time, so a longer time without an answer means that this node is partitioned from the
   * state service.
   */
  reachesStateService(): boolean {
    const { keyValueClient, watcher, now, maximumContactGapS } = this.options;
    return watcher.isLoaded && now() - keyValueClient.lastAnswerAt < maximumContactGapS;
  }
}
