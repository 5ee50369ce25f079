/**
 * Plays random days on the lab: `npm run lab -- --days N --seed S`.
 */
import { Command } from 'commander'
import { LOSSES, measureTakeOver, type TakeOver } from './lib/jobs/measureTakeOver.js'
import { playRandomDay } from './lib/jobs/playRandomDay.js'

const command = new Command('lab')
  .description('Plays days of random load and troubles in one process on a fake clock.')
  .option('--days <count>', 'days to play', '20')
  .option('--seed <number>', 'seed of the first day; each further day takes the next', '1')
  .option('--take-overs', 'measure how long a shard is without an owner after each kind of loss, over the given number of seeds')
command.parse()
const { days, seed, takeOvers } = command.opts<{ days: string, seed: string, takeOvers?: boolean }>()
if (takeOvers === true) {
  await printTakeOvers()
  process.exit(0)
}
let broken = 0
for (let index = 0; index < Number(days); index++) {
  const day = await playRandomDay(Number(seed) + index)
  const bad = day.violations.length > 0 || day.incompleteWaves.length > 0
  if (bad) broken += 1
  console.log(`seed ${day.seed}: ${day.accepted} of ${day.submitted} accepted, ${day.starts} starts, ${bad ? 'BROKEN' : 'kept'}; ${day.troubles.join('; ')}`)
  for (const { rule, atMs, what } of day.violations.slice(0, 5)) console.log(`  ${rule} at ${atMs} ms: ${what}`)
  if (day.incompleteWaves.length > 0) console.log(`  waves not complete: ${day.incompleteWaves.join(', ')}`)
}
console.log(`${Number(days) - broken} days kept every promise, ${broken} did not`)
process.exit(broken === 0 ? 0 : 1)

/** Prints median and worst milliseconds from each loss. */
async function printTakeOvers (): Promise<void> {
  const steps = ['taken', 'ready', 'firstStart', 'lastAccounted'] as const satisfies ReadonlyArray<keyof TakeOver>
  console.log(`| loss | ${steps.join(' | ')} |\n|${'---|'.repeat(steps.length + 1)}`)
  for (const loss of Object.keys(LOSSES)) {
    const measured: TakeOver[] = []
    for (let index = 0; index < Number(days); index++) measured.push(await measureTakeOver(loss, Number(seed) + index))
    const cells = steps.map((step) => {
      const times = measured.map((each) => each[step] ?? Infinity).sort((a, b) => a - b)
      return `${times[Math.floor(times.length / 2)]}, ${times.at(-1)}`
    })
    console.log(`| ${loss} | ${cells.join(' | ')} |`)
  }
}
