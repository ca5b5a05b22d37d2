/**
 * The weight calendar: recurring periods in which the weight of a team or class is higher or lower, in a time zone
 * that the operator configures. Only the leader evaluates the calendar, and the admission window contains the result.
 * So all controllers make the same decisions when a period begins or ends, even if their clocks differ.
 */
import { DateTime, IANAZone } from "luxon";

/** Day of the week as in ISO 8601: Monday is 1. */
export type Weekday = 1 | 2 | 3 | 4 | 5 | 6 | 7;

/** Minutes since local midnight. */
type MinuteOfDay = number;

/** A recurring period, configured in a section `admission.calendar.<name>`. */
export interface Period {
  /** The `<name>` part of its section. */
  readonly name: string;
  /** Weekdays on which the period begins. */
  readonly days: readonly Weekday[];
  /** Local time at which the period begins. */
  readonly from: MinuteOfDay;
  /** Local time at which the period ends; on the following day if it is not later than `from`. */
  readonly to: MinuteOfDay;
  readonly team: string;
  /** Class of the team that the period applies to, or null for the whole team. */
  readonly class: string | null;
  /** Factor that multiplies the weight while the period is active. */
  readonly weight: number;
}

/** All periods, with the IANA time zone of their times of day. */
export interface Calendar {
  readonly timeZone: string;
  readonly periods: readonly Period[];
}

/** Returns whether the name is that of an IANA time zone. */
export function isTimeZone(name: string): boolean {
  return IANAZone.isValidZone(name);
}

const MINUTES_PER_DAY = 24 * 60;

function atMinute(minute: MinuteOfDay, day: DateTime): DateTime {
  return day.set({ hour: Math.floor(minute / 60), minute: minute % 60, second: 0, millisecond: 0 });
}

/**
 * Returns the start and end of the period that begins on `day`. A local time skipped by the change to daylight saving
 * time is moved forward by the length of the gap. If a local time occurs twice, the first occurrence is used.
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

/** Returns the periods that are active at a time, given in milliseconds since the Unix epoch. */
export function activePeriods(calendar: Calendar, wallMs: number): Period[] {
  if (calendar.periods.length === 0) return [];
  const local = DateTime.fromMillis(wallMs, { zone: calendar.timeZone });
  return calendar.periods.filter((period) => isActive(period, local));
}
