/**
 * Builds settings for daemons that run on this machine.
 */
import { settingsSchema, type Address, type Settings } from '@vanillathread/model'

/** Settings that may differ between daemons on this machine. */
export interface LocalDaemonOptions {
  readonly id: string
  readonly zone: string
  readonly seeds?: readonly Address[]
  /** URL of a platform server; without it, the in-memory platform is used. */
  readonly platformUrl?: string
  readonly balancerDelayMs?: number
  readonly callerPort?: number
  readonly operationsPort?: number
}

const HOST = '127.0.0.1'

/** Builds settings. The operating system chooses the ports that are not given. */
export function createSettings (local: LocalDaemonOptions): Settings {
  return settingsSchema.parse({
    daemon: { id: local.id, region: 'local', zone: local.zone },
    listen: {
      caller: { host: HOST, port: local.callerPort ?? 0 },
      operations: { host: HOST, port: local.operationsPort ?? 0 },
      peer: { host: HOST, port: 0 },
    },
    seeds: local.seeds ?? [],
    platform: local.platformUrl === undefined ? { kind: 'memory' } : { kind: 'http', url: local.platformUrl },
    stop: { balancerDelayMs: local.balancerDelayMs ?? 0 },
  })
}
