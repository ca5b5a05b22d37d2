/**
 * Traces of jobs by the OpenTelemetry API, from the submission to the first start. Off by default. A program that embeds
 * controllers registers the provider that exports the spans; without a provider they are dropped.
 *
 * The trace id is derived from the job's id, so the spans of all controllers belong to one trace without a context being
 * stored or sent.
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

/** The parent context of all spans of a job. */
function jobContext(jobId: string): Context {
  const digits = createHash("sha256").update(jobId).digest("hex");
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: digits.slice(0, TRACE_ID_DIGITS),
    spanId: digits.slice(TRACE_ID_DIGITS, TRACE_ID_DIGITS + SPAN_ID_DIGITS),
    traceFlags: TraceFlags.SAMPLED,
    isRemote: true,
  });
}

/** Creates the spans of one controller. */
export class JobTracer {
  private readonly tracer: Tracer;

  constructor(private readonly member: string) {
    this.tracer = trace.getTracer(TRACER_NAME);
  }

  /** Traces a submission until it is answered. `describe` maps its outcome to attributes of the span. */
  async traceSubmission<T>(
    job: JobSpec,
    submit: () => Promise<T>,
    describe: (outcome: T) => Attributes,
  ): Promise<T> {
    const span = this.startSpan("job.submission", job.id, SpanKind.SERVER);
    span.setAttributes({ "job.team": job.team, "job.class": job.class, "job.tasks": job.tasks });
    try {
      const outcome = await submit();
      span.setAttributes(describe(outcome));
      return outcome;
    } catch (error) {
      span.setStatus({ code: SpanStatusCode.ERROR });
      throw error;
    } finally {
      span.end();
    }
  }

  /** Traces the wait of a job from its submission, in milliseconds since the Unix epoch, until now, when its first task runs. */
  traceFirstStart(jobId: string, submittedAtMs: number): void {
    this.startSpan("job.wait", jobId, SpanKind.INTERNAL, submittedAtMs).end();
  }

  private startSpan(name: string, jobId: string, kind: SpanKind, startTimeMs?: number): Span {
    const attributes = { "job.id": jobId, "peatsaddle.member": this.member };
    const options =
      startTimeMs === undefined
        ? { kind, attributes }
        : { kind, attributes, startTime: startTimeMs };
    return this.tracer.startSpan(name, options, jobContext(jobId));
  }
}
