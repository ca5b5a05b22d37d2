/** Schemas for values of an INI file, which the INI parser returns as strings or booleans. */
import * as z from "zod";

/** A boolean, written as `true` or `false`. */
export const iniBoolean = z
  .union([z.boolean(), z.enum(["true", "false"])])
  .transform((value) => value === true || value === "true");

/** Returns a schema for a number from `min` to `max`. An empty string is invalid and does not count as 0. */
export const iniNumber = (min: number, max: number) =>
  z
    .union([z.number(), z.string().trim().min(1, "missing")])
    .transform(Number)
    .pipe(z.number().min(min).max(max));
