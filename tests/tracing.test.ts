/** Each job has one trace across all controllers, exported by the tracer provider of the embedding program. */
import assert from "node:assert/strict";
import { trace } from "@opentelemetry/api";
import {
  BasicTracerProvider,
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from "@opentelemetry/sdk-trace-base";
import { clusterTest } from "./support/in-process-cluster.js";
import { waitUntil } from "./support/waiting.js";

const exporter = new InMemorySpanExporter();
trace.setGlobalTracerProvider(
  new BasicTracerProvider({ spanProcessors: [new SimpleSpanProcessor(exporter)] }),
);

const spansOfJob = (job: string) =>
  exporter.getFinishedSpans().filter((span) => span.attributes["job.id"] === job);

clusterTest(
  "a submission, its repetition and the first start of a task belong to one trace",
  { operatorIni: "[tracing]\nenabled = true\n" },
  async (cluster) => {
    const follower = [0, 1, 2].find((index) => index !== cluster.leaderIndex())!;
    await cluster.submitAndAwaitRunning("run-1");
    assert.equal((await cluster.submitJob(follower, "run-1")).status, 200);
    await waitUntil("the first start is traced", () =>
      spansOfJob("run-1").some((span) => span.name === "job.wait"),
    );
    const spans = spansOfJob("run-1");
    assert.equal(new Set(spans.map((span) => span.spanContext().traceId)).size, 1);
    assert.equal(
      spans.filter((span) => span.name === "job.wait").length,
      1,
      "only the first start of the four tasks is traced",
    );
    const outcomes = spans
      .filter((span) => span.name === "job.submission")
      .map(({ attributes }) => [attributes["peatsaddle.member"], attributes["job.outcome"]]);
    assert.deepEqual(outcomes.at(-1), [`n${follower}`, "known"]);
    assert.ok(outcomes.some(([, outcome]) => outcome === "ok"));
    assert.notEqual(spans[0]!.spanContext().traceId, spansOfJob("run-2")[0]?.spanContext().traceId);
  },
);

clusterTest("with tracing disabled no span is exported", {}, async (cluster) => {
  exporter.reset();
  await cluster.submitAndAwaitRunning("run-3");
  assert.deepEqual(exporter.getFinishedSpans(), []);
});
