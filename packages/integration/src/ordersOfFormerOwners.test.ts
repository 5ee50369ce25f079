/**
 * Long-running tasks stay available although the owner changes while its orders are being carried out.
 */
import { EventCode } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'
import { SEEDS } from './lib/jobs/simulateWithFault.js'

/** Longest time that a stop takes, as the platform's sites state. */
const STOP_MS = 900

/** Time from the sending of an order for a machine until it is carried out: shorter than the calls' limit of 1.5 s. */
const ORDER_DELAY_MS = 1_400

const FOREVER_MS = 3_600_000

function hasOrderedStop (lab: JobLab): boolean {
  return lab.daemons.some(({ log }) => log.records.some(({ code }) => code === EventCode.TaskStopOrdered))
}

describe('long-running tasks after the loss of an owner', ({ it }) => {
  it('are not stopped beside a task whose stop by the former owner has not ended yet', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5, settings: { stopMs: STOP_MS } })
      await lab.start()
      lab.submit(createJob(createStep({ taskCount: 3, longRunning: true, maxTasksPerVm: 1, mayMiss: 1 })))
      await lab.run(4_000)
      for (const vm of lab.fleet.vms) vm.stopDurationMs = STOP_MS
      const machines = lab.fleet.vms.filter((vm) => vm.runs.size > 0).map((vm) => vm.entry.machine ?? '')
      lab.requestWave(1, machines, machines.length)
      const startsBefore = lab.history.starts
      const owner = lab.findOwner()
      while (!hasOrderedStop(lab)) await lab.timers.advance(5)
      lab.daemons[owner]?.daemon?.stop()
      await lab.finish(20_000)
      assert.ok(lab.history.starts > startsBefore)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })

  it('are not placed on a machine that the former owner has ordered to move', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      // The tasks of this job end at once, and the machine that the pool got for them becomes idle.
      for (let job = 0; job < 4; job++) lab.submit(createJob(createStep({ taskCount: 12, estimateMs: 1_000 })))
      await lab.run(500)
      lab.fleet.orderDelayMs = ORDER_DELAY_MS
      const ordersBefore = lab.fleet.ordersReceived
      while (lab.fleet.ordersReceived === ordersBefore) await lab.timers.advance(5)
      const killed = lab.crashDaemon(lab.findOwner(), 1_000)
      lab.submit(createJob(createStep({ taskCount: 8, longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
      await killed
      await lab.finish(20_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })

  it('are not placed on a machine whose maintenance the former owner has ordered', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      lab.fleet.orderDelayMs = ORDER_DELAY_MS
      const machines = lab.fleet.vms.map((vm) => vm.entry.machine ?? '')
      const maintenances = () => lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.MaintenanceOrdered).length
      lab.requestWave(1, machines, 2)
      while (maintenances() === 0) await lab.timers.advance(5)
      const killed = lab.crashDaemon(lab.findOwner(), 1_000)
      lab.submit(createJob(createStep({ taskCount: 8, longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
      await killed
      await lab.finish(30_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })
})

describe('a wave on machines whose VMs have crashed', ({ it }) => {
  it('never has more machines down than its cap, although a VM starts on a machine while its order is under way', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      for (let job = 0; job < 6; job++) lab.submit(createJob(createStep({ taskCount: 12, estimateMs: 1_500 })))
      await lab.run(3_500)
      const machines = lab.fleet.vms.map((vm) => vm.entry.machine ?? '')
      for (const machine of machines) lab.fleet.crash(machine, FOREVER_MS)
      lab.fleet.keepsRegistrations = true
      lab.fleet.orderDelayMs = 100
      await lab.run(6_000)
      lab.requestWave(1, machines, 2)
      const ordersBefore = lab.fleet.ordersReceived
      while (lab.fleet.ordersReceived === ordersBefore) await lab.timers.advance(5)
      await lab.timers.advance(50)
      for (const machine of machines) lab.fleet.recover(machine)
      await lab.finish(40_000)
      assert.equal(lab.history.violations.filter(({ rule }) => rule === 'LIMIT'), [], `seed ${seed}`)
      assert.ok(lab.history.completeWaves.has(1), `seed ${seed}: the wave is complete`)
    }
  })
})
