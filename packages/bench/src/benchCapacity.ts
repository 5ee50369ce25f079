/**
 * `npm run bench:capacity`: compares the daemons' loan policy with two simple ones by buffer cost, moves and unmet demand.
 */
import { RandomSource } from '@vanillathread/policy'
import { GreedyLoanPolicy, DaemonLoanPolicy, NoLoanPolicy, runTrace, type LoanPolicy, type TraceCost, type TracePool } from './lib/capacityTrace.js'
import { Example, readExample } from './lib/readExample.js'

const SEEDS = [1, 2, 3, 4, 5]
/** Simulated duration of each trace. */
const DURATION_MS = 2 * 60 * 60 * 1000
const MOVE_MS = 23_000
/** Durations of the shortest and the longest burst, one pair per series of traces. */
const BURST_RANGES_MS: ReadonlyArray<readonly [number, number]> = [[5_000, 15_000], [15_000, 60_000], [120_000, 600_000]]

const rows: Array<Record<string, string | number>> = []
for (const example of [Example.Lowicz, Example.Estrada]) {
  const { inventory, rules } = await readExample(example)
  const pools = inventory.pools.map((pool): TracePool => ({
    id: pool.id,
    spare: pool.spare,
    vms: inventory.vms.filter((vm) => vm.pool === pool.id).length,
    minAvailable: rules.budgets.find((budget) => budget.pool === pool.id)?.minAvailable ?? 0,
  }))
  const policies: Array<[string, () => LoanPolicy]> = [
    ['never move', () => new NoLoanPolicy()],
    ['always chase', () => new GreedyLoanPolicy()],
    ['learned deficits', () => new DaemonLoanPolicy({ weights: rules.weights, moveMs: MOVE_MS })],
  ]
  for (const burstMs of BURST_RANGES_MS) {
    for (const [name, create] of policies) rows.push(summarize(example, name, burstMs, pools, create))
  }
}
console.table(rows)

function summarize (example: string, name: string, burstMs: readonly [number, number], pools: readonly TracePool[], create: () => LoanPolicy): Record<string, string | number> {
  const costs = SEEDS.map((seed) => runTrace(create(), { pools, random: RandomSource.create(seed), durationMs: DURATION_MS, burstMs, moveMs: MOVE_MS }))
  return {
    user: example,
    'bursts s': burstMs.map((ms) => ms / 1000).join('-'),
    policy: name,
    'buffer cost VMs': mean(costs, ({ bufferCostVms }) => bufferCostVms),
    'moves in 2 h': mean(costs, ({ moves }) => moves),
    'unmet demand %': mean(costs, ({ unmetShare }) => 100 * unmetShare),
  }
}

function mean (costs: readonly TraceCost[], pick: (cost: TraceCost) => number): number {
  return Number((costs.reduce((sum, cost) => sum + pick(cost), 0) / costs.length).toFixed(2))
}
