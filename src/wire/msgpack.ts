/** MessagePack as the protocol uses it: plain maps keyed by text, integers as numbers. */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false, int64AsType: "number", encodeUndefinedAsNil: true });

export const encode = (value: unknown): Buffer => packr.pack(value);
export const decode = (bytes: Buffer): unknown => packr.unpack(bytes);
