/**
 * `npm run bench:leaving`: time for which an endpoint that is leaving still receives new requests,
 * for each source from which the daemons learn that it is leaving.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { FleetVmState } from '@vanillathread/ports'
import { createVmRecord, fleetKeys, VmState } from '@vanillathread/policy'
import { EndpointFault } from '@vanillathread/stand-ins'
import { LocalCluster, sendRequest } from '@vanillathread/integration'

/** Sources from which the daemons learn that an endpoint is leaving. */
enum LeavingSource {
  FleetList = 'fleet list',
  VmRow = 'VM row',
  Announced = 'announced by the endpoint',
}

const REPEATS = 4
const DAEMONS = 9
const ENDPOINTS = 3
/** Duration of the load after the announcement; the load begins half of this time before it. */
const LOAD_AFTER_ANNOUNCEMENT_MS = 4_000
const SEND_INTERVAL_MS = 5
/** The bench fails if a time is above this bound. */
const BOUND_MS = 3_000

const rows: Array<Record<string, string | number>> = []
for (const source of Object.values(LeavingSource)) {
  const times: number[] = []
  for (let repeat = 0; repeat < REPEATS; repeat++) times.push(await measure(source))
  times.sort((a, b) => a - b)
  rows.push({ source, 'median ms': Math.round(times[Math.floor(REPEATS / 2)] ?? 0), 'worst ms': Math.round(times.at(-1) ?? 0), 'bound ms': BOUND_MS })
}
console.table(rows)
process.exit(rows.every((row) => Number(row['worst ms']) <= BOUND_MS) ? 0 : 1)

/** Returns the milliseconds from the announcement until the last request reached the endpoint, or 0 if none did after it. */
async function measure (source: LeavingSource): Promise<number> {
  const cluster = await LocalCluster.create({ daemons: DAEMONS, endpoints: ENDPOINTS, serviceTimeMs: () => 10 })
  const endpoint = cluster.getEndpoint(0)
  const load = sendAtInterval(cluster, 1.5 * LOAD_AFTER_ANNOUNCEMENT_MS)
  await sleep(LOAD_AFTER_ANNOUNCEMENT_MS / 2)
  const announcedMs = performance.now()
  const countBefore = endpoint.runs.length + endpoint.refused
  await announce(source, cluster)
  await load
  await cluster.dispose()
  const lastMs = source === LeavingSource.Announced ? endpoint.lastRefusedMs : endpoint.runs.at(-1)?.startedMs ?? 0
  return endpoint.runs.length + endpoint.refused === countBefore ? 0 : Math.max(0, lastMs - announcedMs)
}

async function sendAtInterval (cluster: LocalCluster, durationMs: number): Promise<void> {
  const endMs = performance.now() + durationMs
  for (let index = 0; performance.now() < endMs; index++) {
    sendRequest(cluster.getUrl(index % DAEMONS), { token: `token-${index}` }).catch(() => {})
    await sleep(SEND_INTERVAL_MS)
  }
}

async function announce (source: LeavingSource, cluster: LocalCluster): Promise<void> {
  if (source === LeavingSource.FleetList) cluster.memory.fleet.setVm('vm-1', FleetVmState.Leaving)
  else if (source === LeavingSource.Announced) cluster.getEndpoint(0).fault = EndpointFault.Leaving
  else await cluster.memory.table.transact({ conditions: [], writes: [{ key: fleetKeys.vm('vm-1'), value: { ...createVmRecord('listings', 0), state: VmState.Draining } }] })
}
