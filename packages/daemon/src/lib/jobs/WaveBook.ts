/**
 * How far maintenance waves have got, as the store keeps it.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { readRow, StoreFailureKind, type FleetFeeds, type RowCondition, type RowStore, type Wave } from '@vanillathread/ports'
import { decodeWaveRow, encodeRow, Table } from './rows.js'

/** Options of {@link WaveBook.create}. */
export interface WaveBookOptions {
  readonly shard: string
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  readonly log: EventLog
  readonly ownerRow: RowCondition
  onSuperseded (reason: string): void
}

/** The VM that was on a machine when its maintenance was ordered. */
export interface FormerVm {
  readonly vmId: string
  readonly bornMs: number
}

/** Progress of one wave. */
export interface WaveProgress {
  /** Machines whose maintenance was or may have been ordered, by id. */
  readonly ordered: Map<string, FormerVm>
  /** Machines whose maintenance has surely begun, or that are gone. */
  readonly begun: Set<string>
  complete: boolean
}

interface StoredWave extends WaveProgress {
  version: number
  seenAtMs: number
  /** True while a write of this row is in flight. */
  writing: boolean
  announced: boolean
}

/** Waves of a shard. */
export class WaveBook {
  private readonly waves = new Map<number, StoredWave>()
  private readonly reading = new Set<number>()

  private constructor (private readonly options: WaveBookOptions) {}

  static create (options: WaveBookOptions): WaveBook {
    return new WaveBook(options)
  }

  /** Returns a wave's progress, or undefined until it is read. */
  get (wave: number): WaveProgress | undefined {
    const known = this.waves.get(wave)
    if (known === undefined) this.read(wave)
    else if (!known.announced) this.announce(wave, known)
    return known
  }

  /** Writes that a machine's maintenance may be ordered from now on. @returns false where it could not be written. */
  async noteOrdered (wave: number, machine: string, former: FormerVm): Promise<boolean> {
    const known = this.waves.get(wave)
    if (known === undefined) return false
    if (known.writing) return false
    const before = known.ordered.get(machine)
    if (before?.vmId === former.vmId && before.bornMs === former.bornMs) return true
    known.ordered.set(machine, former)
    if (await this.write(wave, known)) return true
    if (before === undefined) known.ordered.delete(machine)
    else known.ordered.set(machine, before)
    return false
  }

  /** Notes that a machine's maintenance has surely begun, or that it is gone; written with the next change. */
  noteBegun (wave: number, machine: string): void {
    this.waves.get(wave)?.begun.add(machine)
  }

  /** Tells the operator that a wave is complete. */
  async complete (wave: Wave): Promise<void> {
    const known = this.waves.get(wave.number)
    if (known === undefined || known.writing || known.complete) return
    if (!await this.write(wave.number, known)) return
    known.writing = true
    const res = await this.options.feeds.writeWaveState(wave.number, true)
    known.writing = false
    known.complete = res.ok
    this.options.log.write(EventCode.WaveComplete, { wave: wave.number, machines: wave.machines.length, outcome: res.ok ? 'told' : res.error.kind })
  }

  private async read (wave: number): Promise<void> {
    if (this.reading.has(wave)) return
    this.reading.add(wave)
    const { rows, shard } = this.options
    const res = await readRow(rows, { table: Table.Waves, part: shard, key: String(wave) })
    this.reading.delete(wave)
    if (!res.ok) return
    const row = res.value
    const stored = row === undefined ? undefined : decodeWaveRow(row.value)
    this.waves.set(wave, {
      ordered: new Map(stored?.ordered.map(([machine, vmId, bornMs]) => [machine, { vmId, bornMs }])),
      begun: new Set(stored?.begun),
      complete: false,
      version: row?.version ?? 0,
      seenAtMs: stored?.seenAtMs ?? Math.round(rows.nowMs()),
      writing: false,
      announced: false,
    })
  }

  /** Tells the operator that a wave has begun. */
  private async announce (wave: number, known: StoredWave): Promise<void> {
    known.announced = true
    const res = await this.options.feeds.writeWaveState(wave, false)
    if (!res.ok) known.announced = false
  }

  private async write (wave: number, known: StoredWave): Promise<boolean> {
    const { rows, shard, ownerRow, log } = this.options
    const row = { table: Table.Waves, part: shard, key: String(wave) }
    known.writing = true
    const ordered = [...known.ordered].map(([machine, { vmId, bornMs }]) => [machine, vmId, bornMs] as const)
    const value = encodeRow({ ordered, begun: [...known.begun], seenAtMs: known.seenAtMs })
    const res = await rows.transact({ conditions: [ownerRow, { ...row, version: known.version }], puts: [{ ...row, value }], removes: [] })
    known.writing = false
    if (res.ok) {
      known.version = res.value.version
      return true
    }
    if (res.error.kind !== StoreFailureKind.Conflict) {
      log.write(EventCode.StoreCallFailed, { call: 'write wave', wave, outcome: res.error.kind, reason: res.error.reason })
      return false
    }
    const owner = res.error.rows.find((each) => each.table === ownerRow.table && each.key === ownerRow.key)
    if (owner?.version !== ownerRow.version) this.options.onSuperseded('a wave\'s row names another owner')
    // Only the owner writes the row, so an earlier try of ours was carried out after all.
    known.version = res.error.rows.find((each) => each.table === row.table && each.key === row.key)?.version ?? 0
    return false
  }
}
