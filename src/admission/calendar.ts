/**
 * The weight calendar: recurring periods in which a team or a class weighs more or less, in a time zone that the operator
 * sets. Only the leader reads the clock; the window names the periods it followed, so controllers whose clocks differ
 * still decide alike at a boundary.
 */
import { DateTime, IANAZone } from "luxon";

/** Day of the week as in ISO 8601: Monday is 1. */
export type Weekday = 1 | 2 | 3 | 4 | 5 | 6 | 7;

/** Minutes since local midnight. */
type MinuteOfDay = number;

/** One recurring period, as configured in a section `admission.calendar.<name>`. */
export interface Period {
  /** Name of its section. */
  readonly name: string;
  /** Days on which it begins. */
  readonly days: readonly Weekday[];
  /** Local time at which it begins. */
  readonly from: MinuteOfDay;
  /** Local time at which it ends; not later than `from`: on the following day. */
  readonly to: MinuteOfDay;
  readonly team: string;
  /** Class of the team that it applies to; null: the whole team. */
  readonly class: string | null;
  /** Factor on the weight while the period is active. */
  readonly weight: number;
}

/** All periods, with the IANA time zone in which their times of day are read. */
export interface Calendar {
  readonly timeZone: string;
  readonly periods: readonly Period[];
}

/** Is this the name of an IANA time zone? */
export function isTimeZone(name: string): boolean {
  return IANAZone.isValidZone(name);
}

const MINUTES_PER_DAY = 24 * 60;

function atMinute(minute: MinuteOfDay, day: DateTime): DateTime {
  return day.set({ hour: Math.floor(minute / 60), minute: minute % 60, second: 0, millisecond: 0 });
}

/**
 * Start and end of the period that begins on `day`. A local time that a change to summer time skips is moved on by the
 * length of the gap; of a local time that occurs twice the first occurrence counts.
 */
function occurrenceOn(day: DateTime, period: Period): { from: DateTime; to: DateTime } {
  const lastDay = period.to <= period.from ? day.plus({ days: 1 }) : day;
  const to =
    period.to % MINUTES_PER_DAY === 0 && period.to > 0
      ? atMinute(0, day.plus({ days: 1 }))
      : atMinute(period.to, lastDay);
  return { from: atMinute(period.from, day), to };
}

function isActive(period: Period, local: DateTime): boolean {
  const today = local.startOf("day");
  // A period that began yesterday may extend past midnight.
  for (const day of [today, today.minus({ days: 1 })]) {
    if (!period.days.includes(day.weekday as Weekday)) continue;
    const { from, to } = occurrenceOn(day, period);
    if (from <= local && local < to) return true;
  }
  return false;
}

/** The periods that are active at a time of day, given in milliseconds since the Unix epoch. */
export function activePeriods(calendar: Calendar, wallMs: number): Period[] {
  if (calendar.periods.length === 0) return [];
  const local = DateTime.fromMillis(wallMs, { zone: calendar.timeZone });
  return calendar.periods.filter((period) => isActive(period, local));
}
