/**
 * Tests configuration and membership with several daemons: versions reach every daemon, never go back, and survive outages of the platform.
 */
import { assert, describe } from '@vanillathread/testing'
import { MemoryEventLog } from '@vanillathread/kernel'
import { applyDeclarations, MemoryPlatform } from '@vanillathread/ports'
import { PlatformFault } from '@vanillathread/stand-ins'
import type { Declarations } from '@vanillathread/model'
import { Daemon } from '@vanillathread/daemon'
import { createSettings } from './lib/createSettings.js'
import { LocalCluster, SERVICE } from './lib/LocalCluster.js'
import { sendRequest } from './lib/sendRequest.js'
import { waitUntil } from './lib/waitUntil.js'

function getVersions (cluster: LocalCluster): number[] {
  return cluster.daemons.map((daemon) => daemon.parts.configuration.getVersionInForce())
}

/** Returns the cluster's declarations with another queue limit. */
function createEdit (cluster: LocalCluster, queueLimit: number): Declarations {
  const declarations = cluster.createDeclarations()
  const services = declarations.inventory.services.map((service) => ({ ...service, queueLimit }))
  return { ...declarations, inventory: { ...declarations.inventory, services } }
}

describe('configuration', ({ it }) => {
  it('comes into force on every daemon, in versions that only increase', async () => {
    const cluster = await LocalCluster.create({ daemons: 3, endpoints: 1 })
    try {
      const seen: number[][] = cluster.daemons.map(() => [])
      cluster.daemons.forEach((daemon, index) => daemon.parts.configuration.subscribe(({ head }) => seen[index]?.push(head.version)))
      for (let edit = 0; edit < 4; edit++) {
        const version = await cluster.apply(createEdit(cluster, 300 + edit))
        if (edit % 2 === 1) await waitUntil('the version is in force on every daemon', () => getVersions(cluster).every((inForce) => inForce === version))
      }
      for (const versions of seen) assert.equal(versions, [...versions].sort((a, b) => a - b))
      assert.equal(getVersions(cluster), [5, 5, 5])
    } finally {
      await cluster.dispose()
    }
  })

  it('is in force before a daemon reports that it is ready', async () => {
    const platform = MemoryPlatform.create()
    const daemon = Daemon.create({ settings: createSettings({ id: 'entry-1', zone: 'zone-a' }), platform, log: MemoryEventLog.create() })
    await daemon.start()
    const cluster = await LocalCluster.create({ daemons: 0, endpoints: 1 })
    try {
      const { host, port } = daemon.getAddress('operations')
      const getReady = async (): Promise<number> => (await fetch(`http://${host}:${port}/ready`)).status
      assert.is(await getReady(), 503)
      await applyDeclarations(platform, { declarations: cluster.createDeclarations(), basedOn: 0, applyId: 'first' })
      await waitUntil('the version is in force', () => daemon.parts.configuration.getVersionInForce() === 1)
      assert.is(await getReady(), 200)
    } finally {
      await daemon.kill()
      await cluster.dispose()
    }
  })

  it('is taken from peers by a daemon that starts while the platform is down', async () => {
    const cluster = await LocalCluster.create({ daemons: 2, endpoints: 1 })
    try {
      cluster.faults.fault = PlatformFault.Down
      const late = await cluster.addDaemon()
      await waitUntil('the late daemon has the configuration', () => late.parts.configuration.getVersionInForce() === 1)
      const { host, port } = late.getAddress('caller')
      await waitUntil('the late daemon has slots', () => (late.parts.dispatcher.listLanes().get(SERVICE)?.slots.getTotalLimit(performance.now()) ?? 0) > 0)
      assert.is((await sendRequest(`http://${host}:${port}/${SERVICE}`, { token: 'mare' })).token, 'mare')
    } finally {
      await cluster.dispose()
    }
  })
})

describe('membership', ({ it }) => {
  it('gives a daemon that restarts quickly a new incarnation', async () => {
    const cluster = await LocalCluster.create({ daemons: 1, endpoints: 1 })
    try {
      const first = cluster.getDaemon(0)
      await cluster.killDaemon(0)
      const second = Daemon.create({ settings: createSettings({ id: first.state.daemonId, zone: 'zone-a' }), platform: cluster.platform, log: cluster.log })
      await second.start()
      cluster.daemons.push(second)
      assert.is(second.state.incarnation > first.state.incarnation, true)
      assert.is(second.parts.membership.getSelf().incarnation, second.state.incarnation)
    } finally {
      await cluster.dispose()
    }
  })

  it('keeps a killed daemon listed while the platform is down, and each of the other daemons still serves requests with its share of the slots', async () => {
    const cluster = await LocalCluster.create({ daemons: 3, endpoints: 2 })
    try {
      cluster.faults.fault = PlatformFault.Down
      await cluster.killDaemon(2)
      await waitUntil('the other daemons suspect the killed one after its loss', () => cluster.daemons.every((daemon) => daemon.parts.membership.getMemberCounts().unsuspected === 2))
      assert.equal(cluster.daemons.map((daemon) => daemon.parts.membership.getMemberCounts()), [{ unsuspected: 2, listed: 3 }, { unsuspected: 2, listed: 3 }])
      for (let index = 0; index < 10; index++) {
        assert.is((await sendRequest(cluster.getUrl(index % 2), { token: `token-${index}` })).token, `token-${index}`)
      }
    } finally {
      await cluster.dispose()
    }
  })
})
