/** Errors of the HTTP client. */

/** A request that received no response. */
export class RequestError extends Error {
  constructor(
    message: string,
    /** False only if no byte of the request was written, so that it certainly did not reach the server. */
    readonly mayHaveArrived: boolean,
  ) {
    super(message);
    this.name = "RequestError";
  }
}

/** The bytes received are not a valid HTTP response. */
export class MalformedResponseError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "MalformedResponseError";
  }
}

/** The connection was closed before it was established. */
export class ConnectionClosedError extends Error {
  constructor() {
    super("connection closed before it was established");
    this.name = "ConnectionClosedError";
  }
}
