/** One trace per job, whichever controllers handled it, through the provider of the embedding program. */
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

const spansOf = (job: string) =>
  exporter.getFinishedSpans().filter((span) => span.attributes["job.id"] === job);

clusterTest(
  "a submission, its repetition and the first start are one trace",
  { operatorIni: "[tracing]\nenabled = true\n" },
  async (site) => {
    const follower = [0, 1, 2].find((index) => index !== site.leaderIndex())!;
    await site.submitAndAwaitRunning("run-1");
    assert.equal((await site.submitJob(follower, "run-1")).status, 200);
    await waitUntil("the first start is traced", () =>
      spansOf("run-1").some((span) => span.name === "job.wait"),
    );
    const spans = spansOf("run-1");
    assert.equal(new Set(spans.map((span) => span.spanContext().traceId)).size, 1);
    assert.equal(
      spans.filter((span) => span.name === "job.wait").length,
      1,
      "four tasks, one first start",
    );
    const outcomes = spans
      .filter((span) => span.name === "job.submission")
      .map(({ attributes }) => [attributes["peatsaddle.member"], attributes["job.outcome"]]);
    assert.deepEqual(outcomes.at(-1), [`n${follower}`, "known"]);
    assert.ok(outcomes.some(([, outcome]) => outcome === "ok"));
    assert.notEqual(spans[0]!.spanContext().traceId, spansOf("run-2")[0]?.spanContext().traceId);
  },
);

clusterTest("with tracing disabled no span is exported", {}, async (site) => {
  exporter.reset();
  await site.submitAndAwaitRunning("run-3");
  assert.deepEqual(exporter.getFinishedSpans(), []);
});
