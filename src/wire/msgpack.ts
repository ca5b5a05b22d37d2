/** MessagePack as the protocol uses it: maps with string keys, and 64-bit integers decoded as numbers. */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false, int64AsType: "number", encodeUndefinedAsNil: true });

/** Encodes one value. */
export const encode = (value: unknown): Buffer => packr.pack(value);

/** Decodes one value; throws if the bytes are not valid MessagePack. */
export const decode = (bytes: Buffer): unknown => packr.unpack(bytes);

/** Decodes the body of a request; undefined if it is empty or not valid MessagePack. */
export function decodeBody(body: Buffer): unknown {
  if (body.length === 0) return undefined;
  try {
    return decode(body);
  } catch {
    return undefined;
  }
}
