/** Background loops of a controller end when they are stopped, and report their failures. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { type BackgroundLoop, runInBackground } from "../src/node/background-loop.js";

/** Creates a logger that records its lines. */
function createRecordingLog() {
  const lines: { loop: string; msg: string }[] = [];
  return { lines, log: pino({}, { write: (line) => lines.push(JSON.parse(line)) }) };
}

test("a stopped loop ends without a log line", async () => {
  const { lines, log } = createRecordingLog();
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

test("the log names a loop that fails, and the error of the loop is rethrown", async () => {
  const { lines, log } = createRecordingLog();
  const failure = new Error("broken");
  const loop: BackgroundLoop = { run: () => Promise.reject(failure), stop: () => {} };
  await assert.rejects(runInBackground("state watcher", loop, log), failure);
  assert.deepEqual(
    lines.map((line) => [line.loop, line.msg]),
    [["state watcher", "background loop failed"]],
  );
});
