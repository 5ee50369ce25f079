/**
 * Cache of the final states of jobs, which lets repeated queries be answered without the owner or the store.
 */
import type { JobState } from '@vanillathread/model'

/** Number of states that are cached. */
const MAX_CACHED_STATES = 5_000

/** Final states by job id; the one that was added first is dropped first. */
export class FinalStates {
  private readonly states = new Map<string, JobState>()

  private constructor () {}

  static create (): FinalStates {
    return new FinalStates()
  }

  get (id: string): JobState | undefined {
    return this.states.get(id)
  }

  add (id: string, state: JobState): void {
    const oldest = this.states.size >= MAX_CACHED_STATES ? this.states.keys().next().value : undefined
    if (oldest !== undefined) this.states.delete(oldest)
    this.states.set(id, state)
  }
}
