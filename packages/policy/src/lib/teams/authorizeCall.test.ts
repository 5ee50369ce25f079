/**
 * Decisions on calls of clients whose keys are unknown, removed, moved or malformed, by the age of the configuration.
 */
import { assert, describe } from '@vanillathread/testing'
import type { TeamRules } from '@vanillathread/model'
import { authorizeCall, CallRefusal, isFreshEnough, type CallState } from './authorizeCall.js'
import { KeyIndex } from './KeyIndex.js'

const BOUNDS = { configurationApplyMs: 3_000, keyRevocationMs: 5_000 }

function createTeam (name: string, ...keys: string[]): TeamRules {
  return { name, keys, weight: 1, cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } }
}

/** Decides on a call. Returns the reason of a refusal, otherwise the team. */
function decide (call: Partial<CallState>, ...teams: TeamRules[]): string | undefined {
  const keys = KeyIndex.create(teams.length > 0 ? teams : [createTeam('a', 'k-a'), createTeam('b', 'k-b')])
  const decision = authorizeCall({ key: 'k-a', isPublic: false, ageMs: 0, bounds: BOUNDS, keys, ...call })
  return decision.allowed ? decision.team : decision.refusal
}

describe('authorizeCall', ({ it }) => {
  it('serves a known key while the configuration is certain to be newer than any removal that must be in force', () => {
    assert.is(decide({ ageMs: 3_999 }), 'a')
    assert.is(decide({ ageMs: 4_000 }), CallRefusal.StaleConfiguration)
    assert.is(decide({ ageMs: Infinity }), CallRefusal.StaleConfiguration)
  })

  it('calls a key unknown only if no newer version can be in force that has it', () => {
    assert.is(decide({ key: 'other', ageMs: 2_999 }), CallRefusal.UnknownKey)
    assert.is(decide({ key: 'other', ageMs: 3_000 }), CallRefusal.StaleConfiguration)
  })

  it('refuses calls without a usable key, however long it is', () => {
    for (const key of [undefined, '', 'k'.repeat(257), '\u00e9'.repeat(129), 'k'.repeat(100_000)]) assert.is(decide({ key }), CallRefusal.MissingKey)
    assert.is(decide({ key: 'k'.repeat(256) }), CallRefusal.UnknownKey)
  })

  it('serves a public queue without a key and at any age', () => {
    assert.equal(authorizeCall({ key: undefined, isPublic: true, ageMs: Infinity, bounds: BOUNDS, keys: KeyIndex.create([]) }), { allowed: true })
  })

  it('gives a key to the team that holds it now, to the first of two, and to none once the last key of a team is gone', () => {
    assert.is(decide({}, createTeam('a'), createTeam('b', 'k-a')), 'b')
    assert.is(decide({}, createTeam('b', 'k-a'), createTeam('a', 'k-a')), 'b')
    assert.is(decide({}, createTeam('a')), CallRefusal.UnknownKey)
  })

  it('sets no limit on the age where the deployment has no time for revocations', () => {
    assert.is(decide({ ageMs: 1e9, bounds: { configurationApplyMs: 3_000 } }), 'a')
  })

  it('reports a daemon as not ready before its calls are refused', () => {
    assert.equal([2_499, 2_500].map((ageMs) => isFreshEnough(ageMs, BOUNDS)), [true, false])
  })
})
