/**
 * Command that simulates days of random load and faults: `npm run lab -- --days N --seed S`.
 * With `--owner-cuts` it cuts the owner's own connections to the store, and prints what callers notice.
 * With `--take-overs` it loses the owner of a shard in several ways instead, and prints the times to the steps of the takeover.
 * With `--partitions` each day has a partition beside another fault.
 * With `--silence` the store fails for 7 s in the middle of a burst, and it prints what clients got.
 */
import { Command } from 'commander'
import { StoreFault } from '@vanillathread/stand-ins'
import { measureOwnerCut } from './lib/jobs/measureOwnerCut.js'
import { LOSSES, measureTakeover, type TakeoverTimes } from './lib/jobs/measureTakeover.js'
import { playSilence, summarizeSilence } from './lib/jobs/playSilence.js'
import { simulatePartitionDay, simulateRandomDay } from './lib/jobs/simulateRandomDay.js'

const command = new Command('lab')
  .description('Simulates days of random load and faults in one process on a fake clock.')
  .option('--days <count>', 'number of days to simulate', '20')
  .option('--seed <number>', 'seed of the first day; each further day uses the next number', '1')
  .option('--take-overs', 'measure the times from each kind of loss of the owner to the steps of the takeover, with --days as the number of seeds')
  .option('--owner-cuts', 'measure the times from the end of a job to its shown final state, and to first starts, while the owner alone is cut off from the store for 7 s')
  .option('--partitions', 'simulate days with a partition and another fault')
  .option('--silence', 'measure what clients get while the store is silent, stalled, slow or loses answers for 7 s, with --days as the number of seeds')
command.parse()
const { days, seed, takeOvers, ownerCuts, partitions, silence } = command.opts<{ days: string, seed: string, takeOvers?: boolean, ownerCuts?: boolean, partitions?: boolean, silence?: boolean }>()
if (ownerCuts === true) {
  await printOwnerCutTimes()
  process.exit(0)
}
if (takeOvers === true) {
  await printTakeoverTimes()
  process.exit(0)
}
if (silence === true) {
  await printSilences()
  process.exit(0)
}
let brokenDays = 0
for (let index = 0; index < Number(days); index++) {
  const day = await (partitions === true ? simulatePartitionDay : simulateRandomDay)(Number(seed) + index)
  const isBroken = day.violations.length > 0 || day.incompleteWaves.length > 0
  if (isBroken) brokenDays += 1
  console.log(`seed ${day.seed}: ${day.accepted} of ${day.submitted} accepted, ${day.starts} starts, ${isBroken ? 'BROKEN' : 'passed'}; ${day.faults.join('; ')}`)
  for (const { rule, atMs, detail } of day.violations.slice(0, 5)) console.log(`  ${rule} at ${atMs} ms: ${detail}`)
  if (day.incompleteWaves.length > 0) console.log(`  waves not complete: ${day.incompleteWaves.join(', ')}`)
}
console.log(`${Number(days) - brokenDays} days passed, ${brokenDays} did not`)
process.exit(brokenDays === 0 ? 0 : 1)

/** Prints the median, the 99th percentile and the maximum of the times of all seeds, in milliseconds. */
async function printOwnerCutTimes (): Promise<void> {
  console.log('| owner\'s connections | shown | first start | takeovers | violations |\n|---|---|---|---|---|')
  for (const fault of [StoreFault.Resetting, StoreFault.Unresponsive]) {
    const measured = []
    for (let index = 0; index < Number(days); index++) measured.push(await measureOwnerCut(fault, Number(seed) + index))
    const summarize = (times: number[]): string => {
      const inOrder = times.sort((a, b) => a - b)
      return [0.5, 0.99, 1].map((share) => Math.round(inOrder[Math.ceil(share * inOrder.length) - 1] ?? NaN)).join(', ')
    }
    const sum = (values: number[]): number => values.reduce((a, b) => a + b, 0)
    console.log(`| ${fault} | ${summarize(measured.flatMap(({ shown }) => shown))} | ${summarize(measured.flatMap(({ firstStarts }) => firstStarts))} | ${sum(measured.map(({ takeovers }) => takeovers))} | ${sum(measured.map(({ violations }) => violations))} |`)
  }
}

/** Prints a table with the median and the maximum time after each kind of loss, in milliseconds. */
async function printTakeoverTimes (): Promise<void> {
  const columns = ['taken', 'ready', 'firstStart', 'lastAccounted'] as const satisfies ReadonlyArray<keyof TakeoverTimes>
  console.log(`| loss | ${columns.join(' | ')} |\n|${'---|'.repeat(columns.length + 1)}`)
  for (const loss of Object.keys(LOSSES)) {
    const measured: TakeoverTimes[] = []
    for (let index = 0; index < Number(days); index++) measured.push(await measureTakeover(loss, Number(seed) + index))
    const cells = columns.map((step) => {
      const times = measured.map((each) => each[step] ?? Infinity).sort((a, b) => a - b)
      return `${times[Math.floor(times.length / 2)]}, ${times.at(-1)}`
    })
    console.log(`| ${loss} | ${cells.join(' | ')} |`)
  }
}

/** Prints what clients got during and after faults of the store, for each fault and seed. */
async function printSilences (): Promise<void> {
  console.log('| fault | seed | attempts | answers | mean held ms | longest held ms | open at the end | accepted within 2 s | lost |\n|---|---|---|---|---|---|---|---|---|')
  for (const fault of [StoreFault.Unresponsive, StoreFault.Stalled, StoreFault.Slow, StoreFault.LosingAnswers]) {
    for (let index = 0; index < Number(days); index++) {
      const options = { seed: Number(seed) + index, fault, faultFromMs: 2_000, faultToMs: 9_000, burstMs: 11_000, jobsPerSecond: 40 }
      const summary = summarizeSilence(options, await playSilence(options))
      const answers = [...summary.byAnswer].map(([answer, count]) => `${answer} ${count}`).sort().join(', ')
      console.log(`| ${fault} | ${options.seed} | ${summary.attempts} | ${answers} | ${Math.round(summary.meanHeldMs)} | ${Math.round(summary.maxHeldMs)} | ${summary.openAtEnd} | ${summary.acceptedSoon} | ${summary.lost} |`)
    }
  }
}
