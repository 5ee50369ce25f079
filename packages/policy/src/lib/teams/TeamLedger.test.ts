/**
 * The cap of what a team has running: kept in step with the runs, and kept by several owners in turn.
 */
import { assert, describe } from '@vanillathread/testing'
import { STEP_DEFAULTS, type StepSpec, type TeamRules } from '@vanillathread/model'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import { createCapacity, addCapacity } from './capacity.js'
import { createTeam, TeamWorld } from './testSupport.js'

const SEEDS = Array.from({ length: 12 }, (_unused, index) => index + 1)
const STEPS = 500

/** Sums the needs of all runs that VMs hold, by team. */
function countFromScratch ({ state }: JobScheduler): Map<string, unknown> {
  const sums = new Map([...state.teams.ledger.accounts.keys()].map((name) => [name, createCapacity()]))
  for (const vm of state.vms.values()) {
    for (const { task } of vm.runs.values()) addCapacity(sums.get(task.step.occurrence.job.accepted.team ?? '') ?? createCapacity(), task.step.spec.need, 1)
  }
  return sums
}

const TEAM = createTeam('a', 1, { cpuMillis: 4_000 })

/** Creates a scheduler with two VMs of eight cores. */
function prepare (teams: readonly TeamRules[] = [TEAM]): JobScheduler {
  const scheduler = createScheduler()
  scheduler.setTeams(teams)
  for (const id of ['x', 'y']) reportRunning(scheduler, createVmEntry(id), 0)
  return scheduler
}

function addJob (scheduler: JobScheduler, id: string, step: Partial<StepSpec>, { pool = 'pool', version = 2 } = {}): void {
  scheduler.addJob({ ...createTestJob({ id: id.repeat(16), steps: [createTestStep({ ...STEP_DEFAULTS, ...step })] }), team: 'a', pool }, version, 0)
}

function needCores (cores: number): Partial<StepSpec> {
  return { taskCount: 1, need: { cpuMillis: 1_000 * cores, memoryMb: 0, accelerators: 0 } }
}

describe('TeamLedger', ({ it }) => {
  it('starts no part of a gang that does not fit, and a task above the cap only while the team has little running', () => {
    const scheduler = prepare()
    addJob(scheduler, '1', { taskCount: 5, gang: true })
    addJob(scheduler, '2', needCores(3))
    addJob(scheduler, '3', needCores(6))
    assert.equal(planAndAccept(scheduler, 0).map(({ run }) => run.task.step.occurrence.job.id[0]), ['2'])
    scheduler.cancelJob('2'.repeat(16), 1)
    const [run] = scheduler.state.vms.get('x')?.runs.values() ?? scheduler.state.vms.get('y')?.runs.values() ?? []
    assert.is(planAndAccept(scheduler, 2).length, 1, 'the run that is being stopped still counts, so that only its stop is ordered')
    if (run !== undefined) scheduler.state.releaseRun(run)
    assert.equal(planAndAccept(scheduler, 3).map(({ run }) => run.task.step.occurrence.job.id[0]), ['3'])
  })

  it('keeps the last known cap of a removed team, stops nothing if a cap is lowered, and follows a cap that is raised', () => {
    const scheduler = prepare()
    addJob(scheduler, '1', { taskCount: 9 })
    assert.is(planAndAccept(scheduler, 0).length, 4)
    scheduler.setTeams([])
    assert.is(planAndAccept(scheduler, 1).length, 0)
    scheduler.setTeams([createTeam('a', 1, { cpuMillis: 2_000 })])
    assert.is(planAndAccept(scheduler, 2).length, 0)
    scheduler.setTeams([createTeam('a', 1, { cpuMillis: 6_000 })])
    assert.is(planAndAccept(scheduler, 3).length, 2)
  })

  it('starts nothing for a team before a configuration is read, but waits for it for 2 s only', () => {
    const scheduler = createScheduler()
    reportRunning(scheduler, createVmEntry('x'), 0)
    addJob(scheduler, '1', {})
    assert.equal([planAndAccept(scheduler, 0).length, planAndAccept(scheduler, 2_000).length], [0, 4])
  })

  it('charges a team, after a takeover, for the runs that a VM without an answer may have, and no other team', () => {
    const scheduler = createScheduler({ generation: 1 })
    scheduler.setTeams([TEAM, createTeam('b', 1, { cpuMillis: 4_000 })])
    addJob(scheduler, '1', { taskCount: 4 }, { pool: 'other', version: 0 })
    scheduler.restoreVm({ entry: createVmEntry('silent', { pool: 'other' }) }, { nowMs: 0, storeNowMs: 0 })
    reportRunning(scheduler, createVmEntry('x'), 0)
    addJob(scheduler, '2', {})
    scheduler.addJob({ ...createTestJob({ id: '3'.repeat(16) }), team: 'b' }, 2, 0)
    assert.equal(planAndAccept(scheduler, 0).map(({ run }) => run.task.step.occurrence.job.id[0]), ['3', '3', '3', '3'])
    reportRunning(scheduler, createVmEntry('silent', { pool: 'other' }), 1)
    assert.is(planAndAccept(scheduler, 1).length, 4, 'its cap goes to one of its jobs once nothing is hidden')
  })

  it('does not count tasks that a cap forbids as demand for machines', () => {
    const scheduler = prepare()
    addJob(scheduler, '1', { taskCount: 9 })
    const clocks = { nowMs: 0, storeNowMs: 0 }
    assert.is(scheduler.getDemand('pool', clocks).busyCpuMillis, 4_000)
    planAndAccept(scheduler, 0)
    assert.is(scheduler.getDemand('pool', clocks).busyCpuMillis, 4_000)
  })

  it('equals a count of all runs, and no start raises a team above its cap and one task, whatever happens to starts, VMs, caps and owners', () => {
    for (const seed of SEEDS) {
      const world = new TeamWorld(seed)
      for (let step = 0; step < STEPS; step++) {
        world.step()
        for (const { scheduler } of world.owners) {
          const running = new Map([...scheduler.state.teams.ledger.accounts].map(([name, account]) => [name, account.running]))
          assert.equal(running, countFromScratch(scheduler), `seed ${seed}, step ${step}`)
        }
        assert.ok(world.worstExcess <= 0, `seed ${seed}, step ${step}: ${world.worstExcess} above the cap and one task`)
      }
      assert.ok(world.starts > 100, `seed ${seed}: only ${world.starts} starts`)
    }
  })
})
