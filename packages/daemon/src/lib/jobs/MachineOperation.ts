/**
 * A machine operation in progress: the evacuation of the machine's VM, the order, and the wait until the machine is back.
 */
import type { TrackedVm } from '@vanillathread/policy'
import type { MachineAnswer } from '@vanillathread/ports'
import type { PreviousVm } from './WaveProgressStore.js'

/** What is to be done with a machine. */
export interface MachineOperationPlan {
  readonly machine: string
  /** Wave of a maintenance, or undefined for a move. */
  readonly wave?: number
  /** Pool of a move, or undefined for a maintenance. */
  readonly toPool?: string
}

/** A move or maintenance of one machine. */
export interface MachineOperation extends MachineOperationPlan {
  /** VM that is evacuated for the operation, if the machine has one. */
  vmId?: string
  /** VM that was on the machine before the operation, as stored with a maintenance order; its id is empty if there was none. */
  former: PreviousVm
  /**
   * `evacuating`: the VM is being evacuated, and the order follows; `ordering`: an order awaits its answer or its retry;
   * `underway`: the platform accepted the order.
   */
  phase: 'evacuating' | 'ordering' | 'underway'
  /** Time at which the platform accepted the order. */
  confirmedAtMs: number
  /** True once an order was sent. */
  sent: boolean
  /** True if the outcome of an order is unknown, so that it may be carried out although a later one is refused. */
  mayBeCarriedOut: boolean
  /**
   * True if an order was sent before the machine got its present VM. That order may have been carried out, so an accepted
   * repetition does not prove that the VM has ended; the list of machines shows whether it has.
   */
  mayPrecedeVm: boolean
}

/** Creates an operation that begins with the evacuation of the machine's VM, if it has one. */
export function createMachineOperation (plan: MachineOperationPlan, vm: TrackedVm | undefined): MachineOperation {
  const former = { vmId: vm?.id ?? '', bornMs: vm?.entry.bornMs ?? 0 }
  return { ...plan, vmId: vm?.id, former, phase: 'evacuating', confirmedAtMs: 0, sent: false, mayBeCarriedOut: false, mayPrecedeVm: false }
}

/** Returns the reason of an order that was not carried out or has an unknown outcome, to be logged. */
export function describeAnswer (answer: MachineAnswer): string | undefined {
  if (answer.kind === 'refused') return answer.refusal
  return answer.kind === 'unknown' ? answer.reason : undefined
}
