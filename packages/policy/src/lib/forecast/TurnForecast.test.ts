/**
 * Forecasts on arrival rates whose turns follow each other, and on rates whose pattern breaks.
 */
import { assert, describe } from '@vanillathread/testing'
import { TurnForecast, type TurnHistory } from './TurnForecast.js'

const POOLS = ['a', 'b', 'c', 'd']
const STEP_MS = 200
const TURN_MS = 4_000

/** A turn with a rate of 1,000 cores, in a fleet of 4,000 cores. */
interface PlayedTurn {
  readonly pool: string
  readonly fromMs: number
  readonly toMs: number
}

function listTurns (order: string): PlayedTurn[] {
  return [...order].map((pool, index) => ({ pool, fromMs: index * TURN_MS, toMs: (index + 1) * TURN_MS })).filter(({ pool }) => pool !== '-')
}

/** Observes the turns until a time, and counts the forecasts for which machines would be ordered. */
function play (turns: readonly PlayedTurn[], untilMs: number, history?: TurnHistory, fromMs = 0): { forecast: TurnForecast, forecasts: number } {
  const forecast = TurnForecast.create(history)
  let last: unknown
  let forecasts = 0
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += STEP_MS) {
    const rates = POOLS.map((pool) => ({ pool, cpuMillis: turns.some((turn) => turn.pool === pool && nowMs >= turn.fromMs && nowMs < turn.toMs) ? 1e6 : 1e4 }))
    forecast.observe(nowMs, rates, 4e6)
    if (forecast.expected !== undefined && forecast.expected !== last && forecast.expected.confidence >= 0.3) forecasts += 1
    last = forecast.expected
  }
  return { forecast, forecasts }
}

describe('TurnForecast', ({ it, describe }) => {
  it('expects the only pool without a turn once three turns were alike', () => {
    const { expected } = play(listTurns('abcdabcd'), 10_000).forecast
    assert.equal([expected?.pool, expected?.startMs], ['d', 12_000])
    assert.is(expected?.heightCpuMillis, 1e6)
  })

  it('expects the pool that followed before, with full confidence after hits', () => {
    const { expected, score } = play(listTurns('abcdabcd'), 26_000).forecast
    assert.equal([expected?.pool, expected?.startMs, expected?.confidence], ['d', 28_000, 1])
    assert.is(score.misses, 0)
  })

  it('makes no forecast without a pattern: after two turns, for one short burst, and for rates that stay high', () => {
    assert.is(play(listTurns('ab'), 9_000).forecast.expected, undefined)
    assert.is(play([{ pool: 'a', fromMs: 2_000, toMs: 3_000 }], 9_000).forecast.expected, undefined)
    assert.is(play(POOLS.map((pool) => ({ pool, fromMs: 0, toMs: 60_000 })), 60_000).forecasts, 0)
  })

  it('makes at most one forecast for bursts at irregular times', () => {
    const bursts = [['d', 700, 3_100], ['a', 3_600, 6_500], ['a', 8_100, 12_800], ['b', 9_900, 12_000], ['c', 18_300, 22_100], ['d', 21_000, 25_400], ['a', 31_800, 33_700]] as const
    assert.ok(play(bursts.map(([pool, fromMs, toMs]) => ({ pool, fromMs, toMs })), 36_000).forecasts <= 1)
  })

  it('loses confidence when a turn is missing, and goes on with the order after it', () => {
    const { forecast } = play(listTurns('abcdab-dabcd'), 30_000)
    assert.is(forecast.lastOutcome, 'missed')
    assert.ok(forecast.score.misses >= 1)
    const later = play(listTurns('abcdab-dabcd'), 39_000).forecast.expected
    assert.is(later?.pool, 'c')
    assert.ok((later?.confidence ?? 1) < 1)
  })

  describe('with the history of a previous owner', ({ it }) => {
    const { history } = play(listTurns('abcdab'), 22_000).forecast

    it('continues the order through the turn that was in progress at the takeover', () => {
      const { expected } = play(listTurns('abcdabcd'), 27_000, history, 26_000).forecast
      assert.equal([expected?.pool, expected?.startMs], ['d', 28_000])
    })

    it('counts no miss for turns that passed unseen', () => {
      assert.is(play(listTurns('abcdab'), 60_000, history, 50_000).forecast.score.misses, history.misses)
    })
  })
})
