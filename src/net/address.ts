/** Addresses of the form `host:port`. */

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** The host may hold colons itself: the port comes after the last. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
