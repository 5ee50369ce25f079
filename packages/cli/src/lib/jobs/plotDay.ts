/**
 * Plots the daemons' log lines of a day: open jobs by queue, VMs by pool, and refusals.
 */
import { EventCode } from '@vanillathread/model'
import type { TimelineEntry } from '../logTimeline.js'

/** Points of a curve: milliseconds since the first line, and the value at that time. */
type Curve = ReadonlyArray<readonly [atMs: number, value: number]>

/** Width of the image, in pixels. */
const WIDTH = 900
/** Height of the curves of one panel, in pixels. */
const PANEL_HEIGHT = 180
/** Space around the curves of a panel, in pixels. */
const MARGIN = 50
const COLOURS = ['#1b6ca8', '#c8553d', '#3c896d', '#8a5a9e', '#b8860b', '#555555']
/** Length of the windows in which refusals are counted. */
const REFUSAL_WINDOW_MS = 1_000

/** Returns an SVG document that shows a day. The entries must be sorted by time. @public */
export function plotDay (entries: readonly TimelineEntry[]): string {
  const startMs = Date.parse(entries[0]?.time ?? '')
  const durationMs = Date.parse(entries.at(-1)?.time ?? '') - startMs
  const getOffsetMs = (entry: TimelineEntry): number => Date.parse(entry.time) - startMs
  const panels = [
    { title: 'open jobs by queue', curves: countOpenJobs(entries, getOffsetMs) },
    { title: 'VMs by pool', curves: countVms(entries, getOffsetMs) },
    { title: 'refusals a second', curves: new Map([['refusals', countRefusals(entries, getOffsetMs, durationMs)]]) },
  ]
  const body = panels.map((panel, index) => drawPanel(panel.title, panel.curves, durationMs, index * (PANEL_HEIGHT + MARGIN)))
  const height = panels.length * (PANEL_HEIGHT + MARGIN)
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="11">\n${body.join('\n')}\n</svg>\n`
}

function countOpenJobs (entries: readonly TimelineEntry[], getOffsetMs: (entry: TimelineEntry) => number): Map<string, Curve> {
  const queueByJob = new Map<string, string>()
  return accumulateCurves(entries, getOffsetMs, ({ event, fields }) => {
    const job = String(fields['job'])
    if (event === EventCode.JobOwned && !queueByJob.has(job)) {
      queueByJob.set(job, String(fields['queue']))
      return [String(fields['queue']), 1]
    }
    const queue = queueByJob.get(job)
    return event === EventCode.JobEnded && queue !== undefined ? [queue, -1] : undefined
  })
}

function countVms (entries: readonly TimelineEntry[], getOffsetMs: (entry: TimelineEntry) => number): Map<string, Curve> {
  const poolByVm = new Map<string, string>()
  return accumulateCurves(entries, getOffsetMs, ({ event, fields }) => {
    const vm = String(fields['vm'])
    const pool = poolByVm.get(vm)
    if (event === EventCode.VmSeen && pool === undefined) {
      poolByVm.set(vm, String(fields['pool']))
      return [String(fields['pool']), 1]
    }
    if (event !== EventCode.VmForgotten || pool === undefined) return undefined
    poolByVm.delete(vm)
    return [pool, -1]
  })
}

/** Returns a step curve for each name: the running sum of the changes that `getChange` returns for the entries. */
function accumulateCurves (
  entries: readonly TimelineEntry[], getOffsetMs: (entry: TimelineEntry) => number, getChange: (entry: TimelineEntry) => readonly [string, number] | undefined
): Map<string, Curve> {
  const curves = new Map<string, Array<readonly [number, number]>>()
  for (const entry of entries) {
    const [name, step] = getChange(entry) ?? []
    if (name === undefined || step === undefined) continue
    const curve = curves.get(name) ?? [[0, 0]]
    const value = curve.at(-1)?.[1] ?? 0
    curve.push([getOffsetMs(entry), value], [getOffsetMs(entry), value + step])
    curves.set(name, curve)
  }
  return curves
}

function countRefusals (entries: readonly TimelineEntry[], getOffsetMs: (entry: TimelineEntry) => number, durationMs: number): Curve {
  const refusalCounts = Array.from({ length: Math.ceil((durationMs + 1) / REFUSAL_WINDOW_MS) }, () => 0)
  for (const entry of entries) {
    const window = Math.floor(getOffsetMs(entry) / REFUSAL_WINDOW_MS)
    if (entry.event === EventCode.JobRefused) refusalCounts[window] = (refusalCounts[window] ?? 0) + 1
  }
  return refusalCounts.map((value, index) => [index * REFUSAL_WINDOW_MS, value])
}

function drawPanel (title: string, curves: ReadonlyMap<string, Curve>, durationMs: number, top: number): string {
  const maxValue = Math.max(1, ...[...curves.values()].flatMap((curve) => curve.map(([, value]) => value)))
  const x = (atMs: number): string => (MARGIN + (WIDTH - 2 * MARGIN) * atMs / Math.max(1, durationMs)).toFixed(1)
  const y = (value: number): string => (top + MARGIN / 2 + PANEL_HEIGHT * (1 - value / maxValue)).toFixed(1)
  const lines = [...curves].map(([name, curve], index) => {
    const colour = COLOURS[index % COLOURS.length] ?? ''
    const points = curve.map(([atMs, value]) => `${x(atMs)},${y(value)}`).join(' ')
    const label = `<text x="${WIDTH - MARGIN + 4}" y="${top + MARGIN / 2 + 12 * (index + 1)}" fill="${colour}">${escapeText(name)}</text>`
    return `<polyline fill="none" stroke="${colour}" points="${points}"/>${label}`
  })
  const axis = `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y(0)}" y2="${y(0)}" stroke="black"/>`
  const scale = `<text x="4" y="${y(maxValue)}">${maxValue}</text><text x="${WIDTH - MARGIN - 30}" y="${Number(y(0)) + 14}">${(durationMs / 1_000).toFixed(0)} s</text>`
  return `<text x="${MARGIN}" y="${top + MARGIN / 2 - 6}">${title}</text>${axis}${scale}${lines.join('')}`
}

function escapeText (text: string): string {
  return text.replace(/[<>&]/g, (character) => `&#${character.charCodeAt(0)};`)
}
