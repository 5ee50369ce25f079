/**
 * `npm run bench:load`: compares ways of sharing slots under load and faults.
 */
import { Command } from 'commander'
import { WorkClass } from '@vanillathread/model'
import { EndpointFault } from '@vanillathread/stand-ins'
import type { CallerResult } from './hosts/callerHost.js'
import { testbedSizes, LoadTestbed, SERVICE_CAPACITY } from './lib/LoadTestbed.js'
import { Sharing } from './lib/sharing.js'

/** Mean demand of a service as a share of its capacity; in a burst of {@link BURST_FACTOR} times the mean, the demand is twice the capacity. */
const MEAN_LOAD_SHARE = 0.4
/** Demand as a multiple of the mean, for the service that has the burst and for the others meanwhile. */
const BURST_FACTOR = 5
const QUIET_FACTOR = 0.05
const DEADLINE_MS = 2_000
const BURST_SERVICE = 'listings'
/** Lowest goodput (share of the capacity) and highest share of retries; the bench prints them beside the results of credits. */
const GOODPUT_BOUND = 0.95
const RETRY_BOUND = 0.1

const command = new Command('bench:load')
  .option('--ways <list>', 'ways of sharing, separated by commas', Object.values(Sharing).join(','))
  .option('--faults', 'also run with an endpoint whose requests all fail, and with the loss of a daemon')
  .option('--seconds <seconds>', 'length of each run', '6')
command.parse()
const options = command.opts<{ ways: string, faults?: boolean, seconds: string }>()
const durationMs = Number(options.seconds) * 1000
const meanRate = SERVICE_CAPACITY * MEAN_LOAD_SHARE

/**
 * A row of the printed table. Latencies are in milliseconds. Counts and latencies are those of the service that has the bursts;
 * `max running` is the maximum of all endpoints, and `core-ms per answer` is the daemons' CPU time per request that any endpoint ran.
 */
interface ResultRow {
  way: string
  load: string
  'goodput %': number
  'urgent answered %': number
  'urgent p50': number
  'urgent p99': number
  'urgent p99.9': number
  'normal p99': number
  'refused %': number
  'refusal p50': number
  'refusal p99': number
  'unknown + failed': number
  'runs per answer': number
  'endpoint refusals %': number
  'max running': number
  'core-ms per answer': number
}

const rows: ResultRow[] = []
for (const way of options.ways.split(',') as Sharing[]) {
  const testbed = await LoadTestbed.create(way)
  for (const factor of [0.2, 1]) rows.push(await measure(testbed, way, `${factor}x all`, () => testbed.run(createPlan(testbed, () => factor))))
  rows.push(await measure(testbed, way, '5x one', () => testbed.run(createPlan(testbed, getBurstFactor))))
  if (options.faults === true) await measureFaults(testbed, way)
  testbed.dispose()
}
console.table(rows)
const creditRows = rows.filter((row) => row.way === Sharing.Credits && row.load === '5x one')
for (const row of creditRows) {
  console.log(`credits at 5x: goodput ${row['goodput %']} % (bound ${GOODPUT_BOUND * 100} %), retries ${Math.round((row['runs per answer'] - 1) * 1000) / 10} % (bound ${RETRY_BOUND * 100} %)`)
}

async function measureFaults (testbed: LoadTestbed, way: Sharing): Promise<void> {
  await testbed.setFault(`${BURST_SERVICE}-1`, EndpointFault.FailFast)
  rows.push(await measure(testbed, way, '1x, one fails all', () => testbed.run(createPlan(testbed, () => 1))))
  rows.push(await measure(testbed, way, '5x, one fails all', () => testbed.run(createPlan(testbed, getBurstFactor))))
  await testbed.setFault(`${BURST_SERVICE}-1`, EndpointFault.None)
  await new Promise((resolve) => { setTimeout(resolve, 6_000) })
  rows.push(await measure(testbed, way, '5x, daemon lost', async () => {
    const running = testbed.run(createPlan(testbed, getBurstFactor))
    await new Promise((resolve) => { setTimeout(resolve, durationMs / 4) })
    await testbed.killDaemon()
    return running
  }))
}

function getBurstFactor (service: string): number {
  return service === BURST_SERVICE ? BURST_FACTOR : QUIET_FACTOR
}

function createPlan (testbed: LoadTestbed, getFactor: (service: string) => number): Parameters<LoadTestbed['run']>[0] {
  return {
    loads: testbedSizes.services.map((service) => ({ path: testbed.getPath(service), requestsPerSecond: meanRate * getFactor(service) })),
    durationMs,
    deadlineMs: DEADLINE_MS,
    seed: 5,
    measuredPath: testbed.getPath(BURST_SERVICE),
  }
}

async function measure (testbed: LoadTestbed, way: string, load: string, run: () => Promise<CallerResult>): Promise<ResultRow> {
  const before = await takeSnapshot(testbed)
  const result = await run()
  const after = await takeSnapshot(testbed)
  const urgent = result.latency[WorkClass.Urgent]
  const runs = after.runs - before.runs
  return {
    way,
    load,
    'goodput %': round(100 * result.answeredUnderLoad / (SERVICE_CAPACITY * durationMs / 1000)),
    'urgent answered %': round(100 * result.urgentAnswered / Math.max(1, result.urgentSent)),
    'urgent p50': round(urgent.p50),
    'urgent p99': round(urgent.p99),
    'urgent p99.9': round(urgent.p999),
    'normal p99': round(result.latency[WorkClass.Normal].p99),
    'refused %': round(100 * result.refused / result.sent),
    'refusal p50': round(result.refusal.p50),
    'refusal p99': round(result.refusal.p99),
    'unknown + failed': result.unknown + result.failed,
    'runs per answer': round(runs / Math.max(1, result.answered), 3),
    'endpoint refusals %': round(100 * (after.refused - before.refused) / Math.max(1, runs)),
    'max running': after.maxRunning,
    'core-ms per answer': round((after.cpuMs - before.cpuMs) / Math.max(1, after.allRuns - before.allRuns), 2),
  }
}

async function takeSnapshot (testbed: LoadTestbed): Promise<{ runs: number, allRuns: number, refused: number, maxRunning: number, cpuMs: number }> {
  const counts = await testbed.getEndpointCounts()
  const burst = counts.filter(({ id }) => id.startsWith(`${BURST_SERVICE}-`))
  const usage = await testbed.getUsages()
  return {
    runs: burst.reduce((sum, { runs }) => sum + runs, 0),
    allRuns: counts.reduce((sum, { runs }) => sum + runs, 0),
    refused: burst.reduce((sum, { refused }) => sum + refused, 0),
    maxRunning: Math.max(...counts.map(({ maxRunning }) => maxRunning)),
    cpuMs: usage.reduce((sum, { cpuMs }) => sum + cpuMs, 0),
  }
}

function round (value: number, digits = 1): number {
  return Number(value.toFixed(digits))
}
