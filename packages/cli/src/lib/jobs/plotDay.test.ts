/**
 * Checks the plot of the log lines of a day.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import type { TimelineEntry } from '../logTimeline.js'
import { plotDay } from './plotDay.js'

function createEntry (second: number, event: EventCode, fields: Record<string, unknown>): TimelineEntry {
  return { time: new Date(second * 1_000).toISOString(), daemon: 'a', event, message: '', fields }
}

describe('plotDay', ({ it }) => {
  it('draws a curve for each queue and pool, which goes up and down again', () => {
    const svg = plotDay([
      createEntry(0, EventCode.VmSeen, { vm: 'v1', pool: 'pool-1' }),
      createEntry(1, EventCode.JobOwned, { job: 'j1', queue: 'q<1>' }),
      createEntry(2, EventCode.JobOwned, { job: 'j1', queue: 'q<1>' }),
      createEntry(4, EventCode.JobEnded, { job: 'j1', state: 'complete' }),
      createEntry(5, EventCode.JobRefused, { job: 'j2' }),
      createEntry(10, EventCode.VmForgotten, { vm: 'v1' }),
    ])
    assert.ok(svg.startsWith('<svg') && svg.trimEnd().endsWith('</svg>'))
    assert.is(svg.match(/<polyline/g)?.length, 3)
    assert.ok(svg.includes('q&#60;1&#62;') && svg.includes('pool-1') && !svg.includes('q<1>'))
    const curve = /<polyline[^>]*points="([^"]*)"/.exec(svg)?.[1]?.split(' ') ?? []
    const heights = curve.map((point) => Number(point.split(',')[1]))
    assert.is(heights.at(-1), heights[0])
    assert.ok(Math.min(...heights) < (heights[0] ?? 0))
  })

  it('draws an empty day', () => {
    assert.ok(plotDay([createEntry(0, EventCode.DaemonStarted, {})]).includes('<svg'))
  })
})
