/**
 * Recurring periods in which teams or classes weigh more or less, in an operator's time zone. Only the leader looks at the
 * clock: what follows from it stands in the window, so controllers do not differ at a boundary.
 */
import { DateTime, IANAZone } from "luxon";

/** Monday is 1, as in ISO 8601. */
export type Weekday = 1 | 2 | 3 | 4 | 5 | 6 | 7;

/** Minutes since local midnight. */
type MinuteOfDay = number;

export interface Period {
  readonly name: string;
  /** Days on which it begins. */
  readonly days: readonly Weekday[];
  readonly from: MinuteOfDay;
  /** No later than `from`: it ends on the next day. */
  readonly to: MinuteOfDay;
  readonly team: string;
  /** Null: the whole team. */
  readonly class: string | null;
  /** Factor on the weight. */
  readonly weight: number;
}

export interface Calendar {
  readonly timeZone: string;
  readonly periods: readonly Period[];
}

export function isTimeZone(name: string): boolean {
  return IANAZone.isValidZone(name);
}

const MINUTES_PER_DAY = 24 * 60;

/**
 * Start and end of the period that begins on the day of `at`. Local times that a change of clocks skips are moved on by as
 * much; of those that come twice the first counts.
 */
function occurrenceOn(period: Period, day: DateTime): { from: DateTime; to: DateTime } {
  const at = (minute: MinuteOfDay, date: DateTime): DateTime =>
    date.set({ hour: Math.floor(minute / 60), minute: minute % 60, second: 0, millisecond: 0 });
  const lastDay = period.to <= period.from ? day.plus({ days: 1 }) : day;
  const to =
    period.to % MINUTES_PER_DAY === 0 && period.to > 0
      ? at(0, day.plus({ days: 1 }))
      : at(period.to, lastDay);
  return { from: at(period.from, day), to };
}

function isActive(period: Period, local: DateTime): boolean {
  const today = local.startOf("day");
  // One that began yesterday may go on past midnight.
  for (const day of [today, today.minus({ days: 1 })]) {
    if (!period.days.includes(day.weekday as Weekday)) continue;
    const { from, to } = occurrenceOn(period, day);
    if (from <= local && local < to) return true;
  }
  return false;
}

/** The periods that are active at this time of day. */
export function activePeriods(calendar: Calendar, wallMs: number): Period[] {
  if (calendar.periods.length === 0) return [];
  const local = DateTime.fromMillis(wallMs, { zone: calendar.timeZone });
  return calendar.periods.filter((p) => isActive(p, local));
}
