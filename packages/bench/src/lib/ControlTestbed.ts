/**
 * Testbed of daemons without callers, for measuring the cost of the control plane, which is all work of a daemon except serving requests.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { randomUUID } from 'node:crypto'
import { encodeBundle, inventorySchema, rulesSchema, Weekday, type ConfigurationHead, type Declarations } from '@vanillathread/model'
import { applyDeclarations, HttpPlatform } from '@vanillathread/ports'
import type { PlatformFault } from '@vanillathread/stand-ins'
import type { DaemonAddresses, DaemonHostUsage } from '../hosts/daemonHost.js'
import { Host } from './Host.js'
import { HostRole } from './hostProtocol.js'
import { Sharing } from './sharing.js'

/** Size of a testbed. */
export interface ControlSize {
  readonly daemons: number
  readonly pools: number
  readonly vmsPerPool: number
}

/** Cost of the control plane, for each daemon unless the field says otherwise. */
export interface ControlCost {
  /** CPU time as a share of one core, in percent. */
  readonly cpuPercent: number
  readonly sentBytesPerSecond: number
  readonly receivedBytesPerSecond: number
  /** Resident memory of a process with one daemon, in MiB. */
  readonly memoryMib: number
  /** Read calls to the table and written table rows per second, of all daemons. */
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const DAEMONS_PER_PROCESS = 10
const BYTES_PER_MEBIBYTE = 1024 * 1024
const MAX_ENDPOINTS_PER_SERVICE = 8

/** Builds declarations of a size, with one service per pool and at most {@link MAX_ENDPOINTS_PER_SERVICE} endpoints per service. */
export function createSizedDeclarations (size: Pick<ControlSize, 'pools' | 'vmsPerPool'>): Declarations {
  const pools = Array.from({ length: size.pools }, (_, index) => `pool-${index + 1}`)
  const vms = pools.flatMap((pool) => Array.from({ length: size.vmsPerPool }, (_, index) => ({
    id: `${pool}-vm-${index + 1}`, zone: ZONES[index % ZONES.length], rack: `rack-${index % 12}`, pool, accelerators: index % 2,
  })))
  const services = pools.map((pool) => ({
    id: `service-${pool}`,
    pool,
    endpoints: Array.from({ length: Math.min(MAX_ENDPOINTS_PER_SERVICE, size.vmsPerPool) }, (_, index) => ({ id: `${pool}-e-${index + 1}`, vm: `${pool}-vm-${index + 1}`, host: '127.0.0.1', port: 9 })),
  }))
  return {
    inventory: inventorySchema.parse({ regions: [{ id: 'local', zones: ZONES }], pools: pools.map((id) => ({ id })), vms, services }),
    rules: rulesSchema.parse({
      budgets: pools.map((pool) => ({ pool, minAvailable: Math.max(0, size.vmsPerPool - 2) })),
      windows: [{ pools, days: [Weekday.Monday], from: '02:00', to: '02:30' }],
      weights: { bufferCost: 0.5, moves: 0.5 },
    }),
  }
}

/** The started processes of a testbed of one size. */
export class ControlTestbed {
  private readonly platform = Host.start(HostRole.Platform)
  private readonly hosts: Host[] = []
  private readonly addresses: DaemonAddresses[] = []
  private client: HttpPlatform | undefined
  private version = 0

  private constructor (private readonly size: ControlSize) {}

  /** Starts all processes, waits until the first configuration is in force, and lets the daemons settle. */
  static async create (size: ControlSize): Promise<ControlTestbed> {
    const testbed = new ControlTestbed(size)
    await testbed.start()
    return testbed
  }

  /** Applies a configuration and announces it to one daemon. @returns the time of its acceptance, by `performance.now()`. */
  async apply (declarations: Declarations): Promise<number> {
    if (this.client === undefined) throw new Error('testbed is not started')
    const res = await applyDeclarations(this.client, { declarations, basedOn: this.version, applyId: randomUUID() })
    if (!res.ok) throw new Error(`apply failed with code ${res.error.code}`)
    this.version = res.value.version
    const acceptedMs = performance.now()
    this.announce(res.value, declarations)
    return acceptedMs
  }

  /** Waits until the latest version is in force on all daemons. @returns the time when this was observed, by `performance.now()`. */
  async waitInForce (): Promise<number> {
    for (;;) {
      const usages = await this.getUsages()
      if (usages.flatMap(({ versions }) => versions).every((version) => version >= this.version)) return performance.now()
      await sleep(POLL_MS)
    }
  }

  setFault (fault: PlatformFault): Promise<void> {
    return this.platform.call('setFault', fault)
  }

  /** Measures the cost of the control plane over a duration. */
  async measure (durationMs: number): Promise<ControlCost> {
    const [before, countersBefore, startedMs] = [await this.getUsages(), await this.getCounters(), performance.now()]
    await sleep(durationMs)
    const [after, countersAfter] = [await this.getUsages(), await this.getCounters()]
    const seconds = (performance.now() - startedMs) / 1000
    const getRatePerDaemon = (pick: (usage: DaemonHostUsage) => number): number =>
      (sum(after, pick) - sum(before, pick)) / seconds / this.size.daemons
    return {
      // 10 ms of CPU time per second are 1 percent of a core.
      cpuPercent: getRatePerDaemon(({ cpuMs }) => cpuMs) / 10,
      sentBytesPerSecond: getRatePerDaemon(({ sentBytes }) => sentBytes),
      receivedBytesPerSecond: getRatePerDaemon(({ receivedBytes }) => receivedBytes),
      memoryMib: (after[0]?.memoryBytes ?? 0) / BYTES_PER_MEBIBYTE,
      readsPerSecond: (countersAfter.reads - countersBefore.reads) / seconds,
      writesPerSecond: (countersAfter.writes - countersBefore.writes) / seconds,
    }
  }

  async dispose (): Promise<void> {
    await this.client?.dispose()
    for (const host of [this.platform, ...this.hosts]) host.dispose()
  }

  private async start (): Promise<void> {
    const declarations = createSizedDeclarations(this.size)
    const platformUrl = await this.platform.call<string>('getUrl')
    this.client = HttpPlatform.create({ url: platformUrl, timeoutMs: 10_000 })
    await this.platform.call('setVms', declarations.inventory.vms.map(({ id }) => id))
    // The first process runs only one daemon, because its memory is reported as that of one daemon.
    for (let started = 0; started < this.size.daemons;) {
      const count = started === 0 ? 1 : Math.min(DAEMONS_PER_PROCESS, this.size.daemons - started)
      await this.startProcess(platformUrl, started, count)
      started += count
    }
    await this.apply(declarations)
    await this.waitInForce()
    await sleep(SETTLE_MS)
  }

  private async startProcess (platformUrl: string, firstIndex: number, count: number): Promise<void> {
    const host = Host.start(HostRole.Daemons)
    this.hosts.push(host)
    const daemons = Array.from({ length: count }, (_, index) => ({
      id: `entry-${firstIndex + index + 1}`, zone: ZONES[index % ZONES.length] ?? '', platformUrl, seeds: this.addresses.slice(0, 2).map(({ peer }) => peer),
    }))
    this.addresses.push(...await host.call<DaemonAddresses[]>('start', { daemons, sharing: Sharing.Credits }))
  }

  /** Announces a configuration to one daemon, as `vanillathread apply --operations` does. */
  private announce (head: ConfigurationHead, declarations: Declarations): void {
    this.hosts[0]?.call('announce', { head, objects: encodeBundle(declarations).objects }).catch(() => {})
  }

  private getUsages (): Promise<DaemonHostUsage[]> {
    return Promise.all(this.hosts.map((host) => host.call<DaemonHostUsage>('getUsage')))
  }

  private getCounters (): Promise<{ reads: number, writes: number }> {
    return this.platform.call('getCounters')
  }
}

const POLL_MS = 20
const SETTLE_MS = 8_000

function sum (usages: readonly DaemonHostUsage[], pick: (usage: DaemonHostUsage) => number): number {
  return usages.reduce((total, usage) => total + pick(usage), 0)
}
