/** Building blocks that the decoders of messages share. */
import * as z from "zod";

/** Keys of the key-value store hold at most 200 bytes without spaces; ours put up to four characters before an id. */
export const MAX_ID_BYTES = 190;

/** May this text name a job? Printable ASCII that needs no escaping in a URL, and is short enough for a key. */
export const isValidJobId = (id: string): boolean =>
  id.length > 0 &&
  Buffer.byteLength(id) <= MAX_ID_BYTES &&
  /^[\x21-\x7e]+$/.test(id) &&
  !/[/?#%&]/.test(id);

/** A valid job id. */
export const jobIdSchema = z.string().refine(isValidJobId);

/** Text of at least one and at most `maxBytes` bytes in UTF-8. */
export const boundedText = (maxBytes: number) =>
  z
    .string()
    .min(1)
    .refine((text) => Buffer.byteLength(text) <= maxBytes);

/** A name of a team, a job class, a zone or a machine type. */
export const nameText = boundedText(MAX_ID_BYTES);

/** A finite number that is not negative. */
export const nonNegativeNumber = z.number().nonnegative().finite();

/** A whole number that is not negative. */
export const nonNegativeInteger = z.number().int().nonnegative();

/** A text that is a key of `values`, decoded into the value that stands there. */
export const mappedEnum = <V>(values: Record<string, V>) =>
  z.string().transform((text, context): V => {
    if (Object.hasOwn(values, text)) return values[text]!;
    context.addIssue({ code: "custom", message: "unknown value" });
    return z.NEVER;
  });

/** The fields of a message before they are checked. */
type UncheckedFields = Readonly<Record<string, unknown>>;

/** May this value be read field by field? */
export const isObject = (value: unknown): value is UncheckedFields =>
  typeof value === "object" && value !== null;

/** Each entry of a list decoded, or null if `list` is no list or an entry is malformed. */
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
