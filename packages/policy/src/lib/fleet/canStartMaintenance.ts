/**
 * Checks the maintenance windows of a pool.
 */
import { Weekday, type MaintenanceWindow } from '@vanillathread/model'

const MINUTES_PER_HOUR = 60
const MINUTES_PER_DAY = 24 * MINUTES_PER_HOUR

/** Days in the order of `Date.getUTCDay`. */
const DAYS: readonly Weekday[] = [
  Weekday.Sunday, Weekday.Monday, Weekday.Tuesday, Weekday.Wednesday, Weekday.Thursday, Weekday.Friday, Weekday.Saturday,
]

/**
 * Returns true if maintenance of one more VM may start: a window of the pool is open and stays open
 * for at least the minutes that the window allots to one VM. Windows are in UTC. A window that passes
 * midnight belongs to the day on which it opens.
 *
 * @param nowMs - wall-clock time in milliseconds since 1970.
 * @public
 */
export function canStartMaintenance (windows: readonly MaintenanceWindow[], poolId: string, nowMs: number): boolean {
  return windows.some((window) => window.pools.includes(poolId) && getMinutesLeft(window, nowMs) >= window.vmMinutes)
}

/** Returns the minutes until the window closes, or 0 or less if it is not open. */
function getMinutesLeft (window: MaintenanceWindow, nowMs: number): number {
  const now = new Date(nowMs)
  const minute = now.getUTCHours() * MINUTES_PER_HOUR + now.getUTCMinutes()
  const today = now.getUTCDay()
  const from = parseMinutes(window.from)
  const length = (parseMinutes(window.to) - from + MINUTES_PER_DAY) % MINUTES_PER_DAY || MINUTES_PER_DAY
  const sinceToday = minute - from
  if (sinceToday >= 0 && isOnDay(window, today)) return length - sinceToday
  const sinceYesterday = sinceToday + MINUTES_PER_DAY
  return isOnDay(window, today - 1) ? length - sinceYesterday : 0
}

function isOnDay (window: MaintenanceWindow, day: number): boolean {
  const name = DAYS[(day + DAYS.length) % DAYS.length]
  return name !== undefined && window.days.includes(name)
}

function parseMinutes (timeOfDay: string): number {
  const [hours = '0', minutes = '0'] = timeOfDay.split(':')
  return Number(hours) * MINUTES_PER_HOUR + Number(minutes)
}
