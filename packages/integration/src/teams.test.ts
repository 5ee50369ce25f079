/**
 * Calls with API keys at whole daemons, one failure at a time: a gateway that is cut off, suspended or restarted, and keys that change.
 */
import { assert, describe } from '@vanillathread/testing'
import { ResultCode, type TeamRules } from '@vanillathread/model'
import { IngressAnswerKind, type IngressAnswer } from '@vanillathread/ports'
import { putOperatorConfiguration, StoreFault } from '@vanillathread/stand-ins'
import { createConfiguration, createJob, JobLab, LAB_QUEUES, type LabDaemon } from './lib/jobs/JobLab.js'

const BOUNDS = { keyRevocationMs: 5_000, configurationApplyMs: 3_000 }
type Keys = Readonly<Record<string, readonly string[]>>

/** Stores a version in which the second queue is public and the first needs a key of the teams. */
function putTeams (lab: JobLab, version: number, keys: Keys): void {
  const base = createConfiguration()
  const teams: TeamRules[] = Object.entries(keys).map(([name, held]) => ({ name, keys: held, weight: 1, cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } }))
  putOperatorConfiguration(lab.store, { ...base, version, teams, queues: base.queues.map((queue, index) => ({ ...queue, isPublic: index === 1 })) })
}

async function startLab (): Promise<{ lab: JobLab, gateway: LabDaemon }> {
  const lab = JobLab.create({ seed: 1, settings: BOUNDS })
  await lab.start()
  putTeams(lab, 2, { a: ['k-a'], b: ['k-b'] })
  await lab.timers.advance(1_500)
  const gateway = lab.daemons[lab.findOwner() === 1 ? 2 : 1]
  if (gateway === undefined) throw new Error('no gateway')
  return { lab, gateway }
}

async function stop (lab: JobLab): Promise<void> {
  for (const { daemon } of lab.daemons) await daemon?.kill()
}

type Call = 'submit' | 'query' | 'cancel'

/** Makes a call, and returns its result code if it is refused, otherwise the kind of the answer. */
async function call (lab: JobLab, { api }: LabDaemon, kind: Call, job: number | '', key?: string, queue = 0): Promise<ResultCode | IngressAnswerKind | undefined> {
  const req = { host: 'lab', path: `${LAB_QUEUES[queue]}${job === '' ? '' : job.toString(16).padStart(16, '0')}`, deadlineMs: 3_000, key }
  const answers: IngressAnswer[] = []
  const pending = kind === 'submit' ? api?.submit(req, createJob()) : kind === 'query' ? api?.query(req) : api?.cancel(req)
  pending?.then((res) => { answers.push(res) })
  for (let waitedMs = 0; answers.length === 0 && waitedMs < 4_000; waitedMs += 5) await lab.timers.advance(waitedMs === 0 ? 0 : 5)
  const [answer] = answers
  return answer?.kind === IngressAnswerKind.Refused ? answer.code : answer?.kind
}

describe('teams', ({ it }) => {
  it('are refused by a gateway that is cut off from the store once their key may have been removed, until it is back', async () => {
    const { lab, gateway } = await startLab()
    gateway.store.fault = StoreFault.Unresponsive
    // A poll that is under way when the fault begins still answers.
    await lab.timers.advance(1_100)
    putTeams(lab, 3, { a: [], b: ['k-b'] })
    const removedAtMs = lab.timers.now()
    const acceptedAfterMs: number[] = []
    while (lab.timers.now() < removedAtMs + 7_000) {
      const sentAfterMs = lab.timers.now() - removedAtMs
      if (typeof await call(lab, gateway, 'query', '', 'k-a') === 'string') acceptedAfterMs.push(sentAfterMs)
      await lab.timers.advance(100)
    }
    assert.ok(acceptedAfterMs.length > 0 && acceptedAfterMs.every((afterMs) => afterMs < BOUNDS.keyRevocationMs), `accepted after ${acceptedAfterMs.at(-1)} ms`)
    assert.is(gateway.api?.isReady(), false)
    for (const key of ['k-a', 'k-b', 'never-issued']) assert.is(await call(lab, gateway, 'query', '', key), ResultCode.ConfigurationStale)
    assert.is(await call(lab, gateway, 'query', '', undefined, 1), IngressAnswerKind.Pending, 'a public queue is served at any age')
    gateway.store.fault = StoreFault.None
    await lab.timers.advance(3_000)
    assert.equal([await call(lab, gateway, 'query', '', 'k-a'), await call(lab, gateway, 'query', '', 'k-b')], [ResultCode.Unauthorized, IngressAnswerKind.Pending])
    assert.is(gateway.api?.isReady(), true)
    await stop(lab)
  })

  it('are refused with every call that waited while the gateway was suspended, and served after its next read', async () => {
    const { lab, gateway } = await startLab()
    lab.timers.jumpWallClock(60_000)
    for (const kind of ['submit', 'query', 'cancel'] as const) assert.is(await call(lab, gateway, kind, 1, 'k-a'), ResultCode.ConfigurationStale)
    await lab.timers.advance(2_500)
    assert.is(await call(lab, gateway, 'query', 1, 'k-a'), IngressAnswerKind.UnknownJob, 'the refused call stored nothing')
    assert.is(await call(lab, gateway, 'submit', 1, 'k-a'), IngressAnswerKind.Accepted)
    await stop(lab)
  })

  it('are refused by a gateway that restarts while the store is away, as it has no configuration', async () => {
    const { lab, gateway } = await startLab()
    lab.store.fault = StoreFault.Unresponsive
    await lab.crashDaemon(lab.daemons.indexOf(gateway), 100)
    await lab.timers.advance(2_000)
    assert.equal([await call(lab, gateway, 'query', '', 'k-a'), gateway.api?.isReady()], [ResultCode.NoConfiguration, false])
    await stop(lab)
  })

  it('cannot cancel each other\'s jobs, also through another daemon, a public queue or with a key that was moved, but may query them', async () => {
    const { lab, gateway } = await startLab()
    assert.is(await call(lab, gateway, 'submit', 1, 'k-a'), IngressAnswerKind.Accepted)
    // With its own store calls refused, the gateway has cancellations and jobs written by the owner.
    for (const fault of [StoreFault.Refusing, StoreFault.None]) {
      gateway.store.fault = fault
      for (const [key, queue] of [['k-b', 0], [undefined, 1]] as const) assert.is(await call(lab, gateway, 'cancel', 1, key, queue), IngressAnswerKind.UnknownJob)
      assert.is(await call(lab, gateway, 'submit', 2, 'k-b'), IngressAnswerKind.Accepted)
    }
    putTeams(lab, 3, { a: ['k-a2'], b: ['k-a', 'k-b'] })
    await lab.timers.advance(100)
    assert.is(await call(lab, gateway, 'cancel', 1, 'k-a'), IngressAnswerKind.UnknownJob)
    assert.is(await call(lab, gateway, 'query', 1, 'k-a'), IngressAnswerKind.State)
    assert.is(lab.store.readRange({ table: 'jobs', part: 'main', from: 'c/', to: 'c0' }).rows.length, 0)
    assert.is(await call(lab, gateway, 'cancel', 1, 'k-a2'), IngressAnswerKind.Cancelled)
    await stop(lab)
  })

  it('get the reason if their configuration gets stale while a job waits behind slow writes, and nothing is stored', async () => {
    const { lab, gateway } = await startLab()
    gateway.store.fault = StoreFault.Slow
    const first = call(lab, gateway, 'submit', 1, 'k-a')
    await lab.timers.advance(70)
    const second = call(lab, gateway, 'submit', 2, 'k-a')
    await lab.timers.advance(10)
    lab.timers.jumpWallClock(60_000)
    assert.equal([await first, await second], [IngressAnswerKind.Accepted, ResultCode.ConfigurationStale])
    assert.equal(lab.store.readRange({ table: 'jobs', part: 'main', from: 'j/', to: 'j0' }).rows.map(({ key }) => key), ['j/0000000000000001'])
    await stop(lab)
  })

  it('learn that the outcome is unknown if their configuration gets stale after a write that may have been carried out', async () => {
    const { lab, gateway } = await startLab()
    lab.store.fault = StoreFault.Unresponsive
    const submitted = call(lab, gateway, 'submit', 1, 'k-a')
    await lab.timers.advance(500)
    lab.timers.jumpWallClock(60_000)
    assert.is(await submitted, IngressAnswerKind.OutcomeUnknown)
    await stop(lab)
  })
})
