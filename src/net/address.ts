/** Addresses of the form `host:port`. */

/** The two parts of an address, in the form that `connect` of `node:net` takes. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits at the last colon, because the host may contain colons itself. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
