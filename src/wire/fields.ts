/** Schemas and helpers shared by the message decoders. */
import * as z from "zod";

/**
 * Maximum size of an id or a name. A key of the state service has at most 200 bytes and no spaces, and contains a
 * prefix of up to four characters before the id. The key of a job shard also has the shard's number after the id.
 */
export const MAX_ID_BYTES = 190;

/**
 * True for printable ASCII without spaces and without the characters that separate the parts of a URL, if it is short
 * enough for a key of the state service.
 */
export const isValidJobId = (id: string): boolean =>
  id.length > 0 &&
  Buffer.byteLength(id) <= MAX_ID_BYTES &&
  /^[\x21-\x7e]+$/.test(id) &&
  !/[/?#%&]/.test(id);

/** Schema of a valid job id. */
export const jobIdSchema = z.string().refine(isValidJobId);

/** Schema of a non-empty string of at most `maxBytes` bytes in UTF-8. */
export const boundedText = (maxBytes: number) =>
  z
    .string()
    .min(1)
    .refine((text) => Buffer.byteLength(text) <= maxBytes);

/** Schema of the name of a team, a job class, a zone or a machine type. */
export const nameText = boundedText(MAX_ID_BYTES);

/** Schema of a finite, non-negative number. */
export const nonNegativeNumber = z.number().nonnegative().finite();

/** Schema of a non-negative integer. */
export const nonNegativeInteger = z.number().int().nonnegative();

/** Schema of a string that is a key of `values`; it is decoded into the value of that key. */
export const mappedEnum = <V>(values: Record<string, V>) =>
  z.string().transform((text, context): V => {
    if (Object.hasOwn(values, text)) return values[text]!;
    context.addIssue({ code: "custom", message: "unknown value" });
    return z.NEVER;
  });

/** An object whose fields have not been validated. */
type UncheckedFields = Readonly<Record<string, unknown>>;

/** True if the value is an object or an array, so that its fields can be read. */
export const isObject = (value: unknown): value is UncheckedFields =>
  typeof value === "object" && value !== null;

/** Decodes each entry of a list; null if `list` is not an array or an entry is malformed. */
export function decodeList<T>(
  list: unknown,
  decodeEntry: (entry: unknown) => T | null,
): T[] | null {
  if (!Array.isArray(list)) return null;
  const decoded: T[] = [];
  for (const entry of list) {
    const value = decodeEntry(entry);
    if (value === null) return null;
    decoded.push(value);
  }
  return decoded;
}
