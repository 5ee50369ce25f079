/**
 * What clients, VMs and the platform saw of a run, and the promises that it breaks.
 */
import { JobState, parseTaskName, RunEnd, type EndEntry, type JobSpec } from '@vanillathread/model'
import type { StartCall } from '@vanillathread/ports'
import type { MachineObserver, StandInRun, VmObserver, VmStandIn } from '@vanillathread/stand-ins'

/** A promise that a run broke. */
export interface Violation {
  readonly rule: string
  readonly atMs: number
  readonly what: string
}

/** A job as its client knows it. */
export interface SubmittedJob {
  readonly id: string
  readonly spec: JobSpec
  readonly poison: boolean
  accepted: boolean
  refused: boolean
  cancelled: boolean
  /** Clients hand a job in once more where they got no answer. */
  shown?: JobState
  completeAtMs?: number
  readonly submittedAtMs: number
}

/** Records and judges. */
export class JobHistory implements VmObserver, MachineObserver {
  readonly violations: Violation[] = []
  readonly jobs = new Map<string, SubmittedJob>()
  starts = 0
  readonly completeWaves = new Set<number>()
  private readonly live = new Map<string, Map<VmStandIn, number>>()
  private readonly ended = new Set<string>()
  private readonly noted = new Set<string>()
  /** Ends that VMs listed as failed, by task; those that were noted count as attempts for good. */
  private readonly failedEnds = new Map<string, number>()
  private readonly failures = new Map<string, number>()

  private constructor (private readonly now: () => number, private readonly maxAttempts: number) {}

  static create (options: { now: () => number, maxAttempts: number }): JobHistory {
    return new JobHistory(options.now, options.maxAttempts)
  }

  onStart (vm: VmStandIn, run: StandInRun, call: StartCall): void {
    this.starts += 1
    const job = this.checkAsked(run, call)
    const holders = this.live.get(run.task) ?? new Map<VmStandIn, number>()
    for (const other of holders.keys()) {
      if (other.alive && other !== vm) this.report('TWICE', `${run.task} runs on ${other.id} and on ${vm.id}`)
    }
    holders.set(vm, run.run)
    this.live.set(run.task, holders)
    if (this.noted.has(run.task)) this.report('TWICE', `${run.task} started after its end was noted`)
    this.checkRoom(vm)
    if (job !== undefined) this.checkOrder(run.task, job)
    // Long-running tasks are started again however they end.
    const limited = run.behaviour.durationMs !== undefined
    if (limited && (this.failures.get(run.task) ?? 0) >= this.maxAttempts) this.report('BUDGET', `${run.task} started after ${this.maxAttempts} failures`)
  }

  onEnd (vm: VmStandIn, run: StandInRun, end: RunEnd): void {
    this.live.get(run.task)?.delete(vm)
    if (end === RunEnd.Done) this.ended.add(run.task)
    if (end === RunEnd.Failed) this.failedEnds.set(run.task, (this.failedEnds.get(run.task) ?? 0) + 1)
  }

  onNoted (_vm: VmStandIn, ends: readonly EndEntry[]): void {
    for (const end of ends) {
      if (end.end === RunEnd.Done) this.noted.add(end.task)
      if (end.end === RunEnd.Failed) this.failures.set(end.task, (this.failures.get(end.task) ?? 0) + 1)
    }
  }

  onMaintenance (machine: string, wave: number, downBefore: number): void {
    const cap = this.caps.get(wave) ?? 0
    if (downBefore >= cap) this.report('LIMIT', `${machine} goes down for wave ${wave} beside ${downBefore} others, cap ${cap}`)
  }

  onTakenDown (machine: string, runs: readonly StandInRun[]): void {
    const taken = new Set<string>()
    for (const { task } of runs) {
      const name = parseTaskName(task)
      const job = this.jobs.get(name?.jobId ?? '')
      const step = job?.spec.steps[name?.step ?? 0]
      if (job === undefined || job.cancelled || step === undefined || !step.longRunning || step.mayMiss === 0) continue
      const away = listTasks(job).filter((other) => other !== task && (taken.has(other) || ![...this.live.get(other)?.keys() ?? []].some((vm) => vm.alive))).length
      taken.add(task)
      if (away >= step.mayMiss) this.report('AVAIL', `an order for ${machine} ends ${task} while ${away} others of its step are away`)
    }
  }

  onWaveComplete (wave: number): void {
    this.completeWaves.add(wave)
    const open = this.listUnmaintained(wave)
    if (open.length > 0) this.report('MIXED', `wave ${wave} is said to be complete, and ${open.join(', ')} had no maintenance`)
  }

  /** Machines of a wave whose maintenance has not begun; set by the lab. */
  listUnmaintained: (wave: number) => readonly string[] = () => []

  /** Caps of the waves that were requested. */
  readonly caps = new Map<number, number>()

  /** Notes what a client was told of a job's state. */
  onShown (job: SubmittedJob, state: JobState): void {
    job.shown = state
    if (state === JobState.Complete) {
      job.completeAtMs ??= this.now()
      for (const task of listTasks(job)) {
        if (!this.ended.has(task)) this.report('MIXED', `${job.id} is shown as complete, and ${task} has not ended`)
      }
    }
    if (state === JobState.Failed && !this.hasSpentAttempts(job)) this.report('LOST', `${job.id} is shown as failed without cause`)
    if (state === JobState.Cancelled && !job.cancelled) this.report('LOST', `${job.id} is shown as cancelled without cause`)
  }

  onUnknown (job: SubmittedJob): void {
    if (job.accepted) this.report('LOST', `${job.id} was accepted and is not known`)
  }

  /** Judges what must be true once everything is quiet. */
  judgeEnd (): void {
    for (const job of this.jobs.values()) {
      if (!job.accepted || job.cancelled) continue
      const lasting = job.spec.steps.some((step) => step.longRunning)
      if (lasting) {
        for (const task of listTasks(job)) {
          if (![...this.live.get(task)?.keys() ?? []].some((vm) => vm.alive)) this.report('LOST', `long-running ${task} does not run`)
        }
      } else if (job.shown !== (this.hasSpentAttempts(job) ? JobState.Failed : JobState.Complete)) {
        this.report('LOST', `${job.id} was accepted and is shown as ${job.shown ?? 'nothing'}`)
      }
    }
  }

  /** A VM that fails what it runs can use up a sound job's attempts. */
  private hasSpentAttempts (job: SubmittedJob): boolean {
    return listTasks(job).some((task) => (this.failedEnds.get(task) ?? 0) >= this.maxAttempts)
  }

  private checkAsked (run: StandInRun, call: StartCall): SubmittedJob | undefined {
    const job = this.jobs.get(parseTaskName(run.task)?.jobId ?? '')
    if (job === undefined) this.report('UNASKED', `${run.task} was never asked for`)
    else if (job.spec.payload !== call.payload) this.report('UNASKED', `${run.task} has another payload`)
    else if (job.refused && !job.accepted) this.report('REFUSED', `${run.task} runs although its job was refused`)
    return job
  }

  private checkRoom (vm: VmStandIn): void {
    let cpuMillis = 0
    let memoryMb = 0
    for (const { behaviour } of vm.runs.values()) {
      cpuMillis += behaviour.cpuMillis
      memoryMb += behaviour.memoryMb
    }
    const { capacity } = vm.entry
    if (cpuMillis > capacity.cpuMillis || memoryMb > capacity.memoryMb) this.report('LIMIT', `${vm.id} holds ${cpuMillis} of ${capacity.cpuMillis}, ${memoryMb} MB of ${capacity.memoryMb}`)
  }

  private checkOrder (task: string, job: SubmittedJob): void {
    const name = parseTaskName(task)
    for (const before of job.spec.steps[name?.step ?? 0]?.after ?? []) {
      const open = listTasks(job).filter((each) => parseTaskName(each)?.step === before && !this.ended.has(each))
      if (open.length > 0) this.report('ORDER', `${task} started before ${open[0]} had ended`)
    }
  }

  private report (rule: string, what: string): void {
    this.violations.push({ rule, atMs: Math.round(this.now()), what })
  }
}

function listTasks (job: SubmittedJob): string[] {
  return job.spec.steps.flatMap((step, index) => Array.from({ length: step.taskCount }, (_unused, task) => `${job.id}.0.${index}.${task}`))
}
