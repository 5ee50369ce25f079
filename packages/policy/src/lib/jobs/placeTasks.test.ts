/**
 * Where tasks may go: gangs, labels, racks, spread, tickets, and who comes first when room is short.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd } from '@vanillathread/model'
import type { JobScheduler } from './JobScheduler.js'
import { OrderKind, type Order } from './orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, hear, planOnce } from './testSupport.js'

/** Each VM has room for eight tasks. */
function prepare (...vms: Array<Parameters<typeof createVmEntry>>): JobScheduler {
  const scheduler = createScheduler()
  for (const [id, entry] of vms) hear(scheduler, createVmEntry(id, entry), 0)
  return scheduler
}

function listStarts (orders: readonly Order[]): Array<[task: number, run: number, vm: string]> {
  return orders.flatMap((order) => order.kind === OrderKind.Start ? [[order.run.task.index, order.run.number, order.run.vmId]] : [])
}

describe('placeTasks', ({ describe }) => {
  describe('gangs', ({ it }) => {
    it('start whole under one run number, or not at all', () => {
      const scheduler = prepare(['a'], ['b'])
      scheduler.addJob(createTestJob({ id: '1'.repeat(16), steps: [createTestStep({ taskCount: 10 })] }), 1, 0)
      planOnce(scheduler, 0)
      scheduler.addJob(createTestJob({ id: '2'.repeat(16), steps: [createTestStep({ taskCount: 7, gang: true })] }), 1, 0)
      assert.equal(planOnce(scheduler, 1), [])
      hear(scheduler, createVmEntry('c'), 2)
      const starts = listStarts(planOnce(scheduler, 2))
      assert.is(starts.length, 7)
      assert.equal([...new Set(starts.map(([, run]) => run))], [1])
    })

    it('start on one rack where one has room', () => {
      const scheduler = prepare(['a', { labels: ['r1'] }], ['b', { labels: ['r2'] }], ['c', { labels: ['r2'] }])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 12, gang: true, sameRack: true })] }), 1, 0)
      const vms = new Set(listStarts(planOnce(scheduler, 0)).map(([, , vm]) => vm))
      assert.equal([...vms].sort(), ['b', 'c'])
    })

    it('stop their other members when one fails, and start anew under a higher number', () => {
      const scheduler = prepare(['a'])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 3, gang: true })] }), 1, 0)
      planOnce(scheduler, 0)
      const vm = scheduler.state.vms.get('a')
      const runs = [...vm?.runs.values() ?? []]
      const [failed, ...others] = runs
      if (vm === undefined || failed === undefined) throw new Error('nothing runs')
      const running = others.map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
      scheduler.applyReport(vm, { clockMs: 9, bornMs: 1, running, ends: [{ number: 1, task: failed.name, run: 1, end: RunEnd.Failed, checkpoint: '' }] }, 8, 9)
      const stops = planOnce(scheduler, 10)
      assert.equal(stops.map((order) => order.kind), [OrderKind.Stop, OrderKind.Stop])
      const ends = others.map((run, index) => ({ number: index + 2, task: run.name, run: 1, end: RunEnd.Stopped, checkpoint: '' }))
      scheduler.applyReport(vm, { clockMs: 20, bornMs: 1, running: [], ends }, 19, 20)
      const again = listStarts(planOnce(scheduler, 21))
      assert.equal(again.map(([, run]) => run), [2, 2, 2])
    })
  })

  describe('constraints', ({ it }) => {
    it('keep tasks on VMs with the label that they require', () => {
      const scheduler = prepare(['a', { labels: ['x', 'r'] }], ['b', { labels: ['gpu', 'r'] }])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 12, requiredLabel: 'gpu' })] }), 1, 0)
      const starts = listStarts(planOnce(scheduler, 0))
      assert.equal([starts.length, [...new Set(starts.map(([, , vm]) => vm))]], [8, ['b']])
    })

    it('keep to the most tasks of a step on one VM', () => {
      const scheduler = prepare(['a'], ['b'])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 4, maxTasksPerVm: 1 })] }), 1, 0)
      assert.equal(listStarts(planOnce(scheduler, 0)).map(([, , vm]) => vm).sort(), ['a', 'b'])
    })

    it('keep tasks in their queue\'s pool', () => {
      const scheduler = prepare(['a', { pool: 'other' }], ['b'])
      scheduler.addJob(createTestJob({}), 1, 0)
      assert.equal([...new Set(listStarts(planOnce(scheduler, 0)).map(([, , vm]) => vm))], ['b'])
    })

    it('prefer the rack of the data, and take another where that is full', () => {
      const scheduler = prepare(['a', { labels: ['r1'] }], ['b', { labels: ['r2'] }])
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 10, dataRack: 'r2' })] }), 1, 0)
      const vms = listStarts(planOnce(scheduler, 0)).map(([, , vm]) => vm)
      assert.equal([vms.filter((vm) => vm === 'b').length, vms.filter((vm) => vm === 'a').length], [8, 2])
    })

    it('start a step that is advised only on VMs with a ticket, which goes with the order', () => {
      const scheduler = prepare(['a'], ['b'])
      const advice = { decideMs: 10, perVmMs: 1, validMs: 1_000 }
      scheduler.addJob({ ...createTestJob({}), advice }, 1, 0)
      const moment = { nowMs: 0, storeNowMs: 0, wallClockMs: 0 }
      assert.equal(scheduler.plan(moment, () => undefined), [])
      const orders = scheduler.plan(moment, () => new Map([['b', 'ticket-7']]))
      assert.equal(orders.map((order) => order.kind === OrderKind.Start ? [order.run.vmId, order.ticket] : []), Array.from({ length: 4 }, () => ['b', 'ticket-7']))
    })
  })

  describe('the order', ({ it }) => {
    it('is: tasks that last, jobs that can be in time by slack, late ones, and what earns nothing last', () => {
      const scheduler = createScheduler()
      const step = () => createTestStep({ taskCount: 8 })
      const add = (id: string, acceptedAtMs: number, lasting = false) =>
        scheduler.addJob(createTestJob({ id: id.repeat(16), acceptedAtMs, steps: [{ ...step(), longRunning: lasting }] }), 1, 10_000)
      // Objective: 1.6 times the estimate of 500 ms, and 600 ms.
      add('1', 4_000)
      add('2', 8_500)
      add('3', 10_000)
      add('4', 9_500)
      add('5', 10_000, true)
      const order = []
      for (const vm of ['a', 'b', 'c', 'd', 'e']) {
        hear(scheduler, createVmEntry(vm), 10_000)
        order.push(planOnce(scheduler, 10_000)[0]?.run.task.step.occurrence.job.id[0])
      }
      assert.equal(order, ['5', '4', '3', '2', '1'])
    })
  })
})
