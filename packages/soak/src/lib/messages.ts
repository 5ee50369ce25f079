/**
 * Messages between the soak and the processes of its stand-ins, sent over the IPC channel of each process.
 */
import type { EndEntry, RunEnd, VmEntry } from '@vanillathread/model'
import type { StartCall } from '@vanillathread/ports'
import type { StoreFault, VmFault, VmStandInRun } from '@vanillathread/stand-ins'

/** Command to the process of the store. */
export type StoreCommand =
  | { readonly kind: 'put', readonly table: string, readonly key: string, readonly value: unknown }
  | { readonly kind: 'remove', readonly table: string, readonly key: string }
  | { readonly kind: 'fault', readonly fault: StoreFault }
  | { readonly kind: 'drop-history' }

/** Event from the process of the store. */
export type StoreEvent =
  | { readonly kind: 'ready', readonly port: number }
  /** A daemon has written the state of a wave. */
  | { readonly kind: 'wave-state', readonly wave: number, readonly complete: boolean }
  /** A daemon has become the owner of the shard, or, without a name, the owner has released it. */
  | { readonly kind: 'owner', readonly daemon: string | undefined }

/** Command to the process of the VMs and machines. */
export type VmCommand =
  | { readonly kind: 'crash', readonly machine: string, readonly downMs: number }
  | { readonly kind: 'restart', readonly machine: string, readonly registerDelayMs: number }
  | { readonly kind: 'drain', readonly machine: string }
  | { readonly kind: 'leave', readonly machine: string }
  | { readonly kind: 'add', readonly machine: string, readonly pool: string }
  | { readonly kind: 'fault', readonly machine: string, readonly fault: VmFault }
  | { readonly kind: 'barrier', readonly number: number }

/** Event from the process of the VMs and machines. Events have the order in which they happened. */
export type VmEvent =
  | { readonly kind: 'ready', readonly port: number }
  /** A VM is reachable and to be registered, or has changed its registration. */
  | { readonly kind: 'registered', readonly entry: VmEntry }
  | { readonly kind: 'unregistered', readonly vm: string }
  /** A VM has ended with all its runs. */
  | { readonly kind: 'died', readonly vm: string }
  /** A VM has ended with all its runs and has started again under its id. */
  | { readonly kind: 'restarted', readonly vm: string }
  | { readonly kind: 'start', readonly vm: string, readonly run: VmStandInRun, readonly order: StartCall }
  | { readonly kind: 'end', readonly vm: string, readonly run: VmStandInRun, readonly end: RunEnd }
  | { readonly kind: 'acknowledged', readonly vm: string, readonly ends: readonly EndEntry[] }
  | { readonly kind: 'take-down', readonly machine: string, readonly runs: readonly VmStandInRun[] }
  | { readonly kind: 'maintenance', readonly machine: string, readonly wave: number, readonly downBefore: number }
  /** Answers the command `barrier`: all events before the command have been sent. */
  | { readonly kind: 'barrier', readonly number: number }

/** Behaviour of a step's tasks, which the stand-ins read from the job's payload. */
export interface StepBehaviour {
  /** Absent for a long-running task. */
  readonly durationMs?: number
  readonly cpuMillis: number
  readonly memoryMb: number
}

/** Content of a job's payload. */
export interface JobPayload {
  readonly steps: readonly StepBehaviour[]
  /** True if every run of the job's tasks fails. */
  readonly poison: boolean
}

/** Sends an event to the soak. Ends the process if the soak is gone. */
export function sendEvent (event: StoreEvent | VmEvent): void {
  if (process.connected) process.send?.(event)
  else process.exit(0)
}
