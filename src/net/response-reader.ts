/** Parses HTTP/1.1 responses from the bytes of a connection. */
import { MalformedResponseError } from "./errors.js";

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  /** Header values by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
}

const HEADER_END = Buffer.from("\r\n\r\n");
const CRLF_BYTES = 2;

/** Parses one response at a time, and keeps the bytes after it for the next one. */
export class ResponseReader {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Returns the response if this chunk completes it, or else null. Throws a `MalformedResponseError` if the bytes are
   * invalid.
   */
  feed(chunk: Buffer): HttpResponse | null {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const headerEnd = this.pending.indexOf(HEADER_END);
    if (headerEnd < 0) return null;
    const lines = this.pending.toString("latin1", 0, headerEnd).split("\r\n");
    const status = Number(lines[0]!.split(" ")[1]);
    if (!Number.isInteger(status)) throw new MalformedResponseError("invalid HTTP status line");
    const headers = parseHeaders(lines);
    const bodyStart = headerEnd + HEADER_END.length;
    if ((headers.get("transfer-encoding") ?? "").toLowerCase().includes("chunked")) {
      return this.readChunkedBody(status, headers, bodyStart);
    }
    const bodyEnd = bodyStart + Number(headers.get("content-length") ?? "0");
    if (this.pending.length < bodyEnd) return null;
    const body = this.pending.subarray(bodyStart, bodyEnd);
    this.pending = this.pending.subarray(bodyEnd);
    return { status, headers, body };
  }

  private readChunkedBody(
    status: number,
    headers: ReadonlyMap<string, string>,
    bodyStart: number,
  ): HttpResponse | null {
    const chunks: Buffer[] = [];
    // Position of the size line of the next chunk.
    let sizeAt = bodyStart;
    for (;;) {
      const sizeEnd = this.pending.indexOf("\r\n", sizeAt);
      if (sizeEnd < 0) return null;
      const size = Number.parseInt(this.pending.toString("latin1", sizeAt, sizeEnd), 16);
      if (!Number.isInteger(size) || size < 0)
        throw new MalformedResponseError("invalid HTTP chunk size");
      const chunkStart = sizeEnd + CRLF_BYTES;
      const chunkEnd = chunkStart + size;
      const next = chunkEnd + CRLF_BYTES;
      if (this.pending.length < next) return null;
      if (size === 0) {
        this.pending = this.pending.subarray(next);
        return { status, headers, body: Buffer.concat(chunks) };
      }
      chunks.push(this.pending.subarray(chunkStart, chunkEnd));
      sizeAt = next;
    }
  }
}

/** Parses the headers from the lines of a response's head, whose first line is the status line. */
function parseHeaders(lines: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (const line of lines.slice(1)) {
    const colon = line.indexOf(":");
    if (colon > 0) headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
  }
  return headers;
}
