/** Checks the answers about a job that users receive during faults, and reads keys of the state service. */
import assert from "node:assert/strict";
import { KEY } from "../../src/core/state/stored-values.js";
import type { InProcessCluster, JobAnswer } from "./in-process-cluster.js";

/** Whether the state service holds the key. */
export const isStored = (cluster: InProcessCluster, key: string): boolean =>
  cluster.stateService.entries.has(key);

/** Keys of the state service that match the pattern. */
export const storedKeys = (cluster: InProcessCluster, pattern: RegExp): string[] =>
  [...cluster.stateService.entries.keys()].filter((key) => pattern.test(key));

/** The epoch of the newest leadership term. */
export const storedEpoch = (cluster: InProcessCluster): number =>
  (cluster.stateService.entries.get(KEY.epoch)!.value as { n: number }).n;

/** Whether the node answers that the job is done. */
export async function isDone(cluster: InProcessCluster, node: number, id: string) {
  return (await cluster.queryJob(node, id)).state === "done";
}

/**
 * Sends a cancellation, a query and a repeated submission of a cancelled job to each of the nodes, one after the
 * other. Once an answer reports the job as cancelled, all later answers must do so too, and no task of the job may
 * run on any machine. Returns whether any answer reported it as cancelled.
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

/** Whether the state is one that a job never leaves. */
export const isTerminal = (state: string | undefined): boolean =>
  STATE_RANK[state ?? "queued"] === 1;

/**
 * Repeatedly requests a job's state from all nodes at once. The answer to a request that was sent after an earlier
 * answer arrived must not be older than that answer, and a terminal state must not change.
 */
export class AnswerHistory {
  /** Number of answers with a status other than 429 and 503. */
  answerCount = 0;
  /** The highest rank of a state in the answers so far; -1 if there was none. */
  private highestRank = -1;
  private terminalState: string | undefined;

  constructor(
    private readonly cluster: InProcessCluster,
    private readonly id: string,
  ) {}

  /** Sends a request and compares its answer with those that had arrived before. */
  async check(request: () => Promise<JobAnswer>): Promise<void> {
    const rankBefore = this.highestRank;
    const { status, state } = await request();
    if (status === 503 || status === 429) return;
    this.answerCount++;
    assert.notEqual(status === 404 && rankBefore >= 0, true, "unknown after it was accepted");
    if (state === undefined) return;
    const rank = STATE_RANK[state]!;
    assert.ok(rank >= rankBefore, `${state} after ${this.terminalState}`);
    if (isTerminal(state)) {
      assert.equal(this.terminalState ?? state, state);
      this.terminalState = state;
    }
    this.highestRank = Math.max(this.highestRank, rank);
  }

  /**
   * In each round, sends a query and a submission to every node, together with `otherRequests`, and checks all
   * answers.
   */
  async checkAll(
    rounds: number,
    otherRequests: readonly (() => Promise<JobAnswer>)[] = [],
  ): Promise<void> {
    const { cluster, id } = this;
    for (let round = 0; round < rounds; round++) {
      const checks = cluster.nodes.flatMap((_, node) => [
        this.check(() => cluster.queryJob(node, id)),
        this.check(() => cluster.submitJob(node, id)),
      ]);
      await Promise.all([...checks, ...otherRequests.map((request) => this.check(request))]);
    }
  }
}
