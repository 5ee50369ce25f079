/**
 * Tests of a daemon's view of all daemons.
 */
import { assert, describe } from '@vanillathread/testing'
import { RandomSource } from '../random/RandomSource.js'
import { MemberPhase, MembershipView, MemberState, type MemberRecord } from './MembershipView.js'

const SUSPECT_AFTER_MS = 3_000

function createRecord (daemonId: string, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    daemonId, incarnation: 1, beat: 1, region: 'r', zone: 'z', peer: { host: '127.0.0.1', port: 1 }, version: 0, phase: MemberPhase.Serving, ...change,
  }
}

function createView (daemonId = 'self', change: { suspectAfterMs?: number } = {}): MembershipView {
  return MembershipView.create({ self: createRecord(daemonId), suspectAfterMs: SUSPECT_AFTER_MS, suspectPerDoublingMs: 1_000, counterShare: 0.4, minCounters: 8, ...change })
}

describe('MembershipView', ({ it, describe }) => {
  it('adds a member and ignores an older record of it', () => {
    const view = createView()
    view.merge([createRecord('a', { beat: 5 })], 0)
    view.merge([createRecord('a', { beat: 4, version: 9 })], 1)
    assert.equal(view.listOthers().map(({ record }) => [record.beat, record.version]), [[5, 0]])
    assert.equal(view.listActiveIds(), ['a', 'self'])
  })

  describe('suspicion', ({ it }) => {
    it('suspects a member (state `silent`) when its counter stops advancing, and keeps it listed', () => {
      const view = createView()
      view.merge([createRecord('a')], 0)
      view.merge([createRecord('a')], SUSPECT_AFTER_MS - 1)
      const { lost } = view.updateSuspicions(SUSPECT_AFTER_MS)
      assert.equal(lost.map(({ daemonId }) => daemonId), ['a'])
      assert.equal(view.getMemberCounts(), { unsuspected: 1, listed: 2 })
      assert.equal(view.listActiveIds(), ['self'])
    })

    it('ends when the counter advances again', () => {
      const view = createView()
      view.merge([createRecord('a')], 0)
      view.updateSuspicions(SUSPECT_AFTER_MS)
      view.merge([createRecord('a', { beat: 2 })], SUSPECT_AFTER_MS + 1)
      assert.is(view.listOthers()[0]?.state, MemberState.Live)
    })

    it('removes the member once the platform confirms that it is gone; only a newer record adds it again', () => {
      const view = createView()
      view.merge([createRecord('a', { beat: 7 })], 0)
      assert.is(view.removeSuspected('a'), false)
      view.updateSuspicions(SUSPECT_AFTER_MS)
      assert.is(view.removeSuspected('a'), true)
      view.merge([createRecord('a', { beat: 7 })], SUSPECT_AFTER_MS + 1)
      assert.is(view.listOthers().length, 0)
      view.merge([createRecord('a', { beat: 8 })], SUSPECT_AFTER_MS + 2)
      assert.is(view.listOthers().length, 1)
    })
  })

  describe('heartbeats', ({ it }) => {
    it('carry the whole record of a new member six times, and then only its counter', () => {
      const view = createView()
      view.merge([createRecord('a')], 0)
      for (let round = 0; round < 6; round++) assert.equal(view.chooseContent().records.map(({ daemonId }) => daemonId), ['self', 'a'])
      const { records, pulses } = view.chooseContent()
      assert.equal([records.length, pulses.map(({ daemonId }) => daemonId)], [1, ['a']])
    })

    it('advance the counter of a known member, and ignore the counter of an unknown one', () => {
      const view = createView()
      view.merge([createRecord('a')], 0)
      view.mergeCounters([{ daemonId: 'a', incarnation: 1, beat: 9, version: 4 }, { daemonId: 'b', incarnation: 1, beat: 9, version: 4 }], 1)
      assert.equal(view.listOthers().map(({ record }) => [record.daemonId, record.beat, record.version]), [['a', 9, 4]])
    })

    it('keep a hundred daemons live in every view with three messages per daemon and round', () => {
      const random = RandomSource.create(5)
      const ids = Array.from({ length: 100 }, (_, index) => `daemon-${index}`)
      const views = new Map(ids.map((id) => [id, createView(id, { suspectAfterMs: 4_000 })]))
      for (const view of views.values()) view.merge(ids.map((id) => createRecord(id)), 0)
      for (let nowMs = 1_000; nowMs <= 30_000; nowMs += 1_000) {
        for (const view of views.values()) {
          view.advanceSelf({ version: 0, phase: MemberPhase.Serving })
          for (const target of view.chooseTargets(3, random)) {
            const peer = views.get(target.daemonId)
            const [sent, answered] = [view.chooseContent(), peer?.chooseContent()]
            peer?.merge(sent.records, nowMs)
            peer?.mergeCounters(sent.pulses, nowMs)
            view.merge(answered?.records ?? [], nowMs)
            view.mergeCounters(answered?.pulses ?? [], nowMs)
          }
        }
        for (const view of views.values()) assert.equal(view.updateSuspicions(nowMs).lost, [])
      }
    })
  })

  describe('leaving', ({ it }) => {
    it('ends the share of work when it begins, and the listing at its end', () => {
      const view = createView()
      view.merge([createRecord('a')], 0)
      view.merge([createRecord('a', { beat: 2, phase: MemberPhase.Leaving })], 1)
      assert.equal([view.listActiveIds(), view.getMemberCounts().listed], [['self'], 2])
      const { left } = view.merge([createRecord('a', { beat: 3, phase: MemberPhase.Left })], 2)
      assert.equal([left.length, view.getMemberCounts().listed], [1, 1])
    })

    it('is passed on to daemons to which the member did not send its last record', () => {
      const [first, second] = [createView('first'), createView('second')]
      second.merge([createRecord('a', { phase: MemberPhase.Leaving })], 0)
      first.merge([createRecord('a', { beat: 2, phase: MemberPhase.Left })], 0)
      const { left } = second.merge(first.chooseContent().records, 1)
      assert.equal(left.map(({ daemonId }) => daemonId), ['a'])
      assert.is(second.listOthers().some(({ record }) => record.daemonId === 'a'), false)
    })
  })

  it('makes a new member known to sixty daemons within eight rounds of four messages per daemon', () => {
    const random = RandomSource.create(3)
    const ids = Array.from({ length: 60 }, (_, index) => `daemon-${index}`)
    const views = new Map(ids.map((id) => [id, createView(id)]))
    for (const view of views.values()) view.merge(ids.map((id) => createRecord(id)), 0)
    views.get('daemon-0')?.merge([createRecord('new')], 0)
    for (let round = 0; round < 8; round++) {
      for (const view of views.values()) {
        for (const target of view.chooseTargets(4, random)) views.get(target.daemonId)?.merge(view.chooseContent().records, round)
      }
    }
    const unaware = [...views.values()].filter((view) => !view.listActiveIds().includes('new'))
    assert.is(unaware.length, 0)
  })
})
