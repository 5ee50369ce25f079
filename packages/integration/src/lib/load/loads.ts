/**
 * Loads for the site with turns: the regular turns, and loads whose pattern is broken or missing.
 */
import type { LoadSite, LoadTurn } from './LoadSite.js'
import { listTurns } from './LoadSite.js'

function shift (turn: LoadTurn, byMs: number): LoadTurn {
  return { ...turn, fromMs: turn.fromMs + byMs, toMs: turn.toMs + byMs }
}

/** Bursts at times and of queues without any order; fixed, so that all planners meet the same ones. */
const RANDOM_BURSTS: readonly LoadTurn[] = [
  ['wide-b', 700, 2_400], ['short-a', 3_600, 2_900], ['short-a', 8_100, 4_700], ['wide-a', 9_900, 2_100], ['short-b', 14_300, 3_800],
  ['wide-b', 16_000, 4_400], ['short-a', 21_800, 1_900], ['wide-a', 22_900, 5_200], ['wide-a', 29_500, 2_700], ['short-b', 31_000, 2_800],
].map(([queue, fromMs, lengthMs]) => ({ queue: String(queue), fromMs: Number(fromMs), toMs: Number(fromMs) + Number(lengthMs) }))

/** Returns a site with each load, by the load's name. */
export function createLoads (site: LoadSite): ReadonlyMap<string, LoadSite> {
  const regular = listTurns(site)
  const withTurns = (turns: readonly LoadTurn[]): LoadSite => ({ ...site, turns })
  return new Map<string, LoadSite>([
    ['turns', site],
    ['long work', { ...site, staysSlow: true }],
    ['random', withTurns(RANDOM_BURSTS)],
    // The second turn of the third queue is missing.
    ['missing', withTurns(regular.filter((_turn, index) => index !== 6))],
    // From the second cycle on, turns begin a second later, and in the other load a second earlier, than the first cycle lets expect.
    ['late', withTurns(regular.map((turn, index) => index >= 5 ? shift(turn, 1_000) : turn))],
    ['early', withTurns(regular.map((turn, index) => index >= 5 ? shift(turn, -1_000) : turn))],
    ['double', withTurns(regular.slice(0, 6).map((turn, index) => index === 5 ? { ...turn, toMs: turn.toMs + 4_000 } : turn).concat(regular.slice(6).map((turn) => shift(turn, 4_000)).filter(({ fromMs }) => fromMs < site.lengthMs)))],
    ['two at once', withTurns(regular.flatMap((turn, index) => index === 5 ? [turn, { ...turn, queue: 'short-b' }] : [turn]))],
    ['large job', { ...site, turns: [], largeJobs: [{ queue: 'wide-b', atMs: 12_000, tasks: 600 * site.ordersPerSecond / 64 }] }],
  ])
}
