/**
 * Checks that long-running tasks are not down for longer than the platform's rule LOST allows, while a simulation runs.
 */
import { formatTaskName } from '@vanillathread/model'
import { VmFault, type VmStandIn } from '@vanillathread/stand-ins'
import type { SubmittedJob } from './SubmittedJob.js'
import type { JobLab } from './JobLab.js'

/** Time after a task's last run for which the rule does not hold. */
const RESTART_MS = 6_000

/** Time for which a task must be down, with room for it, to break the rule. */
const DOWN_MS = 3_000

/** Time before `DOWN_MS` without unplanned disruption. */
const CALM_BEFORE_MS = 4_000

const PERIOD_MS = 250

/** Number of VMs that must have room, as one of them may be about to be moved. */
const MIN_VMS_WITH_ROOM = 2

/** A time with unplanned disruption. */
export interface Disruption {
  readonly fromMs: number
  readonly toMs: number
}

/** Options of {@link DownTimeCheck.create}. */
export interface DownTimeCheckOptions {
  readonly lab: JobLab
  readonly disruptions: readonly Disruption[]
}

/** Looks at all long-running tasks of a lab periodically. */
export class DownTimeCheck {
  /** Times at which tasks that have run were last seen running, by name. */
  private readonly seenAtMs = new Map<string, number>()
  /** Times since which tasks that are down have had room and calm, by name. */
  private readonly lostSinceMs = new Map<string, number>()
  private readonly reported = new Set<string>()

  private constructor (private readonly options: DownTimeCheckOptions) {
    options.lab.timers.every(PERIOD_MS, () => this.check())
  }

  static create (options: DownTimeCheckOptions): DownTimeCheck {
    return new DownTimeCheck(options)
  }

  private check (): void {
    const { lab } = this.options
    const nowMs = lab.timers.now()
    const running = new Set<string>()
    for (const vm of lab.fleet.vms) {
      for (const { task } of vm.runs.values()) running.add(task)
    }
    for (const task of running) this.seenAtMs.set(task, nowMs)
    const calm = this.options.disruptions.every(({ fromMs, toMs }) => fromMs > nowMs || toMs + CALM_BEFORE_MS < nowMs)
    for (const job of lab.history.jobs.values()) {
      if (!job.accepted || job.cancelled) continue
      job.spec.steps.forEach((step, stepIndex) => {
        if (!step.longRunning) return
        for (let index = 0; index < step.taskCount; index++) {
          const task = formatTaskName({ jobId: job.id, occurrence: 0, step: stepIndex, index })
          this.checkTask(job, stepIndex, task, calm && !running.has(task), nowMs)
        }
      })
    }
  }

  private checkTask (job: SubmittedJob, step: number, task: string, isDownInCalm: boolean, nowMs: number): void {
    const seenAtMs = this.seenAtMs.get(task)
    if (!isDownInCalm || seenAtMs === undefined || nowMs - seenAtMs <= RESTART_MS || !this.hasRoom(job, step)) {
      this.lostSinceMs.delete(task)
      return
    }
    const sinceMs = this.lostSinceMs.get(task) ?? nowMs
    this.lostSinceMs.set(task, sinceMs)
    if (nowMs - sinceMs < DOWN_MS || this.reported.has(task)) return
    this.reported.add(task)
    this.options.lab.history.recordDownTask(task, nowMs - seenAtMs)
  }

  private hasRoom (job: SubmittedJob, stepIndex: number): boolean {
    const { lab } = this.options
    const vms = [...lab.fleet.machines.values()].flatMap(({ machine, vm }) => vm !== undefined && machine.pool === lab.getPool(job) && !lab.isInWave(machine.id) ? [vm] : [])
    return vms.filter((vm) => hasRoomFor(vm, job, stepIndex)).length >= MIN_VMS_WITH_ROOM
  }
}

/** Returns true if a VM that works has room for two tasks of a step, and the step's limit of tasks on a VM allows one more. */
function hasRoomFor (vm: VmStandIn, job: SubmittedJob, stepIndex: number): boolean {
  const step = job.spec.steps[stepIndex]
  if (step === undefined || vm.fault !== VmFault.None || vm.entry.draining) return false
  const runs = [...vm.runs.values()]
  const usedCpuMillis = runs.reduce((sum, { behaviour }) => sum + behaviour.cpuMillis, 0)
  const usedMemoryMb = runs.reduce((sum, { behaviour }) => sum + behaviour.memoryMb, 0)
  const ofStep = runs.filter(({ task }) => task.startsWith(`${job.id}.0.${stepIndex}.`)).length
  return vm.entry.capacity.cpuMillis - usedCpuMillis >= 2 * step.need.cpuMillis && vm.entry.capacity.memoryMb - usedMemoryMb >= 2 * step.need.memoryMb &&
    (step.maxTasksPerVm === undefined || ofStep < step.maxTasksPerVm)
}
