/**
 * Wraps a platform of the same process and injects faults into its calls.
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type FleetList, type FleetSnapshot, type ObjectStore, type Platform, type PlatformError, type TableService, type VmActions } from '@vanillathread/ports'
import { PlatformFault, type PlatformFaults } from './PlatformFaults.js'
import { wrapPlatform } from './wrapPlatform.js'

/** Waits for a number of milliseconds; tests pass a function that uses a fake clock. */
export type Delay = (delayMs: number) => Promise<void>

/** Options of {@link FaultyPlatform.create}. */
export interface FaultyPlatformOptions {
  readonly platform: Platform
  readonly faults: PlatformFaults
  readonly delay: Delay
}

/** A platform whose calls fail according to {@link PlatformFaults}. */
export class FaultyPlatform implements Platform {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly fleet: FleetList
  readonly vms: VmActions
  /** Fleet list that was read last; it is returned again while `staleList` is set. */
  private lastSnapshot: FleetSnapshot | undefined

  private constructor (private readonly options: FaultyPlatformOptions) {
    const { table, objects, vms } = options.platform
    const wrapped = wrapPlatform({ table, objects, vms, fleet: { list: () => this.list() } }, (execute) => this.call(execute))
    this.table = wrapped.table
    this.objects = wrapped.objects
    this.fleet = wrapped.fleet
    this.vms = wrapped.vms
  }

  static create (options: FaultyPlatformOptions): FaultyPlatform {
    return new FaultyPlatform(options)
  }

  private async list (): Promise<Result<FleetSnapshot, PlatformError>> {
    if (this.options.faults.staleList && this.lastSnapshot !== undefined) return Result.ok(this.lastSnapshot)
    const res = await this.options.platform.fleet.list()
    if (res.ok) this.lastSnapshot = res.value
    return res
  }

  private async call<T> (execute: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    const { faults, delay } = this.options
    if (faults.fault === PlatformFault.Down) return Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'stand-in is down' })
    if (faults.fault === PlatformFault.Slow) await delay(faults.slowMs)
    const res = await execute()
    if (faults.fault !== PlatformFault.AnswerLost) return res
    return Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: 'stand-in lost the answer' })
  }
}
