/** Addresses of the form `host:port`. */

/** The two parts of an address, in the form that `connect` of `node:net` takes. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Parses an address. The last colon separates the port, because the host may itself contain colons. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
