/**
 * One VM whose client or answers make an operation throw, called by the owner itself or, in a large fleet, by relays: the other VMs get
 * their tasks, before and after a restart of all daemons, and so does one that registers later.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import { VmAnswerKind, type VmClient, type VmClients } from '@vanillathread/ports'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

const ODD_MACHINE = 'odd'
const CAPACITY = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 0 }
const JOBS = 6
/** Lines of one daemon about the odd VM, which is called five times a second. */
const MAX_LINES = 15

function throwError (): never {
  throw new TypeError('Invalid URL')
}

/** What the odd VM does. */
const FAILURES: Readonly<Record<string, (client: VmClient) => VmClient>> = {
  'cannot be opened': throwError,
  'throws in each call': ({ dispose }) => ({ start: throwError, stop: throwError, pace: throwError, renew: throwError, dispose }),
  'rejects each call': ({ dispose }) => ({ start: async () => throwError(), stop: async () => throwError(), pace: async () => throwError(), renew: async () => throwError(), dispose }),
  'answers with a report that cannot be applied': wrapReports,
}

/** Replaces the reports of a VM by one that cannot be applied. */
function wrapReports (client: VmClient): VmClient {
  return {
    start: (call) => client.start(call),
    stop: (call) => client.stop(call),
    pace: (call) => client.pace(call),
    renew: async (call) => {
      const answer = await client.renew(call)
      return answer.kind === VmAnswerKind.Done ? { ...answer, value: { ...answer.value, running: undefined as never } } : answer
    },
    dispose: () => client.dispose(),
  }
}

function wrapOddVm (vms: VmClients, wrap: (client: VmClient) => VmClient): VmClients {
  return { open: (entry) => entry.machine === ODD_MACHINE ? wrap(vms.open(entry)) : vms.open(entry) }
}

/** Plays jobs as the odd VM registers, and after a restart of all daemons. Returns the lab and the errors that no one handled. */
async function play (options: { machines: number, daemons: number, seed: number }, wrap: (client: VmClient) => VmClient): Promise<{ lab: JobLab, rejections: unknown[] }> {
  const rejections: unknown[] = []
  const onRejection = (err: unknown): void => { rejections.push(err) }
  process.on('unhandledRejection', onRejection)
  try {
    const lab = JobLab.create({ ...options, wrapVms: (vms) => wrapOddVm(vms, wrap) })
    await lab.start()
    // Keeps the machines in their pools: idle ones would be sent to standby, and relays are used for many VMs only.
    for (const queue of [0, 1]) lab.submit(createJob(createStep({ taskCount: options.machines / 3, longRunning: true, maxTasksPerVm: 1, mayMiss: 3 })), { queue })
    await lab.run(6_000)
    lab.fleet.addMachine(ODD_MACHINE, 'checks', 'odd', CAPACITY)
    await submitJobs(lab)
    await lab.run(3_000)
    await Promise.all(lab.daemons.map((_, index) => lab.crashDaemon(index, 1_000)))
    await lab.run(12_000)
    await submitJobs(lab)
    lab.fleet.addMachine('later', 'checks', 'later', CAPACITY)
    submit(lab, 'later')
    await lab.finish(8_000)
    // Node reports a rejection that no one handled after the microtasks.
    await new Promise((resolve) => { setImmediate(resolve) })
    return { lab, rejections }
  } finally {
    process.off('unhandledRejection', onRejection)
  }
}

async function submitJobs (lab: JobLab): Promise<void> {
  for (let index = 0; index < JOBS; index++) {
    submit(lab)
    await lab.run(200)
  }
}

function submit (lab: JobLab, requiredLabel?: string): void {
  lab.submit(createJob(createStep({ taskCount: 8, requiredLabel })))
}

describe('one VM that makes an operation throw', ({ it, describe }) => {
  it('while it runs tasks: they are started elsewhere once its lease has expired', async () => {
    let fails = false
    const lab = JobLab.create({
      seed: 1,
      wrapVms: (vms) => wrapOddVm(vms, (client) => ({
        ...wrapReports(client),
        renew: (call) => fails ? wrapReports(client).renew(call) : client.renew(call),
      }))
    })
    await lab.start()
    lab.fleet.addMachine(ODD_MACHINE, 'checks', 'odd', CAPACITY)
    await lab.run(1_000)
    lab.submit(createJob(createStep({ taskCount: 24, estimateMs: 2_000 })))
    await lab.run(1_000)
    assert.ok((lab.fleet.vms.find((vm) => vm.entry.machine === ODD_MACHINE)?.runs.size ?? 0) > 0, 'the VM runs tasks')
    fails = true
    await lab.finish(20_000)
    assert.equal(lab.history.violations, [])
  })

  for (const [fleet, options] of [['of the owner alone', { machines: 12, daemons: 3 }], ['with relays', { machines: 180, daemons: 5 }]] as const) {
    describe(fleet, ({ it }) => {
      for (const [failure, wrap] of Object.entries(FAILURES)) {
        it(`${failure}: the others get their tasks, and it is logged without a flood of lines`, async () => {
          const { lab, rejections } = await play({ ...options, seed: 1 }, wrap)
          assert.equal(lab.history.violations, [])
          const jobs = [...lab.history.jobs.values()]
          assert.is(jobs.filter(({ completeAtMs }) => completeAtMs !== undefined).length, 2 * JOBS + 1)
          assert.equal(rejections.map(String), [])
          const oddVm = lab.fleet.vms.find((vm) => vm.entry.machine === ODD_MACHINE)?.entry.id
          const lines = lab.daemons.map(({ log }) => log.records.filter(({ fields }) => fields['vm'] === oddVm))
          assert.ok(lines.flat().some(({ code }) => code === EventCode.VmCallFailed), 'the failure is logged')
          assert.ok(Math.max(...lines.map((records) => records.length)) <= MAX_LINES, `lines: ${lines.map((records) => records.length)}`)
        })
      }
    })
  }
})
