/**
 * Sums of capacity.
 */
import type { Capacity } from '@vanillathread/model'

/** Capacity that is changed in place. */
export type MutableCapacity = { -readonly [Key in keyof Capacity]: Capacity[Key] }

/** The dimensions of capacity. */
export const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies ReadonlyArray<keyof Capacity>

export function createCapacity (): MutableCapacity {
  return { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
}

/** Adds a multiple of one capacity to another. */
export function addCapacity (sum: MutableCapacity, added: Capacity, factor: number): void {
  sum.cpuMillis += factor * added.cpuMillis
  sum.memoryMb += factor * added.memoryMb
  sum.accelerators += factor * added.accelerators
}
