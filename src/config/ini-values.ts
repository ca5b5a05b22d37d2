/** Schemas for values of an INI file, which its parser leaves as texts or booleans. */
import * as z from "zod";

/** `true` or `false`. */
export const iniBoolean = z
  .union([z.boolean(), z.enum(["true", "false"])])
  .transform((value) => value === true || value === "true");

/** A number within bounds; an empty text is none. */
export const iniNumber = (min: number, max: number) =>
  z
    .union([z.number(), z.string().trim().min(1, "missing")])
    .transform(Number)
    .pipe(z.number().min(min).max(max));
