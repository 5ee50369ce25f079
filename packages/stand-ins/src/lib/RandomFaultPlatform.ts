/**
 * Wraps a platform for one of its users and makes that user's calls fail at random.
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type FleetList, type ObjectStore, type Platform, type PlatformError, type TableService, type VmActions } from '@vanillathread/ports'
import type { Delay } from './FaultyPlatform.js'
import { wrapPlatform } from './wrapPlatform.js'

/** Probability of each fault, from 0 to 1, and the longest delay. */
export interface FaultProbabilities {
  /** The call is not executed. */
  readonly unavailable: number
  /** The call is executed and its answer is lost. */
  readonly answerLost: number
  /** The call is delayed. Drawn twice: for a delay before the execution and for one after it. */
  readonly delayed: number
  /** Upper bound of each delay. */
  readonly maxDelayMs: number
}

/** Options of {@link RandomFaultPlatform.create}. */
export interface RandomFaultOptions {
  readonly platform: Platform
  readonly probabilities: FaultProbabilities
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  random (): number
  readonly delay: Delay
}

/** One user's access to a platform, with random faults. */
export class RandomFaultPlatform implements Platform {
  /** True while faults are injected. */
  injectsFaults = true
  readonly table: TableService
  readonly objects: ObjectStore
  readonly fleet: FleetList
  readonly vms: VmActions
  /** Resolves when the pause ends; undefined if there is no pause. */
  private resumed: Promise<void> | undefined
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

  /** Holds every call and answer back, as if the user's process were paused. */
  pause (): void {
    this.resumed ??= new Promise((resolve) => { this.endPause = resolve })
  }

  /** Ends the pause and releases the calls and answers that were held back. */
  resume (): void {
    this.endPause?.()
    this.resumed = undefined
  }

  private async call<T> (execute: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    await this.waitForPauseAndDelay()
    if (this.drawFault(this.options.probabilities.unavailable)) return Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'random fault' })
    const res = await execute()
    const isAnswerLost = this.drawFault(this.options.probabilities.answerLost)
    await this.waitForPauseAndDelay()
    return isAnswerLost ? Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: 'random fault' }) : res
  }

  private async waitForPauseAndDelay (): Promise<void> {
    await this.resumed
    const { probabilities, random, delay } = this.options
    if (this.drawFault(probabilities.delayed)) await delay(random() * probabilities.maxDelayMs)
    await this.resumed
  }

  private drawFault (probability: number): boolean {
    return this.injectsFaults && this.options.random() < probability
  }
}
