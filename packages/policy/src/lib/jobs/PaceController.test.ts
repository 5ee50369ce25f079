/**
 * Paces of best-effort tasks beside a latency-sensitive task whose latency depends on its load.
 */
import { assert, describe } from '@vanillathread/testing'
import type { JobScheduler } from './JobScheduler.js'
import { OrderKind } from './orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept } from './testSupport.js'

const TARGET_MS = 100
const REPORT_EVERY_MS = 500

/**
 * Returns the latency of the latency-sensitive task: that of its load alone, and half as much again if the best-effort task
 * has full pace.
 */
function getLatencyMs (loadMs: number, percent: number): number {
  return loadMs * (1 + percent / 200)
}

/** Creates a scheduler with one VM, on which a latency-sensitive task and a best-effort task run. */
function prepare (): JobScheduler {
  const scheduler = createScheduler()
  const entry = createVmEntry('a')
  scheduler.applyRegistration(entry, 0)
  const vm = scheduler.state.vms.get('a')
  if (vm === undefined) throw new Error('no VM')
  vm.recorded = true
  scheduler.applyReport(vm, { clockMs: 1, bornMs: 1, running: [], ends: [] }, 0, 0)
  vm.extendLease(0, 5_000)
  scheduler.addJob(createTestJob({ id: 'a'.repeat(16), steps: [createTestStep({ taskCount: 1, longRunning: true, targetMs: TARGET_MS })] }), 1, 0)
  scheduler.addJob(createTestJob({ id: 'b'.repeat(16), steps: [createTestStep({ taskCount: 1, longRunning: true, fills: true })] }), 1, 0)
  planAndAccept(scheduler, 0)
  return scheduler
}

/** Reports once for each given load latency, and returns the pace and the latency at each report. */
function simulate (scheduler: JobScheduler, loadsMs: readonly number[]): Array<{ percent: number, latencyMs: number }> {
  const vm = scheduler.state.vms.get('a')
  if (vm === undefined) throw new Error('no VM')
  let percent = 100
  return loadsMs.map((loadMs, index) => {
    const nowMs = (index + 1) * REPORT_EVERY_MS
    const latencyMs = getLatencyMs(loadMs, percent)
    const running = [...vm.runs.values()].map((run) => ({
      task: run.name, run: run.number, checkpoint: '', percent: 100, usage: run.task.step.spec.fills ? undefined : latencyMs,
    }))
    scheduler.applyReport(vm, { clockMs: nowMs + 1, bornMs: 1, running, ends: [] }, nowMs - 1, nowMs)
    vm.extendLease(nowMs, 5_000)
    for (const order of planAndAccept(scheduler, nowMs)) {
      if (order.kind === OrderKind.Pace) percent = order.percent
    }
    return { percent, latencyMs }
  })
}

const repeat = (loadMs: number, count: number): number[] => Array.from({ length: count }, () => loadMs)

describe('PaceController', ({ it }) => {
  it('stops best-effort tasks within two reports of a latency above the target', () => {
    const seen = simulate(prepare(), [...repeat(30, 4), ...repeat(95, 6)])
    const over = seen.slice(4).findIndex(({ percent }) => percent === 0)
    assert.ok(over >= 0 && over <= 1, `stopped at report ${over}`)
  })

  it('keeps the target and a stable pace under a steady load', () => {
    for (const loadMs of [40, 55, 65, 75, 90]) {
      const seen = simulate(prepare(), repeat(loadMs, 60)).slice(20)
      assert.ok(seen.every(({ latencyMs }) => latencyMs <= TARGET_MS), `load ${loadMs}: over target`)
      const changes = seen.filter(({ percent }, index) => index > 0 && percent !== seen[index - 1]?.percent).length
      assert.ok(changes <= 5, `load ${loadMs}: ${changes} changes of pace`)
    }
  })

  it('raises the pace in steps up to 100 once the load has gone', () => {
    const seen = simulate(prepare(), [...repeat(95, 4), ...repeat(20, 40)])
    assert.is(seen.at(-1)?.percent, 100)
    for (let index = 1; index < seen.length; index++) {
      assert.ok((seen[index]?.percent ?? 0) - (seen[index - 1]?.percent ?? 0) <= 10 || index < 2, `report ${index}`)
    }
  })

  it('leaves best-effort tasks at full pace if no latency-sensitive task runs', () => {
    const scheduler = prepare()
    scheduler.cancelJob('a'.repeat(16), 1)
    const vm = scheduler.state.vms.get('a')
    if (vm === undefined) throw new Error('no VM')
    const bestEffortRun = [...vm.runs.values()].find((run) => run.task.step.spec.fills)
    const running = bestEffortRun === undefined ? [] : [{ task: bestEffortRun.name, run: bestEffortRun.number, checkpoint: '', percent: 50 }]
    scheduler.applyReport(vm, { clockMs: 9, bornMs: 1, running, ends: [] }, 5, 8)
    assert.is(bestEffortRun?.orderedPacePercent ?? 100, 100)
  })

  it('gives a best-effort task that a previous owner had slowed its full pace if no latency-sensitive task runs', () => {
    const scheduler = createScheduler({ generation: 1 })
    const id = 'b'.repeat(16)
    scheduler.addJob(createTestJob({ id, steps: [createTestStep({ taskCount: 1, longRunning: true, fills: true })] }), 0, 0)
    scheduler.applyRegistration(createVmEntry('a'), 0)
    const vm = scheduler.state.vms.get('a')
    if (vm === undefined) throw new Error('no VM')
    const running = [{ task: `${id}.0.0.0`, run: 1, checkpoint: '', percent: 0 }]
    scheduler.applyReport(vm, { clockMs: 9, bornMs: 1, running, ends: [] }, 5, 8)
    const paces = planAndAccept(scheduler, 8).filter((order) => order.kind === OrderKind.Pace).map(({ percent }) => percent)
    assert.equal(paces, [100])
  })
})
