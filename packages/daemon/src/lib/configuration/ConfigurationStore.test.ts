/**
 * Checks that an error while a configuration is fetched or put in force does not keep later versions from coming into force.
 */
import { FakeTimerService, MemoryEventLog, NullMetrics } from '@vanillathread/kernel'
import { EventCode, inventorySchema, rulesSchema, type Declarations } from '@vanillathread/model'
import { applyDeclarations, MemoryPlatform, type Platform } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { configurationOptions } from '../options.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'
import { ConfigurationStore } from './ConfigurationStore.js'

/** Time within which the daemon reads a new version, including a retry. */
const FETCH_MS = configurationOptions.headPollPeriodMs + 2 * configurationOptions.fetchRetryMs

function createDeclarations (rack: string): Declarations {
  return {
    inventory: inventorySchema.parse({ regions: [{ id: 'r', zones: ['z'] }], pools: [{ id: 'p' }], vms: [{ id: 'vm-1', zone: 'z', rack, pool: 'p' }] }),
    rules: rulesSchema.parse({ budgets: [{ pool: 'p', minAvailable: 0 }], weights: { bufferCost: 0.5, moves: 0.5 } }),
  }
}

async function apply (platform: Platform, basedOn: number): Promise<void> {
  const res = await applyDeclarations(platform, { declarations: createDeclarations(`rack-${basedOn}`), basedOn, applyId: `apply-${basedOn}` })
  assert.ok(res.ok)
}

/** A configuration store with its platform, clock and log, and the versions that came into force. */
class Fixture {
  readonly memory = MemoryPlatform.create()
  readonly timers = FakeTimerService.create()
  readonly log = MemoryEventLog.create()
  /** Versions that came into force. */
  readonly versions: number[] = []
  /** Number of the next reads of objects that throw. */
  failingReads = 0
  readonly store = ConfigurationStore.create({
    platform: {
      table: this.memory.table,
      objects: { get: (digest: string) => this.readObject(digest) },
    } as unknown as Platform,
    network: { on: () => {}, send: () => {} } as unknown as PeerNetwork,
    timers: this.timers,
    log: this.log,
    metrics: NullMetrics.create(),
  })

  static create (): Fixture {
    return new Fixture()
  }

  listReasons (code: EventCode): unknown[] {
    return this.log.records.filter((record) => record.code === code).map(({ fields }) => fields['reason'])
  }

  private async readObject (digest: string): ReturnType<MemoryPlatform['objects']['get']> {
    if (this.failingReads-- > 0) throw new Error('no object')
    return this.memory.objects.get(digest)
  }
}

describe('ConfigurationStore', ({ it }) => {
  it('passes a version on to all listeners and fetches the next one, although a listener throws, which is logged', async () => {
    const fixture = Fixture.create()
    const { store, memory, timers, versions } = fixture
    store.subscribe(() => { throw new Error('listener failed') })
    store.subscribe(({ head }) => { versions.push(head.version) })
    await apply(memory, 0)
    await store.start().catch(() => undefined)
    assert.equal(versions, [1])
    await apply(memory, 1)
    await timers.advance(FETCH_MS)
    assert.equal(versions, [1, 2])
    assert.equal(fixture.listReasons(EventCode.HandlerFailed), ['Error: listener failed', 'Error: listener failed'])
    store.dispose()
  })

  it('fetches a version again after a read of an object threw, which is logged', async () => {
    const fixture = Fixture.create()
    const { store, memory, timers, versions } = fixture
    store.subscribe(({ head }) => { versions.push(head.version) })
    fixture.failingReads = 1
    await apply(memory, 0)
    const started = store.start().catch(() => undefined)
    await timers.advance(0)
    await timers.advance(FETCH_MS)
    await started
    assert.equal(versions, [1])
    assert.equal(fixture.listReasons(EventCode.ConfigurationRejected), ['Error: no object'])
    store.dispose()
  })
})
