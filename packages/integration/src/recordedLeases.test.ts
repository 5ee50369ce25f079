/**
 * A successor that trusts the recorded end of a lease starts no task twice, and ends no run that another owner started after it.
 */
import { Encoder } from 'cbor-x'
import { EventCode } from '@vanillathread/model'
import { StoreFault, VmFault, type VmStandIn } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

const SEEDS = [1, 2, 3]

/** A rate of a VM's clock that the platform allows. */
const SLOW_CLOCK_RATE = 0.98

/** Time after which the end of the lease of a VM that is cut off is recorded. */
const RECORDED_AFTER_MS = 3_500

/** Time after which the lease of a VM that is cut off is over, and its tasks run elsewhere. */
const REPLACED_AFTER_MS = 8_000

const WIDE_STEP = { taskCount: 4, longRunning: true, maxTasksPerVm: 2, mayMiss: 1 } as const

function listRuns (lab: JobLab): string[] {
  return lab.fleet.vms.flatMap((vm) => [...vm.runs.values()].map(({ task, run }) => `${task}#${run} on ${vm.id}`)).sort()
}

/** Starts a lab with two long-running jobs, and returns a VM with runs of both. */
async function startLab (seed: number): Promise<{ lab: JobLab, vm: VmStandIn }> {
  const lab = JobLab.create({ seed, daemons: 5 })
  await lab.start()
  lab.submit(createJob(createStep(WIDE_STEP)))
  // Keeps a third VM in the pool, on which the tasks of the first one have room.
  lab.submit(createJob(createStep({ taskCount: 3, longRunning: true, maxTasksPerVm: 1 })))
  await lab.run(4_000)
  const vm = lab.fleet.vms.find((each) => each.runs.size > 2)
  if (vm === undefined) throw new Error('no VM with three tasks')
  return { lab, vm }
}

function changeOwner (lab: JobLab, change: 'stop' | 'kill', downMs = 1_000): void {
  const owner = lab.findOwner()
  if (change === 'kill') {
    lab.crashDaemon(owner, downMs)
    return
  }
  const stopped = lab.daemons[owner]?.daemon?.stop()
  lab.timers.after(downMs, () => { stopped?.then(() => lab.startDaemon(owner)) })
}

/** Changes the value of a row as another build would have written it. */
function rewriteRow (lab: JobLab, table: string, key: string, change: (value: Record<string, unknown>) => void): void {
  const row = [...lab.store.rows.values()].find((each) => each.table === table && each.key === key)
  if (row === undefined) throw new Error(`no row ${table}/${key}`)
  const value = codec.decode(row.value) as Record<string, unknown>
  change(value)
  lab.store.put({ table, part: row.part, key }, new Uint8Array(codec.encode(value)))
}

describe('recorded lease ends of an earlier build', ({ it }) => {
  it('are not trusted by the successor of the first owner that keeps them up to date again', async () => {
    for (const seed of SEEDS) {
      const { lab, vm } = await startLab(seed)
      // A lease end that an owner of this build recorded long ago, and that an owner of an earlier build left alone while it gave leases.
      rewriteRow(lab, 'rosters', vm.id, (value) => { Object.assign(value, { leaseEndMs: 1, runs: [] }) })
      rewriteRow(lab, 'shards', 'owner', (value) => {
        Object.assign(value, { owner: '', host: '', port: 0 })
        delete value['leaseEndsKeptSince']
      })
      await lab.run(3_000)
      vm.fault = VmFault.Partitioned
      changeOwner(lab, 'kill')
      await lab.run(9_000)
      vm.fault = VmFault.None
      await lab.finish(8_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })
})

describe('recorded lease ends that cannot be stored', ({ it }) => {
  it('do not keep a VM that answers again from its leases, as no successor can know of them', async () => {
    for (const seed of SEEDS) {
      const { lab, vm } = await startLab(seed)
      const store = lab.daemons[lab.findOwner()]?.store
      if (store === undefined) throw new Error('no owner')
      store.refusesWrites = true
      vm.fault = VmFault.Partitioned
      await lab.run(RECORDED_AFTER_MS)
      vm.fault = VmFault.None
      const before = [...vm.runs.keys()]
      await lab.run(6_000)
      assert.equal([...vm.runs.keys()], before, `seed ${seed}`)
      store.refusesWrites = false
      await lab.finish(8_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })
})

function listTakeovers (lab: JobLab): string[] {
  const taken = lab.daemons.flatMap(({ name, log }) => log.records.filter(({ code }) => code === EventCode.ShardTaken).map(({ fields }) => `generation ${fields['generation']}: ${name}`))
  return taken.sort()
}

describe('a takeover from an owner whose process is gone', ({ it }) => {
  it('is not repeated by a daemon that learns of the new owner while it checks the former one', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      await lab.run(4_000)
      // Longer than the delay between the attempts of two daemons, as after a lost packet.
      lab.peers.refusalMs = 300
      const before = listTakeovers(lab).length
      changeOwner(lab, 'kill', 6_000)
      await lab.run(4_000)
      const taken = listTakeovers(lab)
      assert.is(taken.length - before, 1, `seed ${seed}: ${taken.join('; ')}`)
      await lab.finish(4_000)
    }
  })

  it('has a generation of its own although reads of the owner row are answered after heartbeats of a newer owner', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      await lab.run(4_000)
      lab.daemons.forEach(({ store }, index) => { store.lateReadMs = 20 * index })
      lab.daemons[lab.findOwner()]?.daemon?.stop()
      await lab.run(2_000)
      for (let kills = 0; kills < 3; kills++) {
        await lab.crashDaemon(lab.findOwner())
        await lab.run(3_000)
      }
      const taken = listTakeovers(lab)
      assert.is(new Set(taken.map((each) => each.split(':')[0])).size, taken.length, `seed ${seed}: ${taken.join('; ')}`)
      await lab.finish(0)
    }
  })
})

describe('recorded lease ends', ({ describe }) => {
  for (const change of ['stop', 'kill'] as const) {
    describe(`if the owner changes (${change})`, ({ it }) => {
      it('do not end runs that the previous owner started elsewhere after the lease was over', async () => {
        for (const seed of SEEDS) {
          const { lab, vm } = await startLab(seed)
          // The VM hangs: it answers nobody, and stays registered.
          vm.fault = VmFault.Partitioned
          await lab.run(REPLACED_AFTER_MS)
          assert.is(vm.runs.size, 0, 'the lease is over')
          const before = listRuns(lab)
          assert.ok(before.length >= 6, `${before.length} runs`)
          changeOwner(lab, change)
          await lab.run(4_000)
          assert.equal(listRuns(lab), before, `seed ${seed}`)
          // One task has room on no other VM.
          vm.fault = VmFault.None
          await lab.finish(8_000)
          assert.equal(lab.history.violations, [], `seed ${seed}`)
        }
      })

      it('hold while the VM runs on: its tasks do not run twice, whatever its clock and whenever it answers again', async () => {
        for (const seed of SEEDS) {
          for (const answersAfterMs of [500, 1_500, 3_000, 5_000, 20_000]) {
            const { lab, vm } = await startLab(seed)
            vm.fault = VmFault.Partitioned
            await lab.run(RECORDED_AFTER_MS)
            changeOwner(lab, change)
            await lab.run(answersAfterMs)
            vm.fault = VmFault.None
            await lab.finish(10_000)
            assert.equal(lab.history.violations, [], `seed ${seed}, answers after ${answersAfterMs} ms`)
          }
        }
      })

      it('hold through three takeovers in a row, the last while the VM answers again', async () => {
        for (const seed of SEEDS) {
          const { lab, vm } = await startLab(seed)
          vm.fault = VmFault.Partitioned
          await lab.run(RECORDED_AFTER_MS)
          changeOwner(lab, change)
          await lab.run(1_000)
          changeOwner(lab, change)
          await lab.run(900)
          vm.fault = VmFault.None
          await lab.run(30)
          changeOwner(lab, change)
          await lab.run(1_500)
          vm.fault = VmFault.Partitioned
          changeOwner(lab, change)
          await lab.run(9_000)
          vm.fault = VmFault.None
          await lab.finish(8_000)
          assert.equal(lab.history.violations, [], `seed ${seed}`)
        }
      })

      it('do not count for a VM that started again under its id', async () => {
        for (const seed of SEEDS) {
          for (const restartAfterMs of [100, 3_500, 5_000]) {
            const { lab, vm } = await startLab(seed)
            vm.fault = VmFault.Partitioned
            await lab.run(restartAfterMs)
            lab.fleet.restart(vm.entry.machine ?? '')
            await lab.run(1_500)
            const restarted = lab.fleet.machines.get(vm.entry.machine ?? '')?.vm
            if (restarted !== undefined) restarted.fault = VmFault.Partitioned
            changeOwner(lab, change)
            await lab.run(2_000)
            if (restarted !== undefined) restarted.fault = VmFault.None
            await lab.finish(10_000)
            assert.equal(lab.history.violations, [], `seed ${seed}, restart after ${restartAfterMs} ms`)
          }
        }
      })

      it('are withdrawn in time although the store is slow or loses answers: a second cut leads to no second run', async () => {
        for (const seed of SEEDS) {
          for (const fault of [StoreFault.Slow, StoreFault.LosingAnswers]) {
            const { lab, vm } = await startLab(seed)
            lab.store.fault = fault
            vm.fault = VmFault.Partitioned
            await lab.run(RECORDED_AFTER_MS)
            vm.fault = VmFault.None
            await lab.run(2_500)
            vm.fault = VmFault.Partitioned
            changeOwner(lab, change)
            await lab.run(10_000)
            lab.store.fault = StoreFault.None
            vm.fault = VmFault.None
            await lab.finish(10_000)
            assert.equal(lab.history.violations, [], `seed ${seed}, store ${fault}`)
          }
        }
      })

      it('let no wave interrupt more tasks of a step than it may miss', async () => {
        for (const seed of SEEDS) {
          const { lab, vm } = await startLab(seed)
          vm.fault = VmFault.Partitioned
          await lab.run(RECORDED_AFTER_MS)
          lab.requestWave(1, [...lab.fleet.machines.values()].filter(({ machine }) => machine.pool === vm.entry.pool).map(({ machine }) => machine.id), 2)
          await lab.run(300)
          changeOwner(lab, change)
          await lab.run(6_000)
          changeOwner(lab, change)
          vm.fault = VmFault.None
          await lab.finish(25_000)
          assert.equal(lab.history.violations, [], `seed ${seed}`)
          assert.ok(lab.history.completeWaves.has(1), `seed ${seed}: the wave is complete`)
        }
      })

      it('allow for a VM clock that runs 2 percent slow', async () => {
        for (const seed of SEEDS) {
          for (const changeAfterMs of [50, 600, 1_200, 2_000, 3_500]) {
            const lab = JobLab.create({ seed, daemons: 5 })
            for (const each of lab.fleet.vms) each.clockRate = SLOW_CLOCK_RATE
            await lab.start()
            for (const each of lab.fleet.vms) each.clockRate = SLOW_CLOCK_RATE
            lab.submit(createJob(createStep({ ...WIDE_STEP, maxTasksPerVm: 1 })))
            lab.submit(createJob(createStep({ taskCount: 3, longRunning: true, maxTasksPerVm: 1 })))
            await lab.run(5_000)
            const vm = lab.fleet.vms.find((each) => each.runs.size > 1)
            if (vm === undefined) throw new Error('no VM with two tasks')
            vm.fault = VmFault.Partitioned
            await lab.run(changeAfterMs)
            changeOwner(lab, change)
            await lab.run(12_000)
            vm.fault = VmFault.None
            await lab.finish(8_000)
            assert.equal(lab.history.violations, [], `seed ${seed}, change after ${changeAfterMs} ms`)
          }
        }
      })
    })
  }
})
