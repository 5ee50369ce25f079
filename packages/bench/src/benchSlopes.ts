/**
 * `npm run bench:slopes`: cost of each role per unit of its driver, for docs/CAPACITY.md.
 *
 * The driver is the quantity with which the cost grows, such as the number of daemons or VMs.
 */
import { performance } from 'node:perf_hooks'
import { Command } from 'commander'
import { decodeBundle, decodeManifest, encodeBundle } from '@vanillathread/model'
import { MemoryPlatform, FleetVmState } from '@vanillathread/ports'
import {
  createBudgetRecord, createVmRecord, CreditHolder, CreditLedger, MemberPhase, MembershipView, planPool, RandomSource,
  type DeclaredVm, type MemberRecord, type PoolView, type VmObservation,
} from '@vanillathread/policy'
import { ControlTestbed, createSizedDeclarations, type ControlCost } from './lib/ControlTestbed.js'
import { fitLine } from './lib/fitLine.js'

/** A row of the printed table: the line that was fitted through the values of one cost, by size of its driver. */
interface Slope {
  role: string
  driver: string
  unit: string
  sizes: string
  values: string
  intercept: number
  'per driver': number
  'residual %': number
}

const MEASURE_MS = 8_000
const BYTES_PER_MEBIBYTE = 1024 * 1024
const REPEATS = 20
const slopes: Slope[] = []

/** Groups of measurements by name. */
const groups: ReadonlyMap<string, () => Promise<void> | void> = new Map([
  ['daemons', () => measureControl('daemons', [3, 9, 18, 36], (daemons) => ({ daemons, pools: 5, vmsPerPool: 7 }))],
  ['pools', () => measureControl('pools', [5, 25, 50, 105], (pools) => ({ daemons: 4, pools, vmsPerPool: 8 }))],
  ['vms', () => measureControl('VMs a pool, 105 pools', [4, 8, 14, 22], (vmsPerPool) => ({ daemons: 4, pools: 105, vmsPerPool }))],
  ['daemons-105-pools', () => measureControl('daemons, 105 pools', [4, 9, 18, 36], (daemons) => ({ daemons, pools: 105, vmsPerPool: 8 }))],
  ['configuration', () => measureConfiguration([35, 575, 1150, 2310])],
  ['fleet-list', () => measureFleetList([35, 575, 1150, 2300])],
  ['planning', () => measurePlanning([8, 22, 44, 88])],
  ['ledger', () => measureLedger([4, 9, 18, 36])],
  ['membership', () => measureMembership([9, 20, 40, 80])],
])

const command = new Command('bench:slopes').option('--only <groups>', 'groups to measure, separated by commas', [...groups.keys()].join(','))
command.parse()
for (const name of command.opts<{ only: string }>().only.split(',')) await groups.get(name)?.()
console.table(slopes)

async function measureControl (driver: string, sizes: readonly number[], getSize: (size: number) => Parameters<typeof ControlTestbed.create>[0]): Promise<void> {
  const costs: Array<[number, ControlCost]> = []
  for (const size of sizes) {
    const testbed = await ControlTestbed.create(getSize(size))
    costs.push([size, await testbed.measure(MEASURE_MS)])
    await testbed.dispose()
  }
  const fields: Array<[keyof ControlCost, string]> = [
    ['cpuPercent', '% of a core'], ['sentBytesPerSecond', 'B/s sent'], ['receivedBytesPerSecond', 'B/s received'],
    ['memoryMib', 'MiB'], ['readsPerSecond', 'table reads/s, all daemons'], ['writesPerSecond', 'table rows written/s, all daemons'],
  ]
  for (const [field, unit] of fields) addSlope('control of an idle daemon', driver, unit, costs.map(([size, cost]) => [size, cost[field]]))
}

function measureConfiguration (sizes: readonly number[]): void {
  const decodeTimes: Array<[number, number]> = []
  const bytes: Array<[number, number]> = []
  const memory: Array<[number, number]> = []
  for (const size of sizes) {
    const bundle = encodeBundle(createSizedDeclarations({ pools: Math.max(1, Math.round(size / 22)), vmsPerPool: 22 }))
    const manifest = decodeManifest(bundle.manifestDigest, bundle.objects.get(bundle.manifestDigest) ?? new Uint8Array())
    if (!manifest.ok) throw new Error('manifest does not decode')
    decodeTimes.push([size, measureMedianMs(REPEATS, () => decodeBundle(manifest.value, bundle.objects))])
    bytes.push([size, [...bundle.objects.values()].reduce((sum, { length }) => sum + length, 0)])
    memory.push([size, measureHeapMib(() => decodeBundle(manifest.value, bundle.objects))])
  }
  addSlope('configuration', 'VMs', 'ms to check and decode a version', decodeTimes)
  addSlope('configuration', 'VMs', 'bytes of all chunks', bytes)
  addSlope('configuration', 'VMs', 'MiB of heap', memory)
}

async function measureFleetList (sizes: readonly number[]): Promise<void> {
  const bytes: Array<[number, number]> = []
  for (const size of sizes) {
    const { fleet } = MemoryPlatform.create()
    for (let index = 0; index < size; index++) fleet.setVm(`pool-${index % 105}-vm-${index}`, FleetVmState.Live)
    bytes.push([size, JSON.stringify(await fleet.list()).length])
  }
  addSlope('fleet list', 'VMs', 'bytes of one list', bytes)
}

function measurePlanning (sizes: readonly number[]): void {
  addSlope('fleet controller', 'VMs of a pool', 'ms to plan the pool', sizes.map((size) => [size, measureMedianMs(200, () => planPool(createPoolView(size)))]))
}

function createPoolView (size: number): PoolView {
  const ids = Array.from({ length: size }, (_, index) => `vm-${index}`)
  return {
    poolId: 'pool',
    nowMs: 1,
    minAvailable: size - 2,
    declared: new Map(ids.map((id): [string, DeclaredVm] => [id, { id, wantedPool: 'pool', zone: 'zone-a' }])),
    vms: new Map(ids.map((id) => [id, { value: createVmRecord('pool', 0), revision: 1 }])),
    unrecorded: [],
    budget: { value: { ...createBudgetRecord(), members: size }, revision: 1 },
    observations: new Map(ids.map((id): [string, VmObservation] => [id, { alive: true, drained: false }])),
    maintenanceAllowed: true,
    maintenancePeriodMs: 10,
  }
}

function measureLedger (sizes: readonly number[]): void {
  const points = sizes.map((size): [number, number] => {
    const ledger = CreditLedger.create({ creditTtlMs: 5_000, maxSlotHoldMs: 20_000 })
    ledger.setEndpoints(Array.from({ length: 8 }, (_, index) => ({ endpointId: `e-${index}`, zone: `zone-${index % 3}`, slots: 8 })))
    const holders = Array.from({ length: size }, (_, index) => CreditHolder.create({ daemonId: `d-${index}`, zone: `zone-${index % 3}`, creditTtlMs: 5_000 }))
    let turn = 0
    return [size, measureMedianMs(200, () => {
      const holder = holders[turn++ % size]
      if (holder === undefined) return
      ledger.applyReport(holder.createReport((turn * 7) % 20, 0), 0)
      for (const [daemonId, grant] of ledger.allocate(0)) holders[Number(daemonId.slice(2))]?.applyGrant(grant)
      holder.renew(0)
    })]
  })
  addSlope('credits lender', 'daemons', 'ms a report', points)
}

function measureMembership (sizes: readonly number[]): void {
  const random = RandomSource.create(1)
  const points = sizes.map((size): [number, number] => {
    const records = Array.from({ length: size }, (_, index): MemberRecord => ({
      daemonId: `d-${index}`, incarnation: 1, beat: 1, region: 'r', zone: 'z', peer: { host: '10.0.0.1', port: 1 }, version: 1, phase: MemberPhase.Serving,
    }))
    const view = MembershipView.create({ self: { ...records[0] as MemberRecord, daemonId: 'self' }, suspectAfterMs: 3_000, suspectPerDoublingMs: 1_000, counterShare: 0.4, minCounters: 8 })
    view.merge(records, 0)
    return [size, measureMedianMs(500, () => {
      view.chooseTargets(4, random)
      const { records: sent, pulses } = view.chooseContent()
      view.merge(sent, 0)
      view.mergeCounters(pulses, 0)
      view.updateSuspicions(0)
    })]
  })
  addSlope('membership', 'daemons', 'ms a heartbeat', points)
}

/** Returns the median time of a call in milliseconds. */
function measureMedianMs (repeats: number, call: () => unknown): number {
  const times: number[] = []
  for (let repeat = 0; repeat < repeats; repeat++) {
    const startedMs = performance.now()
    call()
    times.push(performance.now() - startedMs)
  }
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)] ?? 0
}

/** Returns the heap that a created value occupies, in MiB. Needs `node --expose-gc`, without which garbage is counted too. */
function measureHeapMib (create: () => unknown): number {
  const { gc } = globalThis
  gc?.()
  const before = process.memoryUsage().heapUsed
  const retained = create()
  gc?.()
  const after = process.memoryUsage().heapUsed
  return retained === undefined ? 0 : (after - before) / BYTES_PER_MEBIBYTE
}

function addSlope (role: string, driver: string, unit: string, points: Array<[number, number]>): void {
  const line = fitLine(points)
  slopes.push({
    role,
    driver,
    unit,
    sizes: points.map(([size]) => size).join(' '),
    values: points.map(([, value]) => Number(value.toPrecision(3))).join(' '),
    intercept: Number(line.intercept.toPrecision(3)),
    'per driver': Number(line.slope.toPrecision(3)),
    'residual %': Math.round(line.residual * 100),
  })
}
