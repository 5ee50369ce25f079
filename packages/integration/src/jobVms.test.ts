/**
 * Tests the invariants of jobs while VMs fail, and that the history detects deliberately incorrect owners.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import { StoreFault, VmFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'
import { NaiveOwner } from './lib/jobs/labVmClients.js'
import { expectNoViolations, simulateWithFault, SEEDS } from './lib/jobs/simulateWithFault.js'

describe('jobs under faults of VMs', ({ it }) => {
  it('violate no invariant on a crash of VMs whose machines then start new VMs', () => expectNoViolations((lab) => { for (const vm of lab.fleet.vms.slice(0, 3)) lab.fleet.crash(vm.entry.machine ?? '', 3_000) }))
  it('violate no invariant if VMs are cut off and continue to run', () => expectNoViolations((lab) => {
    const cutVms = lab.fleet.vms.slice(0, 3)
    for (const vm of cutVms) {
      vm.fault = VmFault.Partitioned
      lab.timers.after(4_500, () => lab.fleet.expireRegistration(vm))
      lab.timers.after(8_000, () => {
        vm.fault = VmFault.None
        if (vm.alive) lab.fleet.register(vm)
      })
    }
  }))
  it('violate no invariant if VMs carry out starts late and do not answer them', () => expectNoViolations((lab) => {
    for (const vm of lab.fleet.vms) vm.fault = VmFault.LateStarts
    lab.timers.after(1_500, () => { for (const vm of lab.fleet.vms) vm.fault = VmFault.None })
  }))
  it('violate no invariant if a VM with long-running tasks is gone permanently', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed })
      await lab.start()
      lab.submit(createJob(createStep({ longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
      await lab.run(4_000)
      const failedVm = lab.fleet.vms.find((vm) => vm.runs.size > 0)
      lab.fleet.crash(failedVm?.entry.machine ?? '', 3_600_000)
      await lab.finish(12_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })
  it('complete in time if some answers to lease renewals are lost, and none of the VMs with runs count as unresponsive', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    for (const vm of lab.fleet.vms) vm.lostRenewalInterval = 4
    for (let job = 0; job < 10; job++) {
      lab.submit(createJob())
      await lab.run(400)
    }
    await lab.finish(4_000)
    assert.equal(lab.history.violations, [])
    const silentRecords = lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.VmSilent)
    assert.equal(silentRecords.map(({ fields }) => fields['runs']).filter((runs) => runs !== 0), [])
    const slowest = Math.max(...[...lab.history.jobs.values()].map((job) => (job.completeAtMs ?? Infinity) - job.submittedAtMs))
    assert.ok(slowest < 2_200, `the slowest job took ${slowest} ms`)
  })
  it('violate no invariant if VMs are cut off while the owner crashes', () => expectNoViolations(async (lab) => {
    const cutVms = lab.fleet.vms.slice(0, 2)
    for (const vm of cutVms) vm.fault = VmFault.Partitioned
    lab.timers.after(7_000, () => { for (const vm of cutVms) vm.fault = VmFault.None })
    await lab.crashDaemon(lab.findOwner(), 2_000)
  }))
})

describe('naive owner', ({ it }) => {
  it('is detected if it starts a task again after a start order that got no answer', async () => {
    const lab = await simulateWithFault({ seed: 1, naive: NaiveOwner.RestartsWithoutAnswer }, (each) => {
      for (const vm of each.fleet.vms) vm.fault = VmFault.LateStarts
      each.timers.after(1_500, () => { for (const vm of each.fleet.vms) vm.fault = VmFault.None })
    })
    assert.ok(lab.history.violations.some((violation) => violation.rule === 'TWICE'))
  })

  it('is detected if it acknowledges ends before they are stored', async () => {
    const lab = await simulateWithFault({ seed: 1, naive: NaiveOwner.AcknowledgesEarly }, (each) => {
      const owner = each.findOwner()
      const previousOwner = each.daemons[owner]
      if (previousOwner !== undefined) previousOwner.store.refusesWrites = true
      each.timers.after(1_100, () => { each.crashDaemon(owner) })
    })
    assert.ok(lab.history.violations.some((violation) => violation.rule === 'TWICE'))
  })

  it('is detected if it orders without a fencing token, while a correct owner violates no invariant under the same faults', async () => {
    const simulate = async (naive?: NaiveOwner): Promise<JobLab> => {
      const lab = JobLab.create({ seed: 1, naive })
      await lab.start()
      // Steps end all the time, also shortly after the takeover, while the former owner may still act.
      const steps = Array.from({ length: 12 }, (_step, index) => createStep({ taskCount: 2, estimateMs: 300, after: index === 0 ? [] : [index - 1] }))
      for (let job = 0; job < 6; job++) lab.submit(createJob(...steps))
      await lab.run(500)
      const owner = lab.daemons[lab.findOwner()]
      if (owner === undefined) throw new Error('no owner')
      // The owner is cut off from the store and its peers, but it still reaches the VMs and continues to send them orders.
      owner.store.fault = StoreFault.Unresponsive
      lab.peers.cutAddresses.add(`${owner.address.host}:${owner.address.port}`)
      await lab.run(12_000)
      owner.store.fault = StoreFault.None
      lab.peers.cutAddresses.clear()
      await lab.finish(12_000)
      return lab
    }
    const naive = await simulate(NaiveOwner.WithoutFencingToken)
    assert.ok(naive.history.violations.some((violation) => violation.rule === 'TWICE'), JSON.stringify(naive.history.violations))
    assert.equal((await simulate()).history.violations, [])
  })
})
