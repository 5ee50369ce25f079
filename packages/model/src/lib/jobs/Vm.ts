/**
 * VMs that run tasks, as they register themselves and as they answer.
 */
import type { Address } from '../settings/settingsSchema.js'
import type { Capacity } from './JobSpec.js'

/** A VM's announcement of itself. @public */
export interface VmEntry {
  /** Id of this life of the VM. */
  readonly id: string
  /** Id of the machine, which outlives moves and maintenance. */
  readonly machine?: string
  readonly pool: string
  readonly address: Address
  readonly zone: string
  readonly capacity: Capacity
  readonly labels: readonly string[]
  readonly draining: boolean
  /** Unix milliseconds of the VM's start; a new value means that it knows nothing of before. */
  readonly bornMs: number
}

/** How a run of a task ended. @public */
export enum RunEnd {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Lapsed = 'lapsed',
  Broken = 'broken',
  Alone = 'alone',
}

/** A task's run that is on a VM. @public */
export interface RunningEntry {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** Share at which the task works, 0 to 100. */
  readonly percent: number
  /** Tail latency in milliseconds of a serving task, otherwise thousandths of a core in use. */
  readonly usage?: number
}

/** A task's run that has ended on a VM. @public */
export interface EndEntry {
  /** Rises from 1 in each life of the VM. */
  readonly number: number
  readonly task: string
  readonly run: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** What a VM answers when its lease is renewed. @public */
export interface VmReport {
  /** The VM's steady clock. */
  readonly clockMs: number
  readonly bornMs?: number
  readonly running: readonly RunningEntry[]
  readonly ends: readonly EndEntry[]
}

/** Why a VM did not carry out an order. @public */
export enum OrderRefusal {
  /** A higher fencing token was seen. */
  Fenced = 'fenced',
  /** The run's number is not above an earlier one. */
  OldRun = 'old-run',
  /** The lease given had already ended. */
  LeaseOver = 'lease-over',
  NoRoom = 'no-room',
  NoTicket = 'no-ticket',
  /** Another life of the VM answered. */
  OtherLife = 'other-life',
  /** The VM was overloaded or unhealthy and did nothing. */
  Unhealthy = 'unhealthy',
  /** The order was not understood. */
  Invalid = 'invalid',
  /** No connection could be opened, so nothing was sent. */
  NotSent = 'not-sent',
}
