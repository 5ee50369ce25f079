/**
 * Command that soaks the real daemons: `npm run soak -- --seed N --minutes M`.
 */
import { Command, Option } from 'commander'
import { NaiveOwner } from '@vanillathread/integration'
import { FaultKind } from './lib/FaultSchedule.js'
import { SoakRun } from './lib/SoakRun.js'

interface SoakFlags {
  readonly seed: string
  readonly minutes: string
  readonly seconds?: string
  readonly seeds: string
  readonly daemons: string
  readonly kinds?: readonly FaultKind[]
  readonly calm?: boolean
  readonly naive?: NaiveOwner
  readonly ignoresLease?: boolean
}

const command = new Command('soak')
  .description('Runs daemons as separate processes on loopback addresses and injects faults from outside.')
  .option('--seed <number>', 'seed of the first soak; each further soak uses the next number', '1')
  .option('--minutes <minutes>', 'time of load and faults in each soak', '1')
  .option('--seconds <seconds>', 'the same in seconds')
  .option('--seeds <count>', 'number of soaks, one after the other', '1')
  .option('--daemons <count>', 'number of daemons', '3')
  .addOption(new Option('--kinds <kinds...>', 'kinds of faults to choose from').choices(Object.values(FaultKind)))
  .option('--calm', 'injects no faults')
  .addOption(new Option('--naive <fault>', 'planted fault of the owner').choices(Object.values(NaiveOwner)))
  .option('--ignores-lease', 'planted fault of the VMs: runs go on after their lease')
command.parse()
const flags = command.opts<SoakFlags>()
const durationMs = flags.seconds === undefined ? Number(flags.minutes) * 60_000 : Number(flags.seconds) * 1_000

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1))

let broken = 0
for (let index = 0; index < Number(flags.seeds); index++) if (!await soak(Number(flags.seed) + index)) broken += 1
console.log(`${Number(flags.seeds) - broken} soaks passed, ${broken} did not`)
process.exit(broken === 0 ? 0 : 1)

/** Soaks one seed and prints its figures. Returns true if nothing was violated. */
async function soak (seed: number): Promise<boolean> {
  const run = await SoakRun.start({
    seed,
    durationMs,
    daemons: Number(flags.daemons),
    kinds: flags.kinds,
    schedule: flags.calm === true ? [] : undefined,
    planted: { naive: flags.naive, ignoresLease: flags.ignoresLease },
  })
  try {
    await run.play()
    await run.settle()
  } finally {
    await run.stop()
  }
  const { violations, submitted, accepted, completed, starts, faults } = run.result
  const counts = [...faults].map(([kind, count]) => `${kind} ${count}`).join(', ')
  console.log(`seed ${seed}: ${durationMs / 1_000} s, ${submitted} jobs submitted, ${accepted} accepted, ${completed} complete, ${starts} starts, ${violations.length} violations; ${counts}`)
  if (violations.length > 0) console.log(run.describeViolations(`npm run soak -- ${getReplayFlags(seed)}`))
  return violations.length === 0
}

function getReplayFlags (seed: number): string {
  const args = ['--seed', seed, '--seconds', durationMs / 1_000, '--daemons', flags.daemons]
  if (flags.kinds !== undefined) args.push('--kinds', ...flags.kinds)
  if (flags.calm === true) args.push('--calm')
  if (flags.naive !== undefined) args.push('--naive', flags.naive)
  if (flags.ignoresLease === true) args.push('--ignores-lease')
  return args.join(' ')
}
