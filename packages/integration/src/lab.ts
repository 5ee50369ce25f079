/**
 * Command that simulates days of random load and faults: `npm run lab -- --days N --seed S`.
 * With `--take-overs` it loses the owner of a shard in several ways instead, and prints the times to the steps of the takeover.
 */
import { Command } from 'commander'
import { LOSSES, measureTakeover, type TakeoverTimes } from './lib/jobs/measureTakeover.js'
import { simulateRandomDay } from './lib/jobs/simulateRandomDay.js'

const command = new Command('lab')
  .description('Simulates days of random load and faults in one process on a fake clock.')
  .option('--days <count>', 'number of days to simulate', '20')
  .option('--seed <number>', 'seed of the first day; each further day uses the next number', '1')
  .option('--take-overs', 'measure the times from each kind of loss of the owner to the steps of the takeover, with --days as the number of seeds')
command.parse()
const { days, seed, takeOvers } = command.opts<{ days: string, seed: string, takeOvers?: boolean }>()
if (takeOvers === true) {
  await printTakeoverTimes()
  process.exit(0)
}
let brokenDays = 0
for (let index = 0; index < Number(days); index++) {
  const day = await simulateRandomDay(Number(seed) + index)
  const isBroken = day.violations.length > 0 || day.incompleteWaves.length > 0
  if (isBroken) brokenDays += 1
  console.log(`seed ${day.seed}: ${day.accepted} of ${day.submitted} accepted, ${day.starts} starts, ${isBroken ? 'BROKEN' : 'passed'}; ${day.faults.join('; ')}`)
  for (const { rule, atMs, detail } of day.violations.slice(0, 5)) console.log(`  ${rule} at ${atMs} ms: ${detail}`)
  if (day.incompleteWaves.length > 0) console.log(`  waves not complete: ${day.incompleteWaves.join(', ')}`)
}
console.log(`${Number(days) - brokenDays} days passed, ${brokenDays} did not`)
process.exit(brokenDays === 0 ? 0 : 1)

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
