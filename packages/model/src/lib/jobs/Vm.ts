/**
 * Registrations and answers of the VMs that run tasks.
 */
import type { Address } from '../settings/settingsSchema.js'
import type { Capacity } from './JobSpec.js'

/** A VM's registration. @public */
export interface VmEntry {
  /** Id of the VM. A VM that is started again may keep its id; `bornMs` then differs. */
  readonly id: string
  /** Id of the machine that the VM runs on, which outlives the VM. */
  readonly machine?: string
  readonly pool: string
  /** Address at which the VM takes orders. */
  readonly address: Address
  /** Availability zone. */
  readonly zone: string
  /** Capacity of the whole VM, free or in use. */
  readonly capacity: Capacity
  /** Labels that steps may require; the last one is the VM's rack. */
  readonly labels: readonly string[]
  /** True if the VM is about to stop and must get no new tasks. */
  readonly draining: boolean
  /**
   * Start of the VM's incarnation in milliseconds since 1970, or 0 if it is not known.
   * A new value means that the VM was restarted and has lost all its runs and end entries.
   */
  readonly bornMs: number
}

/** How a run of a task ended. @public */
export enum RunEnd {
  /** The task ended with success. */
  Done = 'done',
  /** The task ended with an error. */
  Failed = 'failed',
  /** The owner stopped the run. */
  Stopped = 'stopped',
  /** The lease of the VM expired; also stands for an end of a kind that is not known. */
  LeaseExpired = 'lapsed',
  Broken = 'broken',
  Alone = 'alone',
}

/** A run that a VM lists as present. @public */
export interface RunningEntry {
  /** Name of the task, as `formatTaskName` writes it. */
  readonly task: string
  /** Number of the run, which rises with each run of the task. */
  readonly run: number
  /** Latest checkpoint, or an empty text if there is none. */
  readonly checkpoint: string
  /** Pace at which the task works, 0 to 100 percent; 0 also while the run is being restored. */
  readonly percent: number
  /** For a latency-sensitive task its tail latency in milliseconds, for others the thousandths of a core in use. */
  readonly usage?: number
}

/** A run that ended on a VM. The VM lists the entry until the owner has acknowledged it. @public */
export interface EndEntry {
  /** Number of the entry, which rises from 1 in each incarnation of the VM. */
  readonly number: number
  /** Name of the task, as `formatTaskName` writes it. */
  readonly task: string
  /** Number of the run. */
  readonly run: number
  readonly end: RunEnd
  /** Last checkpoint, or an empty text if there is none. */
  readonly checkpoint: string
}

/** A VM's answer to a renewal of its lease. @public */
export interface VmReport {
  /** Time of the VM's steady clock in milliseconds; the ends of its leases are given on this clock. */
  readonly clockMs: number
  /** Start of the VM's incarnation in milliseconds since 1970. */
  readonly bornMs?: number
  /** All runs that are present. */
  readonly running: readonly RunningEntry[]
  /** End entries that the owner has not acknowledged; a long list may lack later ones. */
  readonly ends: readonly EndEntry[]
}

/** Reason why an order was not carried out. In each of these cases the VM did nothing. @public */
export enum OrderRefusal {
  /** The VM has seen a higher fencing token, so another daemon owns the shard. */
  Fenced = 'fenced',
  /** The number of the run is not higher than that of an earlier run of the task. */
  OldRun = 'old-run',
  /** The lease in the order had already expired. */
  LeaseExpired = 'lease-over',
  /** The VM lacks free capacity. */
  NoRoom = 'no-room',
  /** The admission service's ticket is missing or not valid. */
  NoTicket = 'no-ticket',
  /** A VM with another id answered at the address, such as a later incarnation. */
  OtherIncarnation = 'other-life',
  /** The VM has started again under its id, so the incarnation that the order was meant for has ended. */
  Restarted = 'restarted',
  /** The VM was overloaded or unhealthy. */
  Unhealthy = 'unhealthy',
  /** The VM rejected the order as malformed, or gave a reason that is not known here. */
  Invalid = 'invalid',
  /** No connection could be opened, so nothing was sent. */
  NotSent = 'not-sent',
}
