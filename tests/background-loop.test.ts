/** Background loops of a node: they end when they are stopped, and a failure has an owner. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { type BackgroundLoop, runInBackground } from "../src/node/background-loop.js";

/** A log that keeps its lines. */
function recordingLog() {
  const lines: { loop: string; msg: string }[] = [];
  return { lines, log: pino({}, { write: (line) => lines.push(JSON.parse(line)) }) };
}

test("a loop that is stopped ends without a log line", async () => {
  const { lines, log } = recordingLog();
  let end = (): void => {};
  const loop: BackgroundLoop = {
    run: () =>
      new Promise((resolve) => {
        end = resolve;
      }),
    stop: () => end(),
  };
  const running = runInBackground("state watcher", loop, log);
  loop.stop();
  await running;
  assert.deepEqual(lines, []);
});

test("a loop that fails is named in the log, and its error is rethrown", async () => {
  const { lines, log } = recordingLog();
  const failure = new Error("broken");
  const loop: BackgroundLoop = { run: () => Promise.reject(failure), stop: () => {} };
  await assert.rejects(runInBackground("state watcher", loop, log), failure);
  assert.deepEqual(
    lines.map((line) => [line.loop, line.msg]),
    [["state watcher", "background loop failed"]],
  );
});
