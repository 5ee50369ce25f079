/**
 * The operator's rules for a team, which is a customer that shares the queues with others.
 */
import type { Capacity } from '../jobs/JobSpec.js'

/** A team in one version of the operator's configuration. @public */
export interface TeamRules {
  readonly name: string
  /** API keys, any of which authorizes a call. They must not be logged, stored or sent to other daemons. */
  readonly keys: readonly string[]
  /** The team's share when all capacity is in use, relative to the other teams; also the number of jobs a second that it may count on. */
  readonly weight: number
  /** Capacity that the team's tasks may occupy on all VMs together; 0 sets no limit. */
  readonly cap: Capacity
}
