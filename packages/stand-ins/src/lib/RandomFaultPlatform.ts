/**
 * A platform whose calls fail at random, from a seed, for one of its users.
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type FleetList, type ObjectStore, type Platform, type PlatformError, type TableService, type VmActions } from '@vanillathread/ports'
import type { Delay } from './FaultyPlatform.js'
import { wrapPlatform } from './wrapPlatform.js'

/** Chances of each fault, 0 to 1, and the longest delay. */
export interface FaultChances {
  /** The call is not executed. */
  readonly unavailable: number
  /** The call is executed and its answer is lost. */
  readonly answerLost: number
  /** The call is delayed before and after its execution. */
  readonly delayed: number
  readonly maxDelayMs: number
}

/** Options of {@link RandomFaultPlatform.create}. */
export interface RandomFaultOptions {
  readonly platform: Platform
  readonly chances: FaultChances
  /** Returns a number from 0 up to, and without, 1. */
  random (): number
  readonly delay: Delay
}

/** One user's view of a platform, with faults. */
export class RandomFaultPlatform implements Platform {
  /** Faults happen while this is true. */
  faulty = true
  readonly table: TableService
  readonly objects: ObjectStore
  readonly fleet: FleetList
  readonly vms: VmActions
  private resume: Promise<void> | undefined
  private endPause: (() => void) | undefined

  private constructor (private readonly options: RandomFaultOptions) {
    const wrapped = wrapPlatform(options.platform, (execute) => this.call(execute))
    this.table = wrapped.table
    this.objects = wrapped.objects
    this.fleet = wrapped.fleet
    this.vms = wrapped.vms
  }

  static create (options: RandomFaultOptions): RandomFaultPlatform {
    return new RandomFaultPlatform(options)
  }

  /** Holds back every call and answer, as if the user's process were paused. */
  pause (): void {
    this.resume ??= new Promise((resolve) => { this.endPause = resolve })
  }

  /** Ends the pause; calls that were held back are executed now. */
  unpause (): void {
    this.endPause?.()
    this.resume = undefined
  }

  private async call<T> (execute: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    await this.wait()
    if (this.happens(this.options.chances.unavailable)) return Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'random fault' })
    const res = await execute()
    const lost = this.happens(this.options.chances.answerLost)
    await this.wait()
    return lost ? Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: 'random fault' }) : res
  }

  private async wait (): Promise<void> {
    await this.resume
    const { chances, random, delay } = this.options
    if (this.happens(chances.delayed)) await delay(random() * chances.maxDelayMs)
    await this.resume
  }

  private happens (chance: number): boolean {
    return this.faulty && this.options.random() < chance
  }
}
