/**
 * Bench process: the platform over HTTP.
 */
import { FleetVmState, MemoryPlatform } from '@vanillathread/ports'
import { PlatformFaults, PlatformServer, type PlatformFault } from '@vanillathread/stand-ins'
import { serveCommands } from '../lib/hostProtocol.js'

const memory = MemoryPlatform.create()
const faults = PlatformFaults.create()
const server = await PlatformServer.create({ platform: memory, faults })

serveCommands({
  getUrl: () => server.url,
  setFault: (fault: PlatformFault) => { faults.fault = fault },
  setVms: (vmIds: readonly string[]) => { for (const vmId of vmIds) memory.fleet.setVm(vmId, FleetVmState.Live) },
  getCounters: () => ({ ...memory.table.counters }),
})
