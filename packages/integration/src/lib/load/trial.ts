import { CapacityPlanner } from '@vanillathread/policy'
import { LoadDay } from './LoadDay.js'
import { SMALL_SITE, SHORT_TASK_SITE, MEDIUM_SITE, LARGE_SITE } from './sites.js'
const sites = { small: SMALL_SITE, short: SHORT_TASK_SITE, medium: MEDIUM_SITE, large: LARGE_SITE }
const names = (process.argv[2] ?? 'small,short').split(',')
const seeds = Number(process.argv[3] ?? 4)
function wave (total: number, share: number) {
  return Array.from({ length: 7 }, (_u, i) => ({ fromMs: 1000 + i * 4000, toMs: 1000 + i * 4000 + 4500, machines: Math.round(total * share) }))
}
for (const name of names) {
  const site = sites[name as keyof typeof sites]
  const sums: Record<string, number> = {}
  const t0 = process.cpuUsage().user
  for (let seed = 1; seed <= seeds; seed++) {
    const r = LoadDay.create({ site, seed, planner: CapacityPlanner.create({ moveMs: 1500, keepMs: Number(process.env.KEEP ?? 1000), spareMachines: Number(process.env.SPARE ?? 1) }), startCostMs: Number(process.argv[4] ?? 0), absences: process.env.WAVE === undefined ? [] : wave(site.pools.reduce((a, p) => a + p.machines, 0), Number(process.env.WAVE)) }).run()
    const row: Record<string, number> = { net: r.net, served: r.served, worst2: [...r.windows].sort((a, b) => a - b).slice(0, 2).reduce((a, b) => a + b, 0) / 2, ms: r.machineSeconds, moves: r.moves }
    for (const [q, o] of r.byQueue) { row[q] = o.earned / o.worth; row[q + '-late'] = o.late / o.jobs }
    for (const [k, v] of Object.entries(row)) sums[k] = (sums[k] ?? 0) + v / seeds
    if (process.argv[5] === 'w') console.log(r.windows.map((w) => w.toFixed(2)).join(' '))
  }
  console.log(name, Object.entries(sums).map(([k, v]) => `${k} ${v.toFixed(3)}`).join('  '), 'cpu s/day', ((process.cpuUsage().user - t0) / 1e6 / seeds).toFixed(2))
}
