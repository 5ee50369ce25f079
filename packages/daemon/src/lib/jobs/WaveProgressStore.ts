/**
 * Progress of maintenance waves, kept in the store.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { readRow, StoreFailureKind, type FleetFeeds, type RowCondition, type RowStore, type MaintenanceWave } from '@vanillathread/ports'
import { decodeWaveRow, encodeRow, Table } from './rows.js'

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
  readonly ordered: Map<string, PreviousVm>
  /** Machines whose maintenance has certainly begun, and machines that no longer exist. */
  readonly begun: Set<string>
  /** True if the operator has been informed that the wave is complete. */
  complete: boolean
}

interface StoredWave extends WaveProgress {
  /** Version of the wave's row, 0 if there is none. */
  version: number
  /** Store clock at which the wave was first seen. */
  seenAtMs: number
  /** True while a write of the wave's row or state is in flight. */
  writeInFlight: boolean
  /** True if the operator has been informed that the wave has begun, or the write is in flight. */
  announced: boolean
}

/** Reads and writes the progress of a shard's waves. */
export class WaveProgressStore {
  private readonly waves = new Map<number, StoredWave>()
  private readonly wavesBeingRead = new Set<number>()

  private constructor (private readonly options: WaveProgressStoreOptions) {}

  static create (options: WaveProgressStoreOptions): WaveProgressStore {
    return new WaveProgressStore(options)
  }

  /**
   * Returns a wave's progress, or undefined if it has not been read yet. Starts the read if necessary. Once the progress has been
   * read, also informs the operator that the wave has begun.
   */
  get (wave: number): WaveProgress | undefined {
    const progress = this.waves.get(wave)
    if (progress === undefined) this.read(wave)
    else if (!progress.announced) this.reportStart(wave, progress)
    return progress
  }

  /**
   * Stores that a machine's maintenance may be ordered; called before the order is sent. Returns false if that could not be
   * stored.
   */
  async recordOrder (wave: number, machine: string, previous: PreviousVm): Promise<boolean> {
    const progress = this.waves.get(wave)
    if (progress === undefined) return false
    if (progress.writeInFlight) return false
    const before = progress.ordered.get(machine)
    if (before?.vmId === previous.vmId && before.bornMs === previous.bornMs) return true
    progress.ordered.set(machine, previous)
    if (await this.write(wave, progress)) return true
    if (before === undefined) progress.ordered.delete(machine)
    else progress.ordered.set(machine, before)
    return false
  }

  /** Marks a machine whose maintenance has certainly begun, or that no longer exists; stored with the next write. */
  markBegun (wave: number, machine: string): void {
    this.waves.get(wave)?.begun.add(machine)
  }

  /** Informs the operator that a wave is complete. */
  async complete (wave: MaintenanceWave): Promise<void> {
    const progress = this.waves.get(wave.number)
    if (progress === undefined || progress.writeInFlight || progress.complete) return
    if (!await this.write(wave.number, progress)) return
    progress.writeInFlight = true
    const res = await this.options.feeds.writeWaveState(wave.number, true)
    progress.writeInFlight = false
    progress.complete = res.ok
    this.options.log.write(EventCode.WaveComplete, { wave: wave.number, machines: wave.machines.length, outcome: res.ok ? 'told' : res.error.kind })
  }

  private async read (wave: number): Promise<void> {
    if (this.wavesBeingRead.has(wave)) return
    this.wavesBeingRead.add(wave)
    const { rows, shard } = this.options
    const res = await readRow(rows, { table: Table.Waves, part: shard, key: String(wave) })
    this.wavesBeingRead.delete(wave)
    if (!res.ok) return
    const row = res.value
    const stored = row === undefined ? undefined : decodeWaveRow(row.value)
    this.waves.set(wave, {
      ordered: new Map(stored?.ordered.map(([machine, vmId, bornMs]) => [machine, { vmId, bornMs }])),
      begun: new Set(stored?.begun),
      complete: false,
      version: row?.version ?? 0,
      seenAtMs: stored?.seenAtMs ?? Math.round(rows.getStoreClockMs()),
      writeInFlight: false,
      announced: false,
    })
  }

  /** Informs the operator that a wave has begun. */
  private async reportStart (wave: number, progress: StoredWave): Promise<void> {
    progress.announced = true
    const res = await this.options.feeds.writeWaveState(wave, false)
    if (!res.ok) progress.announced = false
  }

  /** Writes a wave's row. Returns true if that certainly succeeded. */
  private async write (wave: number, progress: StoredWave): Promise<boolean> {
    const { rows, shard, ownerRow, log } = this.options
    const row = { table: Table.Waves, part: shard, key: String(wave) }
    progress.writeInFlight = true
    const ordered = [...progress.ordered].map(([machine, { vmId, bornMs }]) => [machine, vmId, bornMs] as const)
    const value = encodeRow({ ordered, begun: [...progress.begun], seenAtMs: progress.seenAtMs })
    const res = await rows.transact({ conditions: [ownerRow, { ...row, version: progress.version }], puts: [{ ...row, value }], removes: [] })
    progress.writeInFlight = false
    if (res.ok) {
      progress.version = res.value.version
      return true
    }
    if (res.error.kind !== StoreFailureKind.Conflict) {
      log.write(EventCode.StoreCallFailed, { call: 'write wave', wave, outcome: res.error.kind, reason: res.error.reason })
      return false
    }
    const owner = res.error.rows.find((each) => each.table === ownerRow.table && each.key === ownerRow.key)
    if (owner?.version !== ownerRow.version) this.options.onSuperseded('write of a wave\'s row found another owner')
    // Only the owner writes the row, so an earlier attempt with an unknown outcome was carried out after all.
    progress.version = res.error.rows.find((each) => each.table === row.table && each.key === row.key)?.version ?? 0
    return false
  }
}
