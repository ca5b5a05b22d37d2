/** Operator settings of admission control: sections `admission` and `admission.calendar.<name>` of the INI file. */
import * as z from "zod";
import { iniBoolean, iniNumber } from "../config/ini-values.js";
import { type Calendar, isTimeZone, type Period, type Weekday } from "./calendar.js";

/** Settings of admission control. The command `check` prints them under these field names. */
export interface AdmissionSettings {
  readonly enabled: boolean;
  /** Length of an admission window, as a multiple of the workers' heartbeat interval. */
  readonly windowRatio: number;
  /**
   * Limit on the queued work of a class, as a multiple of its share of the cluster. The unfinished tasks of its
   * admitted jobs may need up to `1 + queueRatio` times the resources of the share; the excess waits in the queue.
   */
  readonly queueRatio: number;
  readonly calendar: Calendar;
}

const WEEKDAYS: Readonly<Record<string, Weekday>> = {
  mon: 1,
  tue: 2,
  wed: 3,
  thu: 4,
  fri: 5,
  sat: 6,
  sun: 7,
};
const EVERY_DAY = Object.keys(WEEKDAYS).join(",");
const TIME_OF_DAY_PATTERN = /^([01]\d|2[0-4]):([0-5]\d)$/;
const MINUTES_PER_DAY = 24 * 60;

const timeOfDaySchema = z.string().transform((text, context) => {
  const match = TIME_OF_DAY_PATTERN.exec(text);
  const minutes = match === null ? Number.NaN : 60 * Number(match[1]) + Number(match[2]);
  if (!(minutes <= MINUTES_PER_DAY)) {
    context.addIssue({ code: "custom", message: "not a time of day HH:MM" });
    return z.NEVER;
  }
  return minutes;
});

const weekdaysSchema = z.string().transform((text, context) => {
  const days: Weekday[] = [];
  for (const word of text.split(",")) {
    const day = WEEKDAYS[word.trim().toLowerCase()];
    if (day === undefined) {
      context.addIssue({ code: "custom", message: `no weekday: ${word.trim()}` });
      return z.NEVER;
    }
    days.push(day);
  }
  return days;
});

const periodSchema = z.object({
  days: weekdaysSchema.default(() => weekdaysSchema.parse(EVERY_DAY)),
  from: timeOfDaySchema,
  to: timeOfDaySchema,
  team: z.string().min(1),
  class: z.string().min(1).optional(),
  weight: iniNumber(0.01, 100),
});

const admissionSchema = z.object({
  enabled: iniBoolean.default(false),
  window_ratio: iniNumber(0.2, 20).default(1),
  queue_ratio: iniNumber(0.1, 100).default(2),
  time_zone: z.string().refine(isTimeZone, "not a time zone").default("UTC"),
  calendar: z.record(z.string(), periodSchema).default({}),
});

/** Result of decoding the section `admission`. */
export interface DecodedAdmission {
  /** Null if there are faults. */
  readonly settings: AdmissionSettings | null;
  /** One line per invalid value. Each line begins with the key of the value. */
  readonly faults: readonly string[];
  /** Unknown keys, which are ignored. */
  readonly unknown: readonly string[];
}

/** Decodes the section that the INI parser returned. If it is missing (`undefined`), the defaults apply. */
export function decodeAdmission(rawSection: unknown): DecodedAdmission {
  if (rawSection !== undefined && (typeof rawSection !== "object" || rawSection === null)) {
    return { settings: null, faults: ["admission: not a section"], unknown: [] };
  }
  const section = (rawSection ?? {}) as Record<string, unknown>;
  const unknown = Object.keys(section)
    .filter((key) => !(key in admissionSchema.shape))
    .map((key) => `admission.${key}`);
  const parsed = admissionSchema.safeParse(section);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      (issue) => `admission.${issue.path.join(".")}: ${issue.message}`,
    );
    return { settings: null, faults, unknown };
  }
  const { enabled, window_ratio, queue_ratio, time_zone, calendar } = parsed.data;
  const periods: Period[] = Object.entries(calendar).map(([name, period]) => ({
    ...period,
    name,
    class: period.class ?? null,
  }));
  const settings: AdmissionSettings = {
    enabled,
    windowRatio: window_ratio,
    queueRatio: queue_ratio,
    calendar: { timeZone: time_zone, periods },
  };
  return { settings, faults: [], unknown };
}
