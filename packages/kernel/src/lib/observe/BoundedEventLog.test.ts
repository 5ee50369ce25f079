/**
 * Checks the limit on lines per event, and the count of dropped lines.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import { FakeTimerService } from '../timer/FakeTimerService.js'
import { BoundedEventLog } from './BoundedEventLog.js'
import { MemoryEventLog } from './EventLog.js'

describe('BoundedEventLog', ({ it }) => {
  it('writes lines up to the limit, reports how many it left out, and writes again in the next second', async () => {
    const timers = FakeTimerService.create()
    const memory = MemoryEventLog.create()
    const seen: EventCode[] = []
    const log = BoundedEventLog.create({ log: memory, timers, linesPerSecond: 3, onEvent: (code) => seen.push(code) })
    for (let index = 0; index < 50; index++) log.write(EventCode.JobRefused, { job: String(index) })
    log.write(EventCode.ShardTaken)
    await timers.advance(1_000)
    log.write(EventCode.JobRefused, { job: 'next' })
    assert.is(seen.length, 52)
    assert.equal(memory.records.map((record) => record.code), [
      EventCode.JobRefused, EventCode.JobRefused, EventCode.JobRefused, EventCode.ShardTaken, EventCode.LogLinesDropped, EventCode.JobRefused,
    ])
    assert.equal(memory.records[4]?.fields, { of: EventCode.JobRefused, lines: 47, inMs: 1_000 })
    log.dispose()
  })
})
