/**
 * Reads the state of daemons from their metrics.
 */
import { request } from 'undici'
import { ResultCode } from '@vanillathread/model'
import { CliError } from '../CliError.js'

const TIMEOUT_MS = 3_000

/** State of one daemon, from its gauges. @public */
export interface DaemonStatus {
  readonly address: string
  /** True if the daemon owns a shard; otherwise it is a gateway. */
  readonly owner: boolean
  /** Time since the store last answered the daemon, in milliseconds. */
  readonly storeSilentMs: number
  readonly configurationVersion: number
  /** Resident memory in mebibytes. */
  readonly residentMb: number
  /** Open jobs, runs, VMs and unresponsive VMs (`silentVms`) by pool. Only owners report them. */
  readonly pools: Readonly<Record<string, { jobs: number, runs: number, vms: number, silentVms: number }>>
}

/** Reads the metrics of one daemon. */
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
  const unlabelled = new Map<string, number>()
  for (const line of text.split('\n')) {
    const match = METRIC_LINE.exec(line)
    if (match === null) continue
    const [, name = '', pool, value] = match
    if (pool === undefined) unlabelled.set(name, Number(value))
    else {
      const entry = pools[pool] ??= { jobs: 0, runs: 0, vms: 0, silentVms: 0 }
      const field = FIELD_BY_POOL_METRIC[name]
      if (field !== undefined) entry[field] = Number(value)
    }
  }
  return {
    address,
    owner: unlabelled.get('owner') === 1,
    storeSilentMs: unlabelled.get('store_silent_ms') ?? 0,
    configurationVersion: unlabelled.get('configuration_version') ?? 0,
    residentMb: Math.round((unlabelled.get('resident_bytes') ?? 0) / BYTES_PER_MEBIBYTE),
    pools,
  }
}

/** Formats a status as lines. */
export function formatStatus (status: DaemonStatus): string[] {
  const { address, owner, storeSilentMs, configurationVersion, residentMb, pools } = status
  const headLine = `${address} ${owner ? 'owner' : 'gateway'} configuration=${configurationVersion} storeSilentMs=${storeSilentMs} residentMb=${residentMb}`
  const poolLines = Object.entries(pools).map(([name, { jobs, runs, vms, silentVms }]) => `  ${name}: ${jobs} open jobs, ${runs} runs, ${vms} VMs, ${silentVms} silent`)
  return [headLine, ...poolLines]
}

const BYTES_PER_MEBIBYTE = 1024 * 1024

/** Matches a sample without labels, or with the label `pool` alone. */
const METRIC_LINE = /^vanillathread_(\w+?)(?:\{pool="([^"]*)"\})? (-?[\d.e+]+)$/

const FIELD_BY_POOL_METRIC: Readonly<Record<string, 'jobs' | 'runs' | 'vms' | 'silentVms'>> = {
  pool_open_jobs: 'jobs', pool_runs: 'runs', pool_vms: 'vms', pool_vms_silent: 'silentVms',
}
