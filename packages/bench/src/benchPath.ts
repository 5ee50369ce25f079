/**
 * `npm run bench:path`: latency that a daemon adds to a request, and requests per second that one core can handle.
 */
import { inventorySchema, rulesSchema, WorkClass, type Declarations } from '@vanillathread/model'
import type { CallerPlan, CallerResult } from './hosts/callerHost.js'
import type { DaemonAddresses, DaemonHostUsage } from './hosts/daemonHost.js'
import { acceptDeclarations } from './lib/acceptDeclarations.js'
import { Host } from './lib/Host.js'
import { HostRole } from './lib/hostProtocol.js'
import { Sharing } from './lib/sharing.js'

const REQUESTS_PER_SECOND = 500
const DURATION_MS = 8_000
const MEAN_SERVICE_MS = 5
const ENDPOINTS = 4
const SERVICE_TIME_SEED = 1
const ADDED_P99_BOUND_MS = 5
const MEMORY_BOUND_MIB = 256
const BYTES_PER_MEBIBYTE = 1024 * 1024

const platform = Host.start(HostRole.Platform)
const endpoints = Host.start(HostRole.Endpoints)
const daemons = Host.start(HostRole.Daemons)
const callers = Host.start(HostRole.Callers)

const platformUrl = await platform.call<string>('getUrl')
const ids = Array.from({ length: ENDPOINTS }, (_, index) => `listings-${index + 1}`)
const ports = await endpoints.call<Record<string, number>>('start', { ids, slots: 64, meanServiceMs: MEAN_SERVICE_MS, seed: SERVICE_TIME_SEED })
await acceptDeclarations(platform, createDeclarations(ports))
const [daemon] = await daemons.call<DaemonAddresses[]>('start', { daemons: [{ id: 'entry-1', zone: 'zone-a', platformUrl }], sharing: Sharing.Credits })
if (daemon === undefined) throw new Error('no daemon was started')

const directTargets = ids.map((id) => `http://127.0.0.1:${ports[id]}`)
const daemonTargets = [`http://${daemon.caller.host}:${daemon.caller.port}`]
// The first run on each path is a warm-up.
await run(directTargets, '', 2_000)
await run(daemonTargets, '/listings', 2_000)
const directResult = await run(directTargets, '', DURATION_MS)
const before = await daemons.call<DaemonHostUsage>('getUsage')
const daemonResult = await run(daemonTargets, '/listings', DURATION_MS)
const after = await daemons.call<DaemonHostUsage>('getUsage')

const cpuSeconds = (after.cpuMs - before.cpuMs) / 1000
const requestsPerCoreSecond = daemonResult.answered / cpuSeconds
const memoryMib = after.memoryBytes / BYTES_PER_MEBIBYTE
const [directLatency, daemonLatency] = [directResult.latency[WorkClass.Normal], daemonResult.latency[WorkClass.Normal]]
console.table([
  { path: 'direct', answered: directResult.answered, 'p50 ms': directLatency.p50, 'p99 ms': directLatency.p99 },
  { path: 'through the daemon', answered: daemonResult.answered, 'p50 ms': daemonLatency.p50, 'p99 ms': daemonLatency.p99 },
])
console.log(`added p50 ${(daemonLatency.p50 - directLatency.p50).toFixed(2)} ms, added p99 ${(daemonLatency.p99 - directLatency.p99).toFixed(2)} ms (bound ${ADDED_P99_BOUND_MS} ms at ${REQUESTS_PER_SECOND} requests/s)`)
console.log(`${requestsPerCoreSecond.toFixed(0)} requests/s per core; resident memory ${memoryMib.toFixed(0)} MiB (bound ${MEMORY_BOUND_MIB} MiB)`)
for (const host of [platform, endpoints, daemons, callers]) host.dispose()
process.exit(daemonLatency.p99 - directLatency.p99 <= ADDED_P99_BOUND_MS && memoryMib <= MEMORY_BOUND_MIB ? 0 : 1)

function run (targets: readonly string[], path: string, durationMs: number): Promise<CallerResult> {
  const plan: CallerPlan = { targets, loads: [{ path, requestsPerSecond: REQUESTS_PER_SECOND }], durationMs, deadlineMs: 10_000, seed: 7 }
  return callers.call<CallerResult>('run', plan)
}

function createDeclarations (portById: Readonly<Record<string, number>>): Declarations {
  return {
    inventory: inventorySchema.parse({
      regions: [{ id: 'local', zones: ['zone-a'] }],
      pools: [{ id: 'listings' }],
      vms: ids.map((id) => ({ id: `vm-${id}`, zone: 'zone-a', rack: 'rack-1', pool: 'listings' })),
      services: [{ id: 'listings', pool: 'listings', endpoints: ids.map((id) => ({ id, vm: `vm-${id}`, host: '127.0.0.1', port: portById[id], slots: 64, connections: 640 })) }],
    }),
    rules: rulesSchema.parse({ budgets: [{ pool: 'listings', minAvailable: 0 }], weights: { bufferCost: 0.5, moves: 0.5 } }),
  }
}
