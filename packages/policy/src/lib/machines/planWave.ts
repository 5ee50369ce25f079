/**
 * Decides which machines of a maintenance wave are emptied next.
 */

/** How far a machine of a wave is. @public */
export enum WaveMachineState {
  /** Not begun. */
  Due = 'due',
  Evacuating = 'evacuating',
  /** Ordered, and not back yet. */
  Down = 'down',
  /** Back, or gone for good. */
  Ended = 'ended',
}

/** A machine of a wave. @public */
export interface WaveMachine {
  readonly id: string
  readonly state: WaveMachineState
  readonly pool: string
  /** Long-running tasks on it, which are taken away one after another. */
  readonly lastingTasks: number
  /** Processor in use on it, in thousandths of a core. */
  readonly usedCpuMillis: number
  /** True while something else is done with the machine. */
  readonly occupied: boolean
}

/** What wave planning sees. @public */
export interface WaveView {
  readonly cap: number
  readonly machines: readonly WaveMachine[]
  /** Machines of each pool that serve now. */
  readonly servingByPool: ReadonlyMap<string, number>
}

/** Share of a pool's serving machines that one wave may take at the same time. */
const POOL_SHARE = 0.34

/** Share of the cap that machines with long-running tasks may take, so that the others go on beside them. */
const LASTING_SHARE = 0.5

/**
 * Returns the machines to empty now, within the cap and a share of each pool. Those with long-running tasks come first, as
 * emptying them takes seconds a task; then the least used.
 * @public
 */
export function planWave (view: WaveView): string[] {
  const busy = view.machines.filter((machine) => machine.state === WaveMachineState.Evacuating || machine.state === WaveMachineState.Down)
  const busyByPool = new Map<string, number>()
  for (const machine of busy) busyByPool.set(machine.pool, (busyByPool.get(machine.pool) ?? 0) + 1)
  const due = view.machines.filter((machine) => machine.state === WaveMachineState.Due && !machine.occupied)
    .sort((a, b) => b.lastingTasks - a.lastingTasks || a.usedCpuMillis - b.usedCpuMillis)
  const chosen: string[] = []
  let lasting = busy.filter((machine) => machine.lastingTasks > 0).length
  for (const machine of due) {
    if (busy.length + chosen.length >= view.cap) break
    if (machine.lastingTasks > 0 && lasting >= Math.max(1, Math.floor(view.cap * LASTING_SHARE))) continue
    const taken = busyByPool.get(machine.pool) ?? 0
    const allowed = Math.max(1, Math.floor((view.servingByPool.get(machine.pool) ?? 0) * POOL_SHARE))
    if (taken >= allowed && machine.usedCpuMillis > 0) continue
    busyByPool.set(machine.pool, taken + 1)
    if (machine.lastingTasks > 0) lasting += 1
    chosen.push(machine.id)
  }
  return chosen
}
