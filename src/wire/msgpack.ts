/** MessagePack as the protocol uses it: plain maps keyed by text, integers as numbers. */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false, int64AsType: "number", encodeUndefinedAsNil: true });

/** The bytes of one value. */
export const encode = (value: unknown): Buffer => packr.pack(value);

/** Throws on bytes that are no MessagePack. */
export const decode = (bytes: Buffer): unknown => packr.unpack(bytes);

/** The body of a request; undefined if it is empty or no MessagePack. */
export function decodeBody(body: Buffer): unknown {
  if (body.length === 0) return undefined;
  try {
    return decode(body);
  } catch {
    return undefined;
  }
}
