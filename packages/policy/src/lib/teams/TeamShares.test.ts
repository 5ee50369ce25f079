/**
 * The order of several teams' jobs if there is too little room.
 */
import type { TeamRules } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { OrderKind } from '../jobs/orders.js'
import { compareRanks, rankJob } from '../jobs/rankJobs.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import { RandomSource } from '../random/RandomSource.js'
import { summarizeTeams } from './summarizeTeams.js'
import { createTeam } from './testSupport.js'

function add (scheduler: JobScheduler, id: number, team: string | undefined, acceptedAtMs: number, nowMs = 0): void {
  const job = createTestJob({ id: id.toString(16).padStart(16, '0'), acceptedAtMs, steps: [createTestStep({ taskCount: 1 })] })
  scheduler.addJob({ ...job, ...(team !== undefined && { team }) }, 2, nowMs)
}

/** Returns the numbers of the jobs that start on VMs of eight cores. */
function start (scheduler: JobScheduler, vms: readonly string[], nowMs: number): number[] {
  for (const vm of vms) reportRunning(scheduler, createVmEntry(vm), nowMs)
  return planAndAccept(scheduler, nowMs).flatMap(({ kind, run }) => kind === OrderKind.Start ? [Number.parseInt(run.task.step.occurrence.job.id, 16)] : [])
}

function listBeyondWeight (scheduler: JobScheduler): string[] {
  return [...scheduler.state.jobs.values()].filter((job) => job.isBeyondWeight).map(({ id }) => id).sort()
}

describe('TeamShares', ({ it }) => {
  it('leave the order exactly as it is by urgency, priority and slack if no teams are configured, or no job has a team', () => {
    for (const [teams, team] of [[[], 'a'], [[createTeam('a', 1)], undefined]] as Array<[TeamRules[], string | undefined]>) {
      for (let seed = 1; seed <= 20; seed++) {
        const random = RandomSource.create(seed)
        const scheduler = createScheduler()
        scheduler.setTeams(teams)
        for (let id = 1; id <= 40; id++) add(scheduler, id, team, random.nextBelow(6_000))
        const ranks = [...scheduler.state.jobs.values()].map((job) => rankJob(job, scheduler.state.estimates, 6_000)).sort(compareRanks)
        assert.equal(start(scheduler, ['x', 'y'], 6_000), ranks.slice(0, 16).map(({ job }) => Number.parseInt(job.id, 16)), `seed ${seed}`)
      }
    }
  })

  it('put a team that has more than its weight gives it behind the others, and let it use what they leave', () => {
    const scheduler = createScheduler()
    scheduler.setTeams([createTeam('a', 50), createTeam('b', 150)])
    for (let id = 1; id <= 30; id++) add(scheduler, id, 'a', 0)
    assert.is(start(scheduler, ['x', 'y'], 0).length, 16)
    for (let id = 31; id <= 34; id++) add(scheduler, id, 'b', 100)
    assert.equal(start(scheduler, ['z'], 100), [31, 32, 33, 34, 17, 18, 19, 20], 'the jobs of b come first although those of a have less slack')
  })

  it('put the jobs beyond a team\'s weight last, but start them if there is room', () => {
    const scheduler = createScheduler()
    scheduler.setTeams([createTeam('a', 2), createTeam('b', 100)])
    for (let id = 1; id <= 20; id++) add(scheduler, id, 'a', id)
    for (let id = 21; id <= 26; id++) add(scheduler, id, 'b', 500)
    const [first, last] = [start(scheduler, ['x'], 500), start(scheduler, ['y', 'z'], 501)]
    assert.equal([...first].sort((a, b) => a - b), [1, 2, 21, 22, 23, 24, 25, 26])
    assert.equal([...last].sort((a, b) => a - b), [3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18])
  })

  it('find the same jobs beyond the weight whatever order they become known in, as after a takeover', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const random = RandomSource.create(seed)
      const times = Array.from({ length: 60 }, () => random.nextBelow(8_000)).sort((a, b) => a - b)
      const [inOrder, later] = [createScheduler(), createScheduler()]
      for (const scheduler of [inOrder, later]) scheduler.setTeams([createTeam('a', 3)])
      for (const [index, atMs] of times.entries()) {
        add(inOrder, index, 'a', atMs, atMs)
        planAndAccept(inOrder, atMs)
      }
      for (const index of random.sample([...times.keys()], times.length)) add(later, index, 'a', times[index] ?? 0)
      planAndAccept(later, 8_000)
      assert.equal(listBeyondWeight(later), listBeyondWeight(inOrder), `seed ${seed}`)
      assert.ok(listBeyondWeight(later).length > 10)
    }
  })

  it('charge a team for a burst for some seconds', () => {
    const scheduler = createScheduler()
    scheduler.setTeams([createTeam('a', 1), createTeam('b', 1)])
    add(scheduler, 1, 'a', 0)
    const { shares, ledger } = scheduler.state.teams
    start(scheduler, ['x'], 0)
    start(scheduler, ['x'], 5_000)
    const [run] = scheduler.state.vms.get('x')?.runs.values() ?? []
    if (run === undefined) throw new Error('nothing runs')
    scheduler.state.releaseRun(run)
    scheduler.cancelJob(run.task.step.occurrence.job.id, 5_000)
    const share = shares.getShare(ledger.getAccount('a'))
    start(scheduler, ['x'], 8_000)
    const later = shares.getShare(ledger.getAccount('a'))
    assert.ok(share > 0.04 && later > 0.01 && later < share / 2, `${share} after the burst, ${later} three seconds later`)
  })
})

describe('summarizeTeams', ({ it }) => {
  it('names 32 teams at most, so that the number of metrics is bounded, and sums up the rest', () => {
    const scheduler = createScheduler()
    scheduler.setTeams(Array.from({ length: 40 }, (_unused, index) => createTeam(`t${index}`, 1, { cpuMillis: 10 })))
    for (let index = 0; index < 40; index++) add(scheduler, index, `t${index}`, 0)
    const summaries = summarizeTeams(scheduler.state)
    assert.equal([summaries.length, summaries[0]?.team, summaries[0]?.waitingJobs], [33, 't0', 1])
    assert.equal([summaries[32]?.team, summaries[32]?.waitingJobs, summaries[32]?.capCpuMillis], ['other', 8, 80])
  })
})
