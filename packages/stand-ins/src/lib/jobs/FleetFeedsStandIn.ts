/**
 * In-memory feeds of registrations and of the operator's rows, and the rows that the operator writes.
 */
import { Result, type OperatorConfiguration, type VmEntry } from '@vanillathread/model'
import type { Changes, FleetFeeds, MaintenanceWave, OperatorChange, RowStore, StoredRow, StoreFailure, VmChange } from '@vanillathread/ports'
import type { MachineObserver } from './FleetStandIn.js'
import type { StoreStandIn } from './StoreStandIn.js'

/** Tables of the store. */
const OPERATOR = 'operator'
export const VMS_TABLE = 'vms'
const WAVE_STATES = 'wave-states'

/** Feeds of VMs and operator changes for one daemon, read through the daemon's own store client. @public */
export class FleetFeedsStandIn implements FleetFeeds {
  private constructor (private readonly rows: RowStore, private readonly observer: MachineObserver) {}

  static create (rows: RowStore, observer: MachineObserver): FleetFeedsStandIn {
    return new FleetFeedsStandIn(rows, observer)
  }

  readOperatorRows (): Promise<Result<Changes<OperatorChange>, StoreFailure>> {
    return this.readAll(OPERATOR, toOperatorChange)
  }

  watchOperatorRows (afterVersion: number, waitMs: number): Promise<Result<Changes<OperatorChange>, StoreFailure>> {
    return this.watch(OPERATOR, afterVersion, waitMs, toOperatorChange)
  }

  readRegistrations (): Promise<Result<Changes<VmChange>, StoreFailure>> {
    return this.readAll(VMS_TABLE, toVmChange)
  }

  watchRegistrations (afterVersion: number, waitMs: number): Promise<Result<Changes<VmChange>, StoreFailure>> {
    return this.watch(VMS_TABLE, afterVersion, waitMs, toVmChange)
  }

  async writeWaveState (wave: number, complete: boolean): Promise<Result<void, StoreFailure>> {
    const res = await this.rows.transact({ conditions: [], puts: [{ table: WAVE_STATES, part: '', key: `wave/${wave}`, value: encodeStandInRow({ complete }) }], removes: [] })
    if (!res.ok) return res
    if (complete) this.observer.onWaveComplete(wave)
    return Result.ok(undefined)
  }

  private async readAll<T> (table: string, decode: (row: StoredRow) => T): Promise<Result<Changes<T>, StoreFailure>> {
    const res = await this.rows.readRange({ table, part: '' })
    return res.ok ? Result.ok({ values: res.value.rows.map(decode), version: res.value.version }) : res
  }

  private async watch<T> (table: string, afterVersion: number, waitMs: number, decode: (row: StoredRow) => T): Promise<Result<Changes<T>, StoreFailure>> {
    const res = await this.rows.readFeed(table, afterVersion, waitMs)
    return res.ok ? Result.ok({ values: res.value.rows.map(decode), version: res.value.version }) : res
  }
}

/** Writes the operator's configuration. @public */
export function putOperatorConfiguration (store: StoreStandIn, configuration: OperatorConfiguration): void {
  store.put({ table: OPERATOR, part: '', key: 'config' }, encodeStandInRow({ configuration }))
}

/** Writes the operator's request for a maintenance wave. @public */
export function putWaveRequest (store: StoreStandIn, wave: MaintenanceWave): void {
  store.put({ table: OPERATOR, part: '', key: `wave/${wave.number}` }, encodeStandInRow({ wave }))
}

function toOperatorChange (row: StoredRow): OperatorChange {
  const value = JSON.parse(Buffer.from(row.value).toString()) as { configuration?: OperatorConfiguration, wave?: MaintenanceWave }
  if (value.configuration !== undefined) return { kind: 'configuration', configuration: value.configuration }
  if (value.wave !== undefined) return { kind: 'wave', wave: value.wave }
  return { kind: 'invalid', key: row.key, reason: 'neither configuration nor wave' }
}

function toVmChange (row: StoredRow): VmChange {
  return row.removed ? { id: row.key } : { id: row.key, entry: JSON.parse(Buffer.from(row.value).toString()) as VmEntry }
}

export function encodeStandInRow (value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value))
}
