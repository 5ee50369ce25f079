/**
 * Bench process: the platform over HTTP.
 */
import { MemoryPlatform } from '@vanillathread/platform'
import { PlatformFaults, PlatformServer, type PlatformFault } from '@vanillathread/stand-ins'
import { serveCommands } from '../lib/hostProtocol.js'

const memory = MemoryPlatform.create()
const faults = PlatformFaults.create()
const server = await PlatformServer.create({ platform: memory, faults })

serveCommands({
  getUrl: () => server.url,
  setFault: (fault: PlatformFault) => { faults.fault = fault },
  getCounters: () => ({ ...memory.table.counters }),
})
