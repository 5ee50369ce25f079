/**
 * Reads what daemons serve on their metrics addresses.
 */
import { request } from 'undici'
import { ResultCode } from '@vanillathread/model'
import { CliError } from '../CliError.js'

const TIMEOUT_MS = 3_000

/** Gauges of one daemon that tell how it is. @public */
export interface DaemonStatus {
  readonly address: string
  readonly owner: boolean
  readonly storeSilentMs: number
  readonly configurationVersion: number
  readonly residentMb: number
  /** Present at the owner: open jobs, runs and VMs by pool. */
  readonly pools: Readonly<Record<string, { jobs: number, runs: number, vms: number, silentVms: number }>>
}

/** Asks one daemon. */
export async function readStatus (address: string): Promise<DaemonStatus> {
  let text: string
  try {
    const res = await request(`http://${address}/metrics`, { headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
    text = await res.body.text()
  } catch (err) {
    throw CliError.create(ResultCode.PlatformUnavailable, `${address}: ${err instanceof Error ? err.message : String(err)}`)
  }
  return parseStatus(address, text)
}

/** Parses metrics text. @public */
export function parseStatus (address: string, text: string): DaemonStatus {
  const pools: Record<string, { jobs: number, runs: number, vms: number, silentVms: number }> = {}
  const plain = new Map<string, number>()
  for (const line of text.split('\n')) {
    const match = METRIC.exec(line)
    if (match === null) continue
    const [, name = '', pool, value] = match
    if (pool === undefined) plain.set(name, Number(value))
    else {
      const entry = pools[pool] ??= { jobs: 0, runs: 0, vms: 0, silentVms: 0 }
      const field = POOL_FIELDS[name]
      if (field !== undefined) entry[field] = Number(value)
    }
  }
  return {
    address,
    owner: plain.get('owner') === 1,
    storeSilentMs: plain.get('store_silent_ms') ?? 0,
    configurationVersion: plain.get('configuration_version') ?? 0,
    residentMb: Math.round((plain.get('resident_bytes') ?? 0) / BYTES_PER_MB),
    pools,
  }
}

/** Formats a status as lines. */
export function formatStatus (status: DaemonStatus): string[] {
  const { address, owner, storeSilentMs, configurationVersion, residentMb, pools } = status
  const head = `${address} ${owner ? 'owner' : 'gateway'} configuration=${configurationVersion} storeSilentMs=${storeSilentMs} residentMb=${residentMb}`
  const rows = Object.entries(pools).map(([name, { jobs, runs, vms, silentVms }]) => `  ${name}: ${jobs} open jobs, ${runs} runs, ${vms} VMs, ${silentVms} silent`)
  return [head, ...rows]
}

const BYTES_PER_MB = 1024 * 1024

const METRIC = /^vanillathread_(\w+?)(?:\{pool="([^"]*)"\})? (-?[\d.e+]+)$/

const POOL_FIELDS: Readonly<Record<string, 'jobs' | 'runs' | 'vms' | 'silentVms'>> = {
  pool_open_jobs: 'jobs', pool_runs: 'runs', pool_vms: 'vms', pool_vms_silent: 'silentVms',
}
