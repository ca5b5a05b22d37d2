/**
 * Traces jobs with the OpenTelemetry API: the submission with its admission decision, and the wait until the first
 * task runs. Tracing is disabled by default. Spans are dropped unless the program that embeds the controller
 * registers a tracer provider.
 *
 * A job's trace id is derived from the job's id. The spans of all controllers therefore belong to one trace, although
 * no trace context is stored or sent.
 */
import { createHash } from "node:crypto";
import {
  type Attributes,
  type Context,
  ROOT_CONTEXT,
  type Span,
  SpanKind,
  SpanStatusCode,
  TraceFlags,
  type Tracer,
  trace,
} from "@opentelemetry/api";
import type { JobSpec } from "../core/model/jobs.js";

const TRACE_ID_DIGITS = 32;
const SPAN_ID_DIGITS = 16;
const TRACER_NAME = "peatsaddle";

/** Returns the parent context of all spans of a job. Its span id is derived too; no span with this id is recorded. */
function jobContext(jobId: string): Context {
  const digits = createHash("sha256").update(jobId).digest("hex");
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: digits.slice(0, TRACE_ID_DIGITS),
    spanId: digits.slice(TRACE_ID_DIGITS, TRACE_ID_DIGITS + SPAN_ID_DIGITS),
    traceFlags: TraceFlags.SAMPLED,
    isRemote: true,
  });
}

/** Records the spans of one controller. */
export class JobTracer {
  private readonly tracer: Tracer;

  constructor(private readonly member: string) {
    this.tracer = trace.getTracer(TRACER_NAME);
  }

  /**
   * Calls `submit` and records a span for its duration. If `submit` throws, the span's status is an error.
   * `attributesOf` returns the additional attributes of the span for an outcome.
   */
  async traceSubmission<Outcome>(
    job: JobSpec,
    submit: () => Promise<Outcome>,
    attributesOf: (outcome: Outcome) => Attributes,
  ): Promise<Outcome> {
    const span = this.startSpan("job.submission", job.id, SpanKind.SERVER);
    span.setAttributes({ "job.team": job.team, "job.class": job.class, "job.tasks": job.tasks });
    try {
      const outcome = await submit();
      span.setAttributes(attributesOf(outcome));
      return outcome;
    } catch (error) {
      span.setStatus({ code: SpanStatusCode.ERROR });
      throw error;
    } finally {
      span.end();
    }
  }

  /** Records a span for a job's wait from its submission until its first task runs. */
  traceFirstStart(jobId: string, submittedAtMs: number): void {
    this.startSpan("job.wait", jobId, SpanKind.INTERNAL, submittedAtMs).end();
  }

  private startSpan(name: string, jobId: string, kind: SpanKind, startTime?: number): Span {
    const attributes = { "job.id": jobId, "peatsaddle.member": this.member };
    const options =
      startTime === undefined ? { kind, attributes } : { kind, attributes, startTime };
    return this.tracer.startSpan(name, options, jobContext(jobId));
  }
}
