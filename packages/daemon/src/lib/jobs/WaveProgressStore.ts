/**
 * Progress of maintenance waves, kept in the store.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { readTable, StoreFailureKind, type FleetFeeds, type RowCondition, type RowStore, type MaintenanceWave, type StoreFailure, type StoredRow } from '@vanillathread/ports'
import { decodeWaveMachineRow, decodeWaveRow, encodeRow, Table } from './rows.js'

/** Options of {@link WaveProgressStore.create}. */
export interface WaveProgressStoreOptions {
  readonly shard: string
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  readonly log: EventLog
  readonly ownerRow: RowCondition
  onSuperseded (reason: string): void
}

/** The VM that was on a machine when an operation on the machine began or its maintenance was ordered. */
export interface PreviousVm {
  /** Id, or an empty string if the machine had no VM. */
  readonly vmId: string
  /** Start time of this incarnation of the VM. */
  readonly bornMs: number
}

/** Progress of one wave. */
export interface WaveProgress {
  /** VMs on the machines whose maintenance was ordered or may have been ordered, by machine. */
  readonly ordered: ReadonlyMap<string, PreviousVm>
  /** Machines whose maintenance has certainly begun, and machines that no longer exist. */
  readonly begun: ReadonlySet<string>
  /** True if the operator has been informed that the wave is complete. */
  readonly complete: boolean
}

/** A machine whose record waits for the next write, with the order's caller if one waits for it. */
interface PendingRecord {
  readonly machine: string
  readonly previous: PreviousVm
  readonly settle?: (stored: boolean) => void
}

interface StoredWave {
  readonly ordered: Map<string, PreviousVm>
  readonly begun: Set<string>
  complete: boolean
  /** Versions of the machines' rows. */
  readonly versions: Map<string, number>
  /** Records that wait for the next write. */
  pending: PendingRecord[]
  writeInFlight: boolean
  /** True if the operator has been informed that the wave has begun, or the write is in flight. */
  announced: boolean
}

/** Limit on the machines recorded in one transaction: two entries for each, and the owner row, of the platform's 100. */
const MACHINES_PER_WRITE = 40

/** Separates the wave's number from the machine in the key of a row. */
const KEY_SEPARATOR = '/'

/** Reads and writes the progress of a shard's waves: one row for each machine, many machines in a transaction. */
export class WaveProgressStore {
  private readonly waves = new Map<number, StoredWave>()
  private reading = false

  private constructor (private readonly options: WaveProgressStoreOptions) {}

  static create (options: WaveProgressStoreOptions): WaveProgressStore {
    return new WaveProgressStore(options)
  }

  /**
   * Returns a wave's progress, or undefined if it has not been read yet. Starts the read if necessary. Once the progress has been
   * read, also informs the operator that the wave has begun, unless all its machines have: a previous owner may have reported
   * that it is complete.
   */
  get (wave: MaintenanceWave): WaveProgress | undefined {
    const progress = this.waves.get(wave.number)
    if (progress === undefined) this.read(wave.number)
    else if (!progress.announced && wave.machines.some((machine) => !progress.begun.has(machine))) this.reportStart(wave.number, progress)
    return progress
  }

  /**
   * Stores that a machine's maintenance may be ordered; called before the order is sent. Orders that come while a write is in
   * flight share the next one. Returns false if that could not be stored.
   */
  async recordOrder (wave: number, machine: string, previous: PreviousVm): Promise<boolean> {
    const progress = this.waves.get(wave)
    if (progress === undefined) return false
    const before = progress.ordered.get(machine)
    if (before?.vmId === previous.vmId && before.bornMs === previous.bornMs) return true
    const stored = new Promise<boolean>((resolve) => { progress.pending.push({ machine, previous, settle: resolve }) })
    this.writePending(wave, progress)
    return stored
  }

  /** Returns true if the machine is recorded as ordered while it had another VM than the given one, or none. */
  isRecordedForOtherVm (wave: number, machine: string, vm: PreviousVm): boolean {
    const before = this.waves.get(wave)?.ordered.get(machine)
    return before !== undefined && (before.vmId !== vm.vmId || before.bornMs !== vm.bornMs)
  }

  /** Marks a machine whose maintenance has certainly begun, or that no longer exists; stored with the next write. */
  markBegun (wave: number, machine: string): void {
    const progress = this.waves.get(wave)
    if (progress === undefined || progress.begun.has(machine)) return
    progress.begun.add(machine)
    progress.pending.push({ machine, previous: progress.ordered.get(machine) ?? NO_VM })
  }

  /** Informs the operator that a wave is complete. */
  async complete (wave: MaintenanceWave): Promise<void> {
    const progress = this.waves.get(wave.number)
    if (progress === undefined || progress.writeInFlight || progress.complete) return
    if (progress.pending.length > 0) {
      this.writePending(wave.number, progress)
      return
    }
    progress.writeInFlight = true
    const res = await this.options.feeds.writeWaveState(wave.number, true)
    progress.writeInFlight = false
    progress.complete = res.ok
    this.options.log.write(EventCode.WaveComplete, { wave: wave.number, machines: wave.machines.length, outcome: res.ok ? 'told' : res.error.kind })
  }

  private async read (wave: number): Promise<void> {
    if (this.reading) return
    this.reading = true
    const { rows, shard } = this.options
    const res = await readTable(rows, Table.Waves, shard)
    this.reading = false
    if (!res.ok || this.waves.has(wave)) return
    const progress: StoredWave = { ordered: new Map(), begun: new Set(), complete: false, versions: new Map(), pending: [], writeInFlight: false, announced: false }
    for (const row of res.value.rows) addStoredRow(progress, wave, row)
    this.waves.set(wave, progress)
  }

  /** Informs the operator that a wave has begun. */
  private async reportStart (wave: number, progress: StoredWave): Promise<void> {
    progress.announced = true
    const res = await this.options.feeds.writeWaveState(wave, false)
    if (!res.ok) progress.announced = false
  }

  /** Writes the pending records, one transaction after another. Records of a failed write that no order waits for stay pending. */
  private async writePending (wave: number, progress: StoredWave): Promise<void> {
    if (progress.writeInFlight) return
    progress.writeInFlight = true
    while (progress.pending.length > 0) {
      const records = takeDistinct(progress.pending, MACHINES_PER_WRITE)
      progress.pending = progress.pending.filter((record) => !records.includes(record))
      if (await this.write(wave, progress, records)) continue
      progress.pending.push(...records.filter((record) => record.settle === undefined))
      break
    }
    progress.writeInFlight = false
  }

  /** Writes the rows of machines. Returns true if that certainly succeeded. */
  private async write (wave: number, progress: StoredWave, records: readonly PendingRecord[]): Promise<boolean> {
    const { rows, shard, ownerRow, log } = this.options
    const puts = records.map(({ machine, previous }) => ({
      table: Table.Waves, part: shard, key: `${wave}${KEY_SEPARATOR}${machine}`, value: encodeRow({ ...previous, begun: progress.begun.has(machine) }),
    }))
    const conditions = records.map(({ machine }, index) => ({ ...(puts[index] ?? ownerRow), version: progress.versions.get(machine) ?? 0 }))
      .map(({ table, part, key, version }) => ({ table, part, key, version }))
    const res = await rows.transact({ conditions: [ownerRow, ...conditions], puts, removes: [] })
    for (const { machine, previous, settle } of records) {
      if (res.ok) {
        progress.versions.set(machine, res.value.version)
        if (previous !== NO_VM) progress.ordered.set(machine, previous)
      }
      settle?.(res.ok)
    }
    if (!res.ok) this.applyFailure(wave, progress, records, res.error, log)
    return res.ok
  }

  private applyFailure (wave: number, progress: StoredWave, records: readonly PendingRecord[], failure: StoreFailure, log: EventLog): void {
    const { ownerRow } = this.options
    if (failure.kind !== StoreFailureKind.Conflict) {
      log.write(EventCode.StoreCallFailed, { call: 'write wave', wave, outcome: failure.kind, reason: failure.reason })
      return
    }
    const owner = failure.rows.find((each) => each.table === ownerRow.table && each.key === ownerRow.key)
    if (owner?.version !== ownerRow.version) this.options.onSuperseded('write of a wave\'s row found another owner')
    // Only the owner writes these rows, so an earlier attempt with an unknown outcome was carried out after all.
    for (const { machine } of records) {
      const row = failure.rows.find((each) => each.table === Table.Waves && each.key === `${wave}${KEY_SEPARATOR}${machine}`)
      progress.versions.set(machine, row?.version ?? 0)
    }
  }
}

/** Stands for the VM of a machine that was marked as begun without an order. */
const NO_VM: PreviousVm = { vmId: '', bornMs: 0 }

/** Returns up to `limit` records, one for each machine. */
function takeDistinct (records: readonly PendingRecord[], limit: number): PendingRecord[] {
  const byMachine = new Map<string, PendingRecord>()
  for (const record of records) {
    if (byMachine.size < limit && !byMachine.has(record.machine)) byMachine.set(record.machine, record)
  }
  return [...byMachine.values()]
}

/** Returns the wave and the machine that a row is about, or undefined for a row about a whole wave. */
export function parseWaveMachineKey (key: string): { readonly wave: number, readonly machine: string } | undefined {
  const separator = key.indexOf(KEY_SEPARATOR)
  return separator < 0 ? undefined : { wave: Number(key.slice(0, separator)), machine: key.slice(separator + KEY_SEPARATOR.length) }
}

/** Adds a row to the progress of a wave. Earlier builds wrote one row for the whole wave, with the wave's number as its key. */
function addStoredRow (progress: StoredWave, wave: number, row: StoredRow): void {
  if (row.key === String(wave)) {
    const whole = decodeWaveRow(row.value)
    for (const [machine, vmId, bornMs] of whole?.ordered ?? []) progress.ordered.set(machine, { vmId, bornMs })
    for (const machine of whole?.begun ?? []) progress.begun.add(machine)
    return
  }
  const key = parseWaveMachineKey(row.key)
  const stored = key?.wave === wave ? decodeWaveMachineRow(row.value) : undefined
  if (key === undefined || stored === undefined) return
  const { machine } = key
  progress.versions.set(machine, row.version)
  progress.ordered.set(machine, { vmId: stored.vmId, bornMs: stored.bornMs })
  if (stored.begun) progress.begun.add(machine)
}
