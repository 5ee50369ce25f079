import { CapacityPlanner } from '@vanillathread/policy'
import { LoadDay } from './LoadDay.js'
import { SMALL_SITE } from './sites.js'
const day = LoadDay.create({ site: SMALL_SITE, seed: 3, planner: CapacityPlanner.create({ moveMs: 1500, keepMs: Number(process.env.KEEP ?? 1000), spareMachines: 1 }) }) as any
const orig = day.planMachines.bind(day)
let n = 0
day.planMachines = () => {
  orig()
  if (n++ % 3 !== 0) return
  const cells = SMALL_SITE.pools.map((p) => {
    const ms = day.machines.filter((m: any) => m.pool === p.name && m.toPool === undefined && !m.down && m.vmId !== undefined)
    const used = ms.reduce((s: number, m: any) => { const vm = day.scheduler.state.vms.get(m.vmId); return s + (vm === undefined ? 0 : (vm.entry.capacity.cpuMillis - vm.freeCpuMillis) / 16000) }, 0)
    const inc = day.machines.filter((m: any) => m.toPool === p.name).length
    const empty = ms.filter((m: any) => (day.scheduler.state.vms.get(m.vmId)?.runs.size ?? 0) === 0).length
    const d = day.scheduler.getDemand(p.name, { nowMs: day.nowMs, storeNowMs: day.nowMs })
    return `${ms.length}+${inc} u${used.toFixed(1)} e${empty} b${(d.busyCpuMillis / 16000).toFixed(1)} a${(d.arrivingCpuMillis / 16000).toFixed(1)} t${(d.trendCpuMillisPerSecond / 16000).toFixed(1)}`.padEnd(40)
  })
  console.log((day.nowMs / 1000 - 8).toFixed(1).padStart(6), cells.slice(0, 4).join('|'))
}
day.run()
