/**
 * Age of the configuration at a daemon whose reads fail, are late or show an earlier state of the store, and at one that was suspended.
 */
import { assert, describe } from '@vanillathread/testing'
import { delay, FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { Result, type OperatorConfiguration } from '@vanillathread/model'
import { StoreFailureKind, type Changes, type FleetFeeds, type OperatorChange, type StoreFailure } from '@vanillathread/ports'
import { ConfigurationWatcher } from './ConfigurationWatcher.js'

type Read = Result<Changes<OperatorChange>, StoreFailure>

const FAILED: Read = Result.err({ kind: StoreFailureKind.NotDone, reason: 'no answer' })
const REVOCATION_MS = 5_000

function createVersion (version: number, key = 'k'): OperatorChange {
  const teams = [{ name: 't', keys: [key], weight: 1, cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } }]
  return { kind: 'configuration', configuration: { version, queues: [], pools: [], teams, maxBodyBytes: 1 } satisfies OperatorConfiguration }
}

function changes (...values: OperatorChange[]): Read {
  return Result.ok({ values, version: 1 })
}

/** Answers each read after the wait that it asks for, or after `answerMs` if the read is of the whole table or its wait is 0. */
class FeedFake {
  readonly waits: Array<number | undefined> = []
  answers: Read[] = []
  constructor (private readonly timers: FakeTimerService, private readonly answerMs = 10) {}

  readOperatorRows (): Promise<Read> {
    return this.answer()
  }

  watchOperatorRows (_afterVersion: number, waitMs: number): Promise<Read> {
    return this.answer(waitMs)
  }

  private async answer (waitMs?: number): Promise<Read> {
    this.waits.push(waitMs)
    await delay(this.timers, (waitMs ?? 0) + this.answerMs)
    return this.answers.shift() ?? changes()
  }
}

async function watch (answers: Read[], options: { keyRevocationMs?: number, answerMs?: number } = {}): Promise<{ timers: FakeTimerService, feed: FeedFake, watcher: ConfigurationWatcher, log: MemoryEventLog }> {
  const timers = FakeTimerService.create()
  const feed = new FeedFake(timers, options.answerMs)
  feed.answers = answers
  const log = MemoryEventLog.create()
  const watcher = ConfigurationWatcher.create({ feeds: feed as unknown as FleetFeeds, timers, log, keyRevocationMs: REVOCATION_MS, ...options })
  watcher.run()
  await timers.advance(0)
  return { timers, feed, watcher, log }
}

describe('ConfigurationWatcher', ({ it }) => {
  it('has no configuration, and one of infinite age, as long as the store is away after a restart', async () => {
    const { timers, watcher } = await watch(Array<Read>(20).fill(FAILED))
    await timers.advance(1_000)
    assert.equal([watcher.current, watcher.ageMs], [undefined, Infinity])
  })

  it('counts the age from the sending of a read, and takes a poll without changes as proof', async () => {
    const { timers, watcher } = await watch([changes(createVersion(1))])
    await timers.advance(10)
    assert.is(watcher.ageMs, 10)
    await timers.advance(1_009)
    assert.is(watcher.ageMs, 1_019)
    await timers.advance(1)
    assert.is(watcher.ageMs, 1_010)
  })

  it('stays below half of the revocation time while a slow store answers after 240 ms', async () => {
    const { timers, watcher } = await watch([changes(createVersion(1))], { answerMs: 240 })
    let oldestMs = 0
    await timers.advance(300)
    for (let step = 0; step < 1_000; step++) {
      await timers.advance(10)
      oldestMs = Math.max(oldestMs, watcher.ageMs)
    }
    assert.ok(oldestMs < REVOCATION_MS / 2, `the age reached ${oldestMs} ms`)
  })

  it('takes no failed read as proof, and asks for an answer at once after one', async () => {
    const { timers, feed, watcher } = await watch([changes(createVersion(1)), FAILED, FAILED])
    await timers.advance(1_320)
    assert.is(watcher.ageMs, 1_320)
    await timers.advance(25)
    assert.is(watcher.ageMs, 15)
    assert.equal(feed.waits, [undefined, 1_000, 0, 0, 1_000])
  })

  it('polls as before, also after a failure, on a deployment without teams', async () => {
    const { timers, feed } = await watch([changes(createVersion(1)), FAILED], { keyRevocationMs: undefined })
    await timers.advance(1_400)
    assert.equal(feed.waits, [undefined, 1_200, 1_200])
  })

  it('counts the time for which the daemon was suspended, and takes no read as proof of more than the time of its sending', async () => {
    const { timers, watcher } = await watch([changes(createVersion(1))])
    await timers.advance(100)
    timers.jumpWallClock(60_000)
    assert.is(watcher.ageMs, 60_100)
    await timers.advance(1_000)
    assert.ok(watcher.ageMs > 60_000, 'the poll that was sent before the suspension proves nothing newer')
    await timers.advance(1_010)
    assert.ok(watcher.ageMs < 1_100)
  })

  it('keeps a newer version, and its age, if a late read returns the one before', async () => {
    const { timers, watcher } = await watch([changes(createVersion(2, 'new')), changes(createVersion(1, 'old'))])
    await timers.advance(1_020)
    assert.equal([watcher.current?.version, watcher.keys.findTeam('old'), watcher.keys.findTeam('new')], [2, undefined, 't'])
    assert.is(watcher.ageMs, 1_020)
  })

  it('takes a page that more changes follow as no proof, as a removed key may be among them', async () => {
    const { timers, watcher } = await watch([changes(createVersion(1)), Result.ok({ values: [], version: 2, hasMore: true })])
    await timers.advance(1_020)
    assert.is(watcher.ageMs, 1_020)
  })

  it('keeps the last valid version in force, and current, if a newer one is malformed', async () => {
    const { timers, watcher, log } = await watch([changes(createVersion(1)), changes({ kind: 'invalid', key: 'config', reason: 'bad team' })])
    await timers.advance(1_020)
    assert.equal([watcher.current?.version, watcher.ageMs], [1, 1_010])
    assert.ok(log.records.some(({ fields }) => fields?.['reason'] === 'bad team'))
  })
})
