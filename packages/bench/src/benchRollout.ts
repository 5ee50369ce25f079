/**
 * `npm run bench:rollout`: time from the acceptance of a configuration until it is in force on all daemons.
 */
import { Command } from 'commander'
import { PlatformFault } from '@vanillathread/stand-ins'
import { ControlTestbed, createSizedDeclarations, type ControlSize } from './lib/ControlTestbed.js'

/** The bench fails if a rollout takes longer. */
const BOUND_MS = 11_000
const REPEATS = 5
const MEASURE_MS = 10_000
const POOLS = 5
const VMS_PER_POOL = 7

const command = new Command('bench:rollout').option('--daemons <list>', 'numbers of daemons, separated by commas', '9,100')
command.parse()
const sizes = command.opts<{ daemons: string }>().daemons.split(',').map(Number)

const rows: Array<Record<string, number | string>> = []
for (const daemons of sizes) {
  const size: ControlSize = { daemons, pools: POOLS, vmsPerPool: VMS_PER_POOL }
  const testbed = await ControlTestbed.create(size)
  const cost = await testbed.measure(MEASURE_MS)
  for (const fault of [PlatformFault.None, PlatformFault.Slow, PlatformFault.Down]) {
    const times: number[] = []
    for (let repeat = 0; repeat < REPEATS; repeat++) times.push(await measureRollout(testbed, size, fault, repeat))
    rows.push({
      daemons,
      store: fault === PlatformFault.None ? 'healthy' : `${fault} after acceptance`,
      'median ms': round(median(times)),
      'worst ms': round(Math.max(...times)),
      'bound ms': BOUND_MS,
      'cpu %': round(cost.cpuPercent, 2),
      'sent B/s': round(cost.sentBytesPerSecond),
      'received B/s': round(cost.receivedBytesPerSecond),
      'reads/s': round(cost.readsPerSecond, 1),
      'writes/s': round(cost.writesPerSecond, 1),
    })
  }
  await testbed.dispose()
}
console.table(rows)
process.exit(rows.every((row) => Number(row['worst ms']) <= BOUND_MS) ? 0 : 1)

async function measureRollout (testbed: ControlTestbed, size: ControlSize, fault: PlatformFault, repeat: number): Promise<number> {
  const declarations = createSizedDeclarations(size)
  const [vm] = declarations.inventory.vms
  // Each configuration must differ from the one before.
  if (vm !== undefined) vm.processors = 33 + repeat + 10 * Object.values(PlatformFault).indexOf(fault)
  const acceptedMs = await testbed.apply(declarations)
  await testbed.setFault(fault)
  const inForceMs = await testbed.waitInForce()
  await testbed.setFault(PlatformFault.None)
  return inForceMs - acceptedMs
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}

function round (value: number, digits = 0): number {
  return Number(value.toFixed(digits))
}
