/** What users may be answered about a job while faults last, and what the state service holds meanwhile. */
import assert from "node:assert/strict";
import { KEY } from "../../src/core/state/stored-values.js";
import type { InProcessCluster, JobAnswer } from "./in-process-cluster.js";

export const isStored = (cluster: InProcessCluster, key: string): boolean =>
  cluster.stateService.entries.has(key);

/** Keys at the state service that match the pattern. */
export const storedKeys = (cluster: InProcessCluster, pattern: RegExp): string[] =>
  [...cluster.stateService.entries.keys()].filter((key) => pattern.test(key));

/** The epoch of the newest leadership term. */
export const storedEpoch = (cluster: InProcessCluster): number =>
  (cluster.stateService.entries.get(KEY.epoch)!.value as { n: number }).n;

/** Whether this node answers that the job is done. */
export async function isDone(cluster: InProcessCluster, node: number, id: string) {
  return (await cluster.queryJob(node, id)).state === "done";
}

/**
 * Cancels, queries and submits a cancelled job at each of the nodes. Once any of them answers that it is
 * cancelled, all later ones must, and no task of it may be on any machine. Returns whether any did.
 */
export async function isCancellationConfirmed(
  cluster: InProcessCluster,
  id: string,
  nodes: readonly number[],
): Promise<boolean> {
  let isConfirmed = false;
  for (const node of nodes) {
    for (const request of [cluster.cancelJob, cluster.queryJob, cluster.submitJob]) {
      const { status, state, retryAfter } = await request.call(cluster, node, id);
      if (state !== "cancelled") {
        assert.equal(isConfirmed, false, "went_back");
        if (status !== 200) assert.deepEqual([status, retryAfter], [503, "1"]);
        continue;
      }
      isConfirmed = true;
      assert.deepEqual([...cluster.machinesOf(id)], [], "confirmed as cancelled while it runs");
    }
  }
  return isConfirmed;
}

/** The order in which users may see a job's states: 0 while it is active, 1 once it is terminal. */
const STATE_RANK: Record<string, number> = { queued: 0, running: 0, done: 1, cancelled: 1 };

export const isTerminal = (state: string | undefined): boolean =>
  STATE_RANK[state ?? "queued"] === 1;

/**
 * Requests a job's state from all nodes at once, again and again. A request that was sent after another was
 * answered must not be answered with something older, and a terminal state never changes.
 */
export class AnswerHistory {
  /** Answers other than refusals. */
  answered = 0;
  /** The latest state's rank in any answer so far; -1: none. */
  private latestRank = -1;
  private terminalState: string | undefined;

  constructor(
    private readonly cluster: InProcessCluster,
    private readonly id: string,
  ) {}

  async check(request: () => Promise<JobAnswer>): Promise<void> {
    const rankBefore = this.latestRank;
    const { status, state } = await request();
    if (status === 503 || status === 429) return;
    this.answered++;
    assert.notEqual(status === 404 && rankBefore >= 0, true, "unknown after it was accepted");
    if (state === undefined) return;
    const rank = STATE_RANK[state]!;
    assert.ok(rank >= rankBefore, `${state} after ${this.terminalState}`);
    if (isTerminal(state)) {
      assert.equal(this.terminalState ?? state, state);
      this.terminalState = state;
    }
    this.latestRank = Math.max(this.latestRank, rank);
  }

  /** Queries and submits the job at every node at once, with the other requests, so many times. */
  async checkAll(
    rounds: number,
    others: readonly (() => Promise<JobAnswer>)[] = [],
  ): Promise<void> {
    const { cluster, id } = this;
    for (let round = 0; round < rounds; round++) {
      const checks = cluster.nodes.flatMap((_, node) => [
        this.check(() => cluster.queryJob(node, id)),
        this.check(() => cluster.submitJob(node, id)),
      ]);
      await Promise.all([...checks, ...others.map((request) => this.check(request))]);
    }
  }
}
