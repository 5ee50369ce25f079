/**
 * Implementation of every platform port in memory.
 */
import type { Platform } from '../Platform.js'
import { MemoryFleet } from './MemoryFleet.js'
import { MemoryObjectStore } from './MemoryObjectStore.js'
import { MemoryTable } from './MemoryTable.js'

/** The platform's services in memory, for the demo and tests. @public */
export class MemoryPlatform implements Platform {
  private constructor (
    readonly table: MemoryTable,
    readonly objects: MemoryObjectStore,
    readonly fleet: MemoryFleet
  ) {}

  static create (options: { wallClock: () => number } = { wallClock: Date.now }): MemoryPlatform {
    return new MemoryPlatform(MemoryTable.create(), MemoryObjectStore.create(), MemoryFleet.create(options))
  }

  get vms (): MemoryFleet {
    return this.fleet
  }
}
