/**
 * Bench process: one or more daemons.
 */
import { MemoryEventLog } from '@vanillathread/kernel'
import type { Address, ConfigurationHead } from '@vanillathread/model'
import { Daemon } from '@vanillathread/daemon'
import { createSettings, type LocalDaemonOptions } from '@vanillathread/integration'
import { createSlotSources, type Sharing } from '../lib/sharing.js'
import { serveCommands } from '../lib/hostProtocol.js'

/** Daemons to start. */
export interface DaemonHostPlan {
  readonly daemons: readonly LocalDaemonOptions[]
  readonly sharing: Sharing
}

/** Addresses of a started daemon. */
export interface DaemonAddresses {
  readonly id: string
  readonly caller: Address
  readonly peer: Address
}

/** Resources that the process has used, and the state of its daemons. */
export interface DaemonHostUsage {
  /** CPU time since the process started. */
  readonly cpuMs: number
  /** Resident memory of the process. */
  readonly memoryBytes: number
  /** Bytes that the daemons sent to their peers and received from them. */
  readonly sentBytes: number
  readonly receivedBytes: number
  /** Configuration version in force on each daemon. */
  readonly versions: number[]
  /** Number of active daemons that each daemon knows. */
  readonly activeCounts: number[]
}

const MICROSECONDS_PER_MILLISECOND = 1000
const daemons: Daemon[] = []

async function start (plan: DaemonHostPlan): Promise<DaemonAddresses[]> {
  const started: DaemonAddresses[] = []
  for (const localDaemon of plan.daemons) {
    const slotSources = createSlotSources(plan.sharing)
    const daemon = Daemon.create({ settings: createSettings(localDaemon), log: MemoryEventLog.create(), ...slotSources === undefined ? {} : { slotSources } })
    await daemon.start()
    daemons.push(daemon)
    started.push({ id: localDaemon.id, caller: daemon.getAddress('caller'), peer: daemon.getAddress('peer') })
  }
  return started
}

function getUsage (): DaemonHostUsage {
  const { user, system } = process.cpuUsage()
  const counters = daemons.map((daemon) => daemon.parts.peers.counters)
  return {
    cpuMs: (user + system) / MICROSECONDS_PER_MILLISECOND,
    memoryBytes: process.memoryUsage.rss(),
    sentBytes: counters.reduce((sum, { sentBytes }) => sum + sentBytes, 0),
    receivedBytes: counters.reduce((sum, { receivedBytes }) => sum + receivedBytes, 0),
    versions: daemons.map((daemon) => daemon.parts.configuration.getVersionInForce()),
    activeCounts: daemons.map((daemon) => daemon.parts.membership.listActiveIds().length),
  }
}

serveCommands({
  start,
  getUsage,
  announce: ({ head, objects }: { head: ConfigurationHead, objects: ReadonlyMap<string, Uint8Array> }) => daemons[0]?.parts.configuration.announce(head, objects),
  kill: async (index: number) => { await daemons.splice(index, 1)[0]?.kill() },
  stop: async (index: number) => { await daemons.splice(index, 1)[0]?.stop() },
})
