/**
 * Holds back the starts of tasks that may already run under a previous owner, until the runs of the pool's VMs are known.
 */
import { EventCode } from '@vanillathread/model'
import type { SchedulerState } from '../jobs/SchedulerState.js'
import type { TrackedJob } from '../jobs/TrackedJob.js'
import type { TrackedVm } from './TrackedVm.js'

/** Waits shorter than this are not logged: most VMs answer a new owner within it. */
const MIN_LOGGED_WAIT_MS = 500

/** VMs that the log line of a wait names at the most. */
const MAX_LOGGED_VMS = 5

interface Wait {
  readonly sinceMs: number
  logged: boolean
}

/** Options of {@link StartGate.create}. @public */
export interface StartGateOptions {
  readonly state: SchedulerState
  /** Returns the time from which a VM that does not answer certainly has no runs. */
  getLeaseExpiryMs (vm: TrackedVm): number
}

/** Decides whose tasks may be started in a pool, and logs the waits that this causes. @public */
export class StartGate {
  /** Ids of VMs that were called at least once, whether they answered or not. */
  private readonly calledVms = new Set<string>()
  /** Waits in progress, by pool. */
  private readonly waits = new Map<string, Wait>()

  private constructor (private readonly options: StartGateOptions) {}

  static create (options: StartGateOptions): StartGate {
    return new StartGate(options)
  }

  recordCall (vmId: string): void {
    this.calledVms.add(vmId)
  }

  /**
   * Returns a predicate for whether tasks of a job of the pool with the given VMs may be started. A job that a previous
   * owner may have started waits until the runs of each VM that may have any are known. For any other job it suffices that each
   * of these VMs was called once.
   */
  createCheck (pool: string, vms: readonly TrackedVm[], nowMs: number): (job: TrackedJob) => boolean {
    const unreconciled = vms.filter((vm) => !vm.isReconciled && vm.mayHavePreviousRuns)
    this.logWait(pool, unreconciled, nowMs)
    const allKnown = unreconciled.length === 0
    const allCalled = unreconciled.every((vm) => this.calledVms.has(vm.id))
    return (job) => allKnown || (allCalled && !job.mayHavePreviousRuns)
  }

  /** Logs a long wait once, and its end. */
  private logWait (pool: string, unreconciled: readonly TrackedVm[], nowMs: number): void {
    const { state, getLeaseExpiryMs } = this.options
    const wait = this.waits.get(pool)
    if (unreconciled.length === 0) {
      this.waits.delete(pool)
      if (wait?.logged === true) state.logDecision(EventCode.StartsResumed, { pool, waitedMs: Math.round(nowMs - wait.sinceMs) })
    } else if (wait === undefined) {
      this.waits.set(pool, { sinceMs: nowMs, logged: false })
    } else if (!wait.logged && nowMs - wait.sinceMs >= MIN_LOGGED_WAIT_MS) {
      wait.logged = true
      const jobs = [...state.openJobs.get(pool) ?? []].filter((job) => job.mayHavePreviousRuns).length
      const vms = unreconciled.slice(0, MAX_LOGGED_VMS).map(({ id }) => id).join(' ')
      const untilInMs = Math.round(Math.max(...unreconciled.map((vm) => getLeaseExpiryMs(vm))) - nowMs)
      state.logDecision(EventCode.StartsWait, { pool, jobs, vmCount: unreconciled.length, vms, untilInMs })
    }
  }
}
