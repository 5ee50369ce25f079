/**
 * What an owner knows for certain must reach its successor: a takeover must not begin a wait anew that the previous owner had
 * already ended.
 */
import { shardOptions, taskOptions } from '@vanillathread/daemon'
import { EventCode, formatTaskName, type JobSpec } from '@vanillathread/model'
import { SLOW_CLOCK_FACTOR } from '@vanillathread/policy'
import { VmFault, type VmStandIn } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'
import type { SubmittedJob } from './lib/jobs/SubmittedJob.js'

/** Rule LOST: a job has nothing running for this long, although a task's turn has come and there is room for it. */
const LOST_AFTER_MS = 3_000

/** The longest that a registration outlives its VM: three heartbeat intervals of the platform. */
const REGISTRATION_TTL_MS = 4_500

/** Time within which a wave of the lab is to be complete. */
const WAVE_DURATION_MS = 20_000

/** Time from a takeover until no lease of a previous owner is left. */
const FORMER_LEASE_MS = shardOptions.previousOwnerRenewalMs + SLOW_CLOCK_FACTOR * taskOptions.leaseMs

const FOREVER_MS = 3_600_000

/** Advances the clock until the condition holds, and returns the time that took, or `limitMs` if it never held. */
async function measureUntil (lab: JobLab, limitMs: number, condition: () => boolean): Promise<number> {
  const startedAtMs = lab.timers.now()
  while (!condition() && lab.timers.now() - startedAtMs < limitMs) await lab.timers.advance(10)
  return lab.timers.now() - startedAtMs
}

/** Stops the owner as SIGTERM does, and returns once another daemon has loaded the shard. */
async function handOver (lab: JobLab): Promise<void> {
  const owner = lab.findOwner()
  lab.daemons[owner]?.daemon?.stop()
  await measureUntil(lab, 1_000, () => lab.findOwner() !== owner && lab.findOwner() >= 0)
  const successor = lab.daemons[lab.findOwner()]
  await measureUntil(lab, 1_000, () => successor?.log.records.some(({ code }) => code === EventCode.ShardReady) === true)
}

function countRuns (lab: JobLab, job: SubmittedJob, step = 0): number {
  const tasks = new Set(Array.from({ length: job.spec.steps[step]?.taskCount ?? 0 }, (_unused, index) => formatTaskName({ jobId: job.id, occurrence: 0, step, index })))
  return lab.fleet.vms.flatMap((vm) => [...vm.runs.values()]).filter(({ task }) => tasks.has(task)).length
}

/** Submits a job without waiting for the answer, which needs the clock to advance. */
function submit (lab: JobLab, spec: JobSpec): SubmittedJob {
  lab.submit(spec)
  const job = [...lab.history.jobs.values()].at(-1)
  if (job === undefined) throw new Error('no job was submitted')
  return job
}

/** Submits a job whose second step comes due `dueInMs` from its start, and returns the job once its first step runs. */
async function submitTwoSteps (lab: JobLab, dueInMs: number): Promise<SubmittedJob> {
  const job = submit(lab, createJob(createStep({ taskCount: 1, estimateMs: dueInMs }), createStep({ taskCount: 3, estimateMs: 20_000, maxTasksPerVm: 1, after: [0] })))
  await measureUntil(lab, 1_000, () => countRuns(lab, job, 0) === 1)
  return job
}

/** Returns the time from the end of a job's first step, or from now if that is later, until a task of its second step runs. */
async function measureSecondStep (lab: JobLab, job: SubmittedJob): Promise<number> {
  await measureUntil(lab, 10_000, () => countRuns(lab, job, 0) === 0)
  return measureUntil(lab, 10_000, () => countRuns(lab, job, 1) > 0)
}

/** Creates a job that needs five of six machines by its processor, and fits on four by its number of tasks for each VM. */
function createTightJob (): JobSpec {
  return createJob(createStep({ longRunning: true, taskCount: 8, need: { cpuMillis: 8_000, memoryMb: 1_024, accelerators: 0 }, maxTasksPerVm: 2, mayMiss: 1 }))
}

/** Keeps the registration of a VM for as long as it may outlive the VM on the platform. */
function keepRegistration (lab: JobLab, vm: VmStandIn): void {
  lab.fleet.register(vm)
  lab.timers.after(REGISTRATION_TTL_MS, () => lab.fleet.expireRegistration(vm))
}

function addSilentMachine (lab: JobLab, id: string): void {
  lab.fleet.addMachine(id, 'checks', 'r-9', { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 })
  const vm = lab.fleet.machines.get(id)?.vm
  if (vm !== undefined) vm.fault = VmFault.Partitioned
}

describe('hand-over', ({ describe }) => {
  describe('of VMs that certainly run nothing', ({ it }) => {
    it('starts the next step at once although the roster still lists a VM that the previous owner had forgotten', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      lab.submit(createJob(createStep({ longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
      await lab.run(4_000)
      const left = lab.fleet.vms.find((vm) => vm.runs.size > 0)
      lab.fleet.crash(left?.entry.machine ?? '', FOREVER_MS)
      await lab.run(12_000)
      const owner = lab.daemons[lab.findOwner()]
      assert.ok(owner?.log.records.some(({ code, fields }) => code === EventCode.VmForgotten && fields['vm'] === left?.id), 'the owner has forgotten the VM')
      const job = await submitTwoSteps(lab, 1_000)
      await handOver(lab)
      const waitedMs = await measureSecondStep(lab, job)
      assert.ok(waitedMs < LOST_AFTER_MS, `the second step waited ${waitedMs} ms`)
      assert.equal(lab.history.violations, [])
    })

    it('starts the next step at once although a VM that was moved to standby is still registered', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      await lab.run(4_000)
      // Demand for a second machine ends, and the machine returns to standby.
      submit(lab, createJob(createStep({ taskCount: 12, estimateMs: 1_000 })))
      const before = new Set<VmStandIn>()
      let moved: VmStandIn | undefined
      await measureUntil(lab, 10_000, () => {
        for (const vm of lab.fleet.vms) if (vm.entry.pool === 'checks') before.add(vm)
        moved = [...before].find((vm) => !vm.alive)
        return moved !== undefined
      })
      assert.ok(moved !== undefined, 'a machine has returned to standby')
      if (moved === undefined) return
      keepRegistration(lab, moved)
      const job = await submitTwoSteps(lab, 500)
      await handOver(lab)
      const waitedMs = await measureSecondStep(lab, job)
      assert.ok(waitedMs < LOST_AFTER_MS, `the second step waited ${waitedMs} ms`)
    })
  })

  describe('beside VMs that never had a lease', ({ it }) => {
    it('starts the next step at once although a VM that registers after the takeover does not answer', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      const job = await submitTwoSteps(lab, 1_000)
      await handOver(lab)
      addSilentMachine(lab, 'm-silent')
      const waitedMs = await measureSecondStep(lab, job)
      assert.ok(waitedMs < LOST_AFTER_MS, `the second step waited ${waitedMs} ms`)
    })

    it('starts the next step at once although a VM has not answered any owner', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      addSilentMachine(lab, 'm-silent')
      await lab.run(1_000)
      const job = await submitTwoSteps(lab, 1_000)
      await handOver(lab)
      const waitedMs = await measureSecondStep(lab, job)
      assert.ok(waitedMs < LOST_AFTER_MS, `the second step waited ${waitedMs} ms`)
    })
  })

  describe('during a wave', ({ it }) => {
    /** Requests a wave of all machines of the pool, one at a time, and returns the first new VM after maintenance. */
    async function maintainFirst (lab: JobLab): Promise<VmStandIn> {
      const formerVms = lab.fleet.vms.filter((vm) => vm.entry.pool === 'checks')
      const machines = formerVms.map((vm) => vm.entry.machine ?? '')
      lab.requestWave(1, machines, 1)
      const findNew = (): VmStandIn | undefined => lab.fleet.vms.find((vm) => machines.includes(vm.entry.machine ?? '') && !formerVms.includes(vm))
      await measureUntil(lab, 10_000, () => findNew() !== undefined)
      const vm = findNew()
      if (vm === undefined) throw new Error('no machine is back')
      return vm
    }

    it('keeps the new VM of a machine whose maintenance the previous owner knew to have begun', async () => {
      const lab = JobLab.create({ seed: 1, machines: 6 })
      await lab.start()
      const job = submit(lab, createTightJob())
      await lab.run(6_000)
      assert.equal(lab.fleet.vms.filter((vm) => vm.entry.pool === 'checks').length, 5)
      const vm = await maintainFirst(lab)
      await handOver(lab)
      await lab.run(10_000)
      assert.ok(vm.alive, 'the machine stays in its pool')
      const forgotten = lab.daemons.flatMap(({ log }) => log.records).filter(({ code, fields }) => code === EventCode.VmForgotten && fields['vm'] === vm.id)
      assert.equal(forgotten.map(({ fields }) => fields['reason']), [])
      assert.equal(countRuns(lab, job), 8)
    })

    for (const loss of ['stopped', 'killed']) {
      it(`finishes a wave although three owners in turn are ${loss} when a machine is back`, async () => {
        const lab = JobLab.create({ seed: 1, machines: 6, daemons: 5 })
        await lab.start()
        submit(lab, createTightJob())
        await lab.run(6_000)
        lab.requestWave(1, lab.fleet.vms.filter((vm) => vm.entry.pool === 'checks').map((vm) => vm.entry.machine ?? ''), 1)
        const requestedAtMs = lab.timers.now()
        for (let count = 0; count < 3; count++) {
          const vms = new Set(lab.fleet.vms)
          await measureUntil(lab, 10_000, () => lab.fleet.vms.some((vm) => !vms.has(vm)))
          const owner = lab.findOwner()
          if (loss === 'stopped') lab.daemons[owner]?.daemon?.stop()
          else lab.crashDaemon(owner)
          await lab.run(1_500)
        }
        const limitMs = WAVE_DURATION_MS + 3 * FORMER_LEASE_MS
        await measureUntil(lab, requestedAtMs + limitMs - lab.timers.now(), () => lab.history.completeWaves.has(1))
        assert.ok(lab.history.completeWaves.has(1), `the wave was not complete after ${limitMs} ms`)
        assert.equal(lab.history.violations, [])
      })
    }

    it('orders no maintenance of a machine whose VM has not yet reported its runs to the successor', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      const job = submit(lab, createJob(createStep({ longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
      await lab.run(4_000)
      const vm = lab.fleet.vms.find((each) => each.runs.size === 2)
      if (vm === undefined) throw new Error('no VM has two tasks')
      lab.requestWave(1, [vm.entry.machine ?? ''], 1)
      vm.fault = VmFault.Partitioned
      lab.timers.after(2_000, () => { vm.fault = VmFault.None })
      await handOver(lab)
      await lab.run(10_000)
      assert.equal(lab.history.violations, [])
      assert.equal(countRuns(lab, job), 4)
    })

    it('does not tell the operator again that a complete wave is running', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      await maintainFirst(lab)
      await measureUntil(lab, 20_000, () => lab.history.completeWaves.has(1))
      const states: string[] = []
      const set = lab.store.rows.set.bind(lab.store.rows)
      lab.store.rows.set = (key, row) => {
        if (row.table === 'wave-states') states.push(Buffer.from(row.value).toString())
        return set(key, row)
      }
      await handOver(lab)
      await lab.run(2_000)
      assert.equal(states.filter((state) => state.includes('false')), [])
    })
  })

  describe('after moves whose answers were lost', ({ it }) => {
    it('keeps the new VMs of the machines that were moved', async () => {
      const lab = JobLab.create({ seed: 1 })
      await lab.start()
      const move = lab.fleet.move.bind(lab.fleet)
      // Orders are carried out at once, but no answer arrives until the machines have new VMs.
      lab.fleet.move = async (...order) => {
        await move(...order)
        return { kind: 'unknown', reason: 'no answer' }
      }
      const job = submit(lab, createJob(createStep({ longRunning: true, taskCount: 4, maxTasksPerVm: 1 })))
      await lab.run(2_500)
      lab.fleet.move = move
      await lab.run(3_000)
      const alive = new Set(lab.fleet.vms.map((vm) => vm.id))
      const forgotten = lab.daemons.flatMap(({ log }) => log.records).filter(({ code, fields }) => code === EventCode.VmForgotten && alive.has(String(fields['vm'])))
      assert.equal(forgotten.map(({ fields }) => fields['reason']), [])
      assert.equal(countRuns(lab, job), 4)
    })
  })
})
