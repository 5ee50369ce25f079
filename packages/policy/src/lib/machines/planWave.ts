/**
 * Chooses which machines of a maintenance wave are evacuated next.
 */

/** Progress of a machine in a wave. @public */
export enum WaveMachineState {
  /** Neither its evacuation nor its maintenance has begun. */
  Due = 'due',
  Evacuating = 'evacuating',
  /** Its maintenance has been ordered, and it is not back yet. */
  Down = 'down',
  /** It is back, or is gone for good. */
  Ended = 'ended',
}

/** A machine of a wave. @public */
export interface WaveMachine {
  readonly id: string
  readonly state: WaveMachineState
  readonly pool: string
  /** Number of long-running tasks on it, which are evacuated one after another. */
  readonly longRunningTasks: number
  /** Processor in use on it, in thousandths of a core. */
  readonly usedCpuMillis: number
  /** True while the machine is being moved or is handled by another wave. */
  readonly occupied: boolean
}

/** Input of {@link planWave}. @public */
export interface WaveView {
  /** Concurrency cap: most machines that may be evacuating or down at the same time. */
  readonly cap: number
  readonly machines: readonly WaveMachine[]
  /** Number of VMs that may get new tasks, by pool. */
  readonly usableVmsByPool: ReadonlyMap<string, number>
}

/** Machines that one wave may take from a pool at the same time, as a share of the pool's usable VMs; one machine is always allowed. */
const POOL_SHARE = 0.34

/** Share of the cap that machines with long-running tasks may take, so that others proceed beside them; one is always allowed. */
const LONG_RUNNING_SHARE = 0.5

/**
 * Returns the ids of the machines to evacuate now, within the cap and a share of each pool. Machines with long-running tasks
 * come first, as their evacuation takes seconds per task; of the others, those with the least processor in use. A machine without
 * processor in use may exceed its pool's share.
 * @public
 */
export function planWave (view: WaveView): string[] {
  const unavailable = view.machines.filter((machine) => machine.state === WaveMachineState.Evacuating || machine.state === WaveMachineState.Down)
  const takenByPool = new Map<string, number>()
  for (const machine of unavailable) takenByPool.set(machine.pool, (takenByPool.get(machine.pool) ?? 0) + 1)
  const due = view.machines.filter((machine) => machine.state === WaveMachineState.Due && !machine.occupied)
    .sort((a, b) => b.longRunningTasks - a.longRunningTasks || a.usedCpuMillis - b.usedCpuMillis)
  const chosen: string[] = []
  let longRunningCount = unavailable.filter((machine) => machine.longRunningTasks > 0).length
  for (const machine of due) {
    if (unavailable.length + chosen.length >= view.cap) break
    if (machine.longRunningTasks > 0 && longRunningCount >= Math.max(1, Math.floor(view.cap * LONG_RUNNING_SHARE))) continue
    const taken = takenByPool.get(machine.pool) ?? 0
    const allowed = Math.max(1, Math.floor((view.usableVmsByPool.get(machine.pool) ?? 0) * POOL_SHARE))
    if (taken >= allowed && machine.usedCpuMillis > 0) continue
    takenByPool.set(machine.pool, taken + 1)
    if (machine.longRunningTasks > 0) longRunningCount += 1
    chosen.push(machine.id)
  }
  return chosen
}
