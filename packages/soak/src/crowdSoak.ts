/**
 * Command that plays random crowds against a daemon process: `npm run soak:crowds -- --seed N --seeds M`.
 */
import { Command } from 'commander'
import { playRandomCrowds } from './lib/crowds/playRandomCrowds.js'

const command = new Command('soak:crowds')
  .description('Plays clients that do not behave against a daemon process on loopback addresses, in two waves for each seed.')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <count>', 'number of seeds, one after the other', '1')
command.parse()
const { seed, seeds } = command.opts<{ seed: string, seeds: string }>()

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1))

let failed = 0
for (let index = 0; index < Number(seeds); index++) {
  const faults = await playRandomCrowds(Number(seed) + index)
  console.log(`seed ${Number(seed) + index}: ${faults.length === 0 ? 'held' : faults.join('; ')}`)
  if (faults.length > 0) failed += 1
}
console.log(`${Number(seeds) - failed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
