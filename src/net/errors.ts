/** Errors of the HTTP client. */

/** A request was not answered. */
export class RequestError extends Error {
  constructor(
    message: string,
    /** False only if not a byte of the request was written: it certainly did not reach the other side. */
    readonly mayHaveArrived: boolean,
  ) {
    super(message);
    this.name = "RequestError";
  }
}

/** What was received is no HTTP response. */
export class MalformedResponseError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "MalformedResponseError";
  }
}

/** The connection was closed before it was established. */
export class ConnectionClosedError extends Error {
  constructor() {
    super("closed");
    this.name = "ConnectionClosedError";
  }
}
