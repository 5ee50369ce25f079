/**
 * Machines and VMs of a simulated day.
 */
import type { Capacity, EndEntry, VmEntry } from '@vanillathread/model'
import type { TrackedRun } from '@vanillathread/policy'
import type { LoadSite } from './LoadSite.js'

/** A machine with its VM. */
export interface SimulatedMachine {
  readonly id: string
  pool: string
  vmId: string | undefined
  /** Pool of a move in progress. */
  toPool: string | undefined
  /** True from the order of a move until its VM is up. */
  down: boolean
  bootNumber: number
  /** Time until which the machine is away; 0 if it is not. */
  awayUntilMs: number
}

/** A VM with its runs and the times at which they started. */
export interface SimulatedVm {
  readonly runs: Map<TrackedRun, number>
  readonly ends: EndEntry[]
  nextEnd: number
  reportDue: boolean
}

/** Returns true if machines of a pool run nothing and cost nothing. */
export function isStandby (site: LoadSite, pool: string): boolean {
  return site.pools.some((each) => each.standby && each.name === pool)
}

/** Creates the registration of a machine's VM. */
export function createEntry (id: string, machine: SimulatedMachine, capacity: Capacity, nowMs: number): VmEntry {
  return { id, machine: machine.id, pool: machine.pool, address: { host: 'h', port: 1 }, zone: 'z', labels: ['k', `rack-${machine.id.length}`], draining: false, bornMs: Math.round(nowMs) + 1, capacity }
}
