/**
 * How many tasks of a step count as demand for machines: those that the cap of their team forbids at present do not.
 */
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import { addCapacity, DIMENSIONS, type MutableCapacity } from './capacity.js'
import type { TeamScheduling } from './TeamScheduling.js'

/** Counts the tasks of a pool's steps, which share the room under the caps of their teams. @public */
export class TeamDemand {
  private readonly roomByTeam = new Map<string, MutableCapacity | undefined>()

  private constructor (private readonly teams: TeamScheduling) {}

  static create (teams: TeamScheduling): TeamDemand {
    return new TeamDemand(teams)
  }

  /** Returns the number of the step's tasks that run or may start under the cap. */
  countOpen (step: TrackedStep): number {
    const open = step.tasks.length - step.doneCount
    const { team } = step.occurrence.job.accepted
    if (team === undefined) return open
    if (!this.roomByTeam.has(team)) this.roomByTeam.set(team, this.copyRoom(team))
    const room = this.roomByTeam.get(team)
    if (room === undefined) return open
    const waiting = step.tasks.filter((task) => !task.done && task.runs.size === 0)
    const { need, gang } = step.spec
    let permitted = waiting.length
    for (const dimension of DIMENSIONS) {
      if (need[dimension] > 0) permitted = Math.min(permitted, Math.floor(room[dimension] / need[dimension]))
    }
    if (gang && permitted < waiting.length) permitted = 0
    // A large task may start although it does not fit into the room.
    if (permitted <= 0) permitted = !gang && waiting.length > 0 && this.teams.ledger.allows(waiting.slice(0, 1)) ? 1 : 0
    addCapacity(room, need, -permitted)
    return open - waiting.length + permitted
  }

  private copyRoom (team: string): MutableCapacity | undefined {
    const room = this.teams.ledger.getRoom(team)
    return room === undefined ? undefined : { ...room }
  }
}
