/**
 * Paces of tasks that fill, beside a serving task whose latency moves with its load.
 */
import { assert, describe } from '@vanillathread/testing'
import type { JobScheduler } from './JobScheduler.js'
import { OrderKind } from './orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planOnce } from './testSupport.js'

const TARGET_MS = 100
const REPORT_EVERY_MS = 500

/** Latency of a serving task by the share that the filler may use: what the load alone takes, and half as much again at full pace. */
function getLatencyMs (loadMs: number, percent: number): number {
  return loadMs * (1 + percent / 200)
}

/** A VM with a serving task and a filler. */
function prepare (): JobScheduler {
  const scheduler = createScheduler()
  const entry = createVmEntry('a')
  scheduler.setVm(entry, 0)
  const vm = scheduler.state.vms.get('a')
  if (vm === undefined) throw new Error('no VM')
  vm.recorded = true
  scheduler.applyReport(vm, { clockMs: 1, bornMs: 1, running: [], ends: [] }, 0, 0)
  vm.extendLease(0, 5_000)
  scheduler.addJob(createTestJob({ id: 'a'.repeat(16), steps: [createTestStep({ taskCount: 1, longRunning: true, targetMs: TARGET_MS })] }), 1, 0)
  scheduler.addJob(createTestJob({ id: 'b'.repeat(16), steps: [createTestStep({ taskCount: 1, longRunning: true, fills: true })] }), 1, 0)
  planOnce(scheduler, 0)
  return scheduler
}

/** Lets the load take its course and returns pace and latency at each report. */
function play (scheduler: JobScheduler, loadsMs: readonly number[]): Array<{ percent: number, latencyMs: number }> {
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
    for (const order of planOnce(scheduler, nowMs)) {
      if (order.kind === OrderKind.Pace) percent = order.percent
    }
    return { percent, latencyMs }
  })
}

const repeat = (loadMs: number, count: number): number[] => Array.from({ length: count }, () => loadMs)

describe('PaceController', ({ it }) => {
  it('stops what fills within two reports of a serving task over its target', () => {
    const seen = play(prepare(), [...repeat(30, 4), ...repeat(95, 6)])
    const over = seen.slice(4).findIndex(({ percent }) => percent === 0)
    assert.ok(over >= 0 && over <= 1, `stopped at report ${over}`)
  })

  it('comes to rest under a steady load: the target is kept and the pace does not swing', () => {
    for (const loadMs of [40, 55, 65, 75, 90]) {
      const seen = play(prepare(), repeat(loadMs, 60)).slice(20)
      assert.ok(seen.every(({ latencyMs }) => latencyMs <= TARGET_MS), `load ${loadMs}: over target`)
      const changes = seen.filter(({ percent }, index) => index > 0 && percent !== seen[index - 1]?.percent).length
      assert.ok(changes <= 5, `load ${loadMs}: ${changes} changes of pace`)
    }
  })

  it('lets what fills up again, step by step, once the load has gone', () => {
    const seen = play(prepare(), [...repeat(95, 4), ...repeat(20, 40)])
    assert.is(seen.at(-1)?.percent, 100)
    for (let index = 1; index < seen.length; index++) {
      assert.ok((seen[index]?.percent ?? 0) - (seen[index - 1]?.percent ?? 0) <= 10 || index < 2, `report ${index}`)
    }
  })

  it('leaves what fills at full pace where nothing serves', () => {
    const scheduler = prepare()
    scheduler.cancelJob('a'.repeat(16), 1)
    const vm = scheduler.state.vms.get('a')
    if (vm === undefined) throw new Error('no VM')
    const filler = [...vm.runs.values()].find((run) => run.task.step.spec.fills)
    const running = filler === undefined ? [] : [{ task: filler.name, run: filler.number, checkpoint: '', percent: 50 }]
    scheduler.applyReport(vm, { clockMs: 9, bornMs: 1, running, ends: [] }, 5, 8)
    assert.is(filler?.pacePercent ?? 100, 100)
  })
})
