/**
 * Where tasks are placed: gangs, labels, racks, tasks per VM and tickets; and which jobs come first if capacity is short.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd } from '@vanillathread/model'
import type { JobScheduler } from './JobScheduler.js'
import { OrderKind, type Order } from './orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, reportRunning, planAndAccept } from './testSupport.js'

/** Creates a scheduler with the given VMs, each of which has room for eight tasks. */
function prepare (...vms: Array<Parameters<typeof createVmEntry>>): JobScheduler {
  const scheduler = createScheduler()
  for (const [id, entry] of vms) reportRunning(scheduler, createVmEntry(id, entry), 0)
  return scheduler
}

function listStarts (orders: readonly Order[]): Array<[task: number, run: number, vm: string]> {
  return orders.flatMap((order) => order.kind === OrderKind.Start ? [[order.run.task.index, order.run.number, order.run.vmId]] : [])
}

describe('placeTasks', ({ describe }) => {
  describe('gangs', ({ it }) => {
    it('start all their tasks under one run number, or none', () => {
      const scheduler = prepare(['a'], ['b'])
      scheduler.addJob(createTestJob({ id: '1'.repeat(16), steps: [createTestStep({ taskCount: 10 })] }), 1, 0)
      planAndAccept(scheduler, 0)
      scheduler.addJob(createTestJob({ id: '2'.repeat(16), steps: [createTestStep({ taskCount: 7, gang: true })] }), 1, 0)
      assert.equal(planAndAccept(scheduler, 1), [])
      reportRunning(scheduler, createVmEntry('c'), 2)
      const starts = listStarts(planAndAccept(scheduler, 2))
      assert.is(starts.length, 7)
      assert.equal([...new Set(starts.map(([, run]) => run))], [1])
    })

    it('start on a single rack if one has room', () => {
      const scheduler = prepare(['a', { labels: ['r1'] }], ['b', { labels: ['r2'] }], ['c', { labels: ['r2'] }])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 12, gang: true, sameRack: true })] }), 1, 0)
      const vms = new Set(listStarts(planAndAccept(scheduler, 0)).map(([, , vm]) => vm))
      assert.equal([...vms].sort(), ['b', 'c'])
    })

    it('stop their other members when one fails, and start again under a higher run number', () => {
      const scheduler = prepare(['a'])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 3, gang: true })] }), 1, 0)
      planAndAccept(scheduler, 0)
      const vm = scheduler.state.vms.get('a')
      const runs = [...vm?.runs.values() ?? []]
      const [failed, ...others] = runs
      if (vm === undefined || failed === undefined) throw new Error('nothing runs')
      const running = others.map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
      scheduler.applyReport(vm, { clockMs: 9, bornMs: 1, running, ends: [{ number: 1, task: failed.name, run: 1, end: RunEnd.Failed, checkpoint: '' }] }, 8, 9)
      const stops = planAndAccept(scheduler, 10)
      assert.equal(stops.map((order) => order.kind), [OrderKind.Stop, OrderKind.Stop])
      const ends = others.map((run, index) => ({ number: index + 2, task: run.name, run: 1, end: RunEnd.Stopped, checkpoint: '' }))
      scheduler.applyReport(vm, { clockMs: 20, bornMs: 1, running: [], ends }, 19, 20)
      const again = listStarts(planAndAccept(scheduler, 21))
      assert.equal(again.map(([, run]) => run), [2, 2, 2])
    })
  })

  describe('constraints', ({ it }) => {
    it('place tasks only on VMs with the required label', () => {
      const scheduler = prepare(['a', { labels: ['x', 'r'] }], ['b', { labels: ['gpu', 'r'] }])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 12, requiredLabel: 'gpu' })] }), 1, 0)
      const starts = listStarts(planAndAccept(scheduler, 0))
      assert.equal([starts.length, [...new Set(starts.map(([, , vm]) => vm))]], [8, ['b']])
    })

    it('place no more tasks of a step on one VM than its limit', () => {
      const scheduler = prepare(['a'], ['b'])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 4, maxTasksPerVm: 1 })] }), 1, 0)
      assert.equal(listStarts(planAndAccept(scheduler, 0)).map(([, , vm]) => vm).sort(), ['a', 'b'])
    })

    it('place tasks only in their queue\'s pool', () => {
      const scheduler = prepare(['a', { pool: 'other' }], ['b'])
      scheduler.addJob(createTestJob({}), 1, 0)
      assert.equal([...new Set(listStarts(planAndAccept(scheduler, 0)).map(([, , vm]) => vm))], ['b'])
    })

    it('prefer the rack of the data, and use another if it is full', () => {
      const scheduler = prepare(['a', { labels: ['r1'] }], ['b', { labels: ['r2'] }])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 10, dataRack: 'r2' })] }), 1, 0)
      const vms = listStarts(planAndAccept(scheduler, 0)).map(([, , vm]) => vm)
      assert.equal([vms.filter((vm) => vm === 'b').length, vms.filter((vm) => vm === 'a').length], [8, 2])
    })

    it('start a step that needs tickets only on VMs with one, and send the ticket with the order', () => {
      const scheduler = prepare(['a'], ['b'])
      const advice = { decideMs: 10, perVmMs: 1, validMs: 1_000 }
      scheduler.addJob({ ...createTestJob({}), advice }, 1, 0)
      const clocks = { nowMs: 0, storeNowMs: 0, wallClockMs: 0 }
      assert.equal(scheduler.plan(clocks, () => undefined), [])
      const orders = scheduler.plan(clocks, () => new Map([['b', 'ticket-7']]))
      assert.equal(orders.map((order) => order.kind === OrderKind.Start ? [order.run.vmId, order.ticket] : []), Array.from({ length: 4 }, () => ['b', 'ticket-7']))
    })
  })

  describe('the order of jobs', ({ it }) => {
    it('is: long-running tasks, jobs that can end in time by least slack, late jobs, and last those that earn nothing', () => {
      const scheduler = createScheduler()
      const step = () => createTestStep({ taskCount: 8 })
      const add = (id: string, acceptedAtMs: number, isLongRunning = false) =>
        scheduler.addJob(createTestJob({ id: id.repeat(16), acceptedAtMs, steps: [{ ...step(), longRunning: isLongRunning }] }), 1, 10_000)
      // The objective is 1.6 times the expected duration of the step, which follows from the estimate of 500 ms, plus 600 ms.
      add('1', 4_000)
      add('2', 8_500)
      add('3', 10_000)
      add('4', 9_500)
      add('5', 10_000, true)
      const order = []
      for (const vm of ['a', 'b', 'c', 'd', 'e']) {
        reportRunning(scheduler, createVmEntry(vm), 10_000)
        order.push(planAndAccept(scheduler, 10_000)[0]?.run.task.step.occurrence.job.id[0])
      }
      assert.equal(order, ['5', '4', '3', '2', '1'])
    })
  })
})
