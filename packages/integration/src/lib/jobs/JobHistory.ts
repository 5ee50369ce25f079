/**
 * Records what clients, VMs and the platform observe in a simulation, and the invariants that are violated.
 */
import { JobState, parseTaskName, RunEnd, type Capacity, type EndEntry } from '@vanillathread/model'
import type { StartCall } from '@vanillathread/ports'
import type { MachineObserver, ObservedVm, VmStandInRun, VmObserver } from '@vanillathread/stand-ins'
import { AvailabilityCheck } from './AvailabilityCheck.js'
import { listTasks, type SubmittedJob } from './SubmittedJob.js'

/** An invariant that was violated. */
export interface JobViolation {
  /**
   * Short name of the invariant:
   * - `TWICE`: a task runs on two VMs, or starts after its end as done was acknowledged.
   * - `BUDGET`: a finite task starts after it has failed as often as the attempts allow, or a task that crashes VMs starts too often.
   * - `LIMIT`: the capacity of a VM or the concurrency cap of a wave is exceeded.
   * - `AVAIL`: an order for a machine or a stop makes more long-running tasks unavailable than `mayMiss` allows.
   * - `MIXED`: a job or a wave is reported as complete too early.
   * - `LOST`: an accepted job is unknown, or its state is not the one that its runs and cancels lead to.
   * - `UNASKED`: a run belongs to no submitted job, or has another payload.
   * - `REFUSED`: a task of a refused job runs.
   * - `ORDER`: a task starts before the steps that its step depends on have ended.
   */
  readonly rule: string
  /** Time on the clock of the simulation. */
  readonly atMs: number
  readonly detail: string
}

/** Time after which an owner must know that a VM has shrunk: the platform's `contact-ms` and one heartbeat interval. */
const RESIZE_KNOWN_AFTER_MS = 3_000 + 1_500

/** Number of VMs that a task must have crashed before its job may be given up. */
const CRASHES_TO_GIVE_UP = 2

/** Number of VMs after whose crash the starts of a task are counted, and the count that breaks the rule BUDGET. */
const CRASHES_BEFORE_LAST_STARTS = 3
const MAX_STARTS_AFTER_CRASHES = 3

/** Records events of a simulation and checks the invariants. */
export class JobHistory implements VmObserver, MachineObserver {
  readonly violations: JobViolation[] = []
  readonly jobs = new Map<string, SubmittedJob>()
  /** Number of runs that were started. */
  starts = 0
  readonly completeWaves = new Set<number>()
  /** VMs that run a task and the number of the run, by task. */
  private readonly live = new Map<string, Map<ObservedVm, number>>()
  /** Tasks that ended as done on a VM. */
  private readonly ended = new Set<string>()
  /** Tasks whose end as done the owner has acknowledged. */
  private readonly acknowledgedDone = new Set<string>()
  /** Number of runs that ended as failed, by task. */
  private readonly failedEnds = new Map<string, number>()
  /** Number of failed ends that the owner has acknowledged, by task. Each of them permanently counts as an attempt. */
  private readonly acknowledgedFailures = new Map<string, number>()

  /** Number of VMs that a task has crashed, by task. */
  readonly crashes = new Map<string, number>()
  /** Number of VMs that crashed while a task ran there, whatever the cause, by task. */
  private readonly crashesUnder = new Map<string, number>()
  /** Number of starts of a task after it had crashed {@link CRASHES_BEFORE_LAST_STARTS} VMs, by task. */
  private readonly startsAfterCrashes = new Map<string, number>()
  /** Capacities of VMs before their last change, by VM. */
  private readonly formerCapacities = new Map<string, { readonly capacity: Capacity, readonly untilMs: number }>()
  private readonly availability: AvailabilityCheck

  private constructor (private readonly now: () => number, private readonly maxAttempts: number) {
    this.availability = AvailabilityCheck.create({ now, findJob: (id) => this.jobs.get(id), onViolation: (detail) => this.addViolation('AVAIL', detail) })
  }

  static create (options: { now: () => number, maxAttempts: number }): JobHistory {
    return new JobHistory(options.now, options.maxAttempts)
  }

  onStart (vm: ObservedVm, run: VmStandInRun, call: StartCall): void {
    this.starts += 1
    this.availability.recordStart(run.task)
    const job = this.checkSubmitted(run, call)
    const runsByVm = this.live.get(run.task) ?? new Map<ObservedVm, number>()
    for (const other of runsByVm.keys()) {
      if (other.alive && other !== vm) this.addViolation('TWICE', `${run.task} runs on ${other.id} and on ${vm.id}`)
    }
    runsByVm.set(vm, run.run)
    this.live.set(run.task, runsByVm)
    if (this.acknowledgedDone.has(run.task)) this.addViolation('TWICE', `${run.task} started after its end was acknowledged`)
    this.checkCapacity(vm)
    if (job !== undefined) this.checkStepOrder(run.task, job)
    this.checkCrashes(run.task)
    // Long-running tasks have no limit: they are started again even if they failed.
    const hasAttemptLimit = run.behaviour.durationMs !== undefined
    if (hasAttemptLimit && (this.acknowledgedFailures.get(run.task) ?? 0) >= this.maxAttempts) this.addViolation('BUDGET', `${run.task} started after ${this.maxAttempts} failures`)
  }

  /** Records that the capacity of a VM changes. Room that has shrunk counts once its owner must have learned of it. */
  recordResize (vm: ObservedVm, former: Capacity): void {
    this.formerCapacities.set(vm.id, { capacity: former, untilMs: this.now() + RESIZE_KNOWN_AFTER_MS })
  }

  /** Records that a VM crashes, and which run causes that, if any does. */
  recordCrash (runs: readonly VmStandInRun[], cause?: VmStandInRun): void {
    if (cause !== undefined) this.crashes.set(cause.task, (this.crashes.get(cause.task) ?? 0) + 1)
    for (const { task } of runs) this.crashesUnder.set(task, (this.crashesUnder.get(task) ?? 0) + 1)
  }

  onEnd (vm: ObservedVm, run: VmStandInRun, end: RunEnd): void {
    this.live.get(run.task)?.delete(vm)
    this.availability.recordEnd(vm, run, end)
    if (end === RunEnd.Done) this.ended.add(run.task)
    if (end === RunEnd.Failed) this.failedEnds.set(run.task, (this.failedEnds.get(run.task) ?? 0) + 1)
  }

  onEndsAcknowledged (_vm: ObservedVm, ends: readonly EndEntry[]): void {
    for (const end of ends) {
      if (end.end === RunEnd.Done) this.acknowledgedDone.add(end.task)
      if (end.end === RunEnd.Failed) this.acknowledgedFailures.set(end.task, (this.acknowledgedFailures.get(end.task) ?? 0) + 1)
    }
  }

  onMaintenance (machine: string, wave: number, downBefore: number): void {
    const cap = this.caps.get(wave) ?? 0
    if (downBefore >= cap) this.addViolation('LIMIT', `${machine} goes down for wave ${wave} beside ${downBefore} others, cap ${cap}`)
  }

  onBeforeTakeDown (machine: string, runs: readonly VmStandInRun[]): void {
    const endedByOrder = new Set<string>()
    for (const { task } of runs) {
      const name = parseTaskName(task)
      const job = this.jobs.get(name?.jobId ?? '')
      const step = job?.spec.steps[name?.step ?? 0]
      if (job === undefined || job.cancelled || step === undefined || !step.longRunning || step.mayMiss === 0) continue
      const missingCount = listTasks(job).filter((other) => other !== task && (endedByOrder.has(other) || !this.isRunning(other))).length
      endedByOrder.add(task)
      if (missingCount >= step.mayMiss) this.addViolation('AVAIL', `an order for ${machine} ends ${task} while ${missingCount} others of its step do not run`)
    }
  }

  onWaveComplete (wave: number): void {
    this.completeWaves.add(wave)
    const unmaintained = this.listUnmaintained(wave)
    if (unmaintained.length > 0) this.addViolation('MIXED', `wave ${wave} is reported as complete, but ${unmaintained.join(', ')} did not get maintenance`)
  }

  /** Returns the machines of a wave whose maintenance has not begun. The lab sets it. */
  listUnmaintained: (wave: number) => readonly string[] = () => []

  /** Concurrency caps of the requested waves, by wave number. */
  readonly caps = new Map<number, number>()

  /** Records a job state that a client received, and checks it against the runs. */
  recordShownState (job: SubmittedJob, state: JobState): void {
    job.shownState = state
    if (state === JobState.Complete) {
      job.completeAtMs ??= this.now()
      for (const task of listTasks(job)) {
        if (!this.ended.has(task)) this.addViolation('MIXED', `${job.id} is shown as complete, but ${task} has not ended`)
      }
    }
    if (state === JobState.Failed && !this.hasSpentAttempts(job) && !this.hasCrashedVms(job)) this.addViolation('LOST', `${job.id} is shown as failed without cause`)
    if (state === JobState.Cancelled && !job.cancelled) this.addViolation('LOST', `${job.id} is shown as cancelled without cause`)
  }

  /** Records that a daemon answered a client that the job is unknown. */
  recordUnknownJob (job: SubmittedJob): void {
    if (job.accepted) this.addViolation('LOST', `${job.id} was accepted, but is not known`)
  }

  /** Records that a long-running task was down for too long, although there was room for it. */
  recordDownTask (task: string, downMs: number): void {
    this.addViolation('LOST', `long-running ${task} has been down for ${Math.round(downMs)} ms with room for it`)
  }

  /** Checks what must be true when all load and faults have ended and the system has settled. */
  checkFinalState (): void {
    for (const job of this.jobs.values()) {
      if (!job.accepted || job.cancelled) continue
      const hasLongRunningStep = job.spec.steps.some((step) => step.longRunning)
      if (hasLongRunningStep && !this.hasCrashedVms(job)) {
        for (const task of listTasks(job)) {
          if (!this.isRunning(task)) this.addViolation('LOST', `long-running ${task} does not run`)
        }
      } else if (job.shownState !== (this.hasSpentAttempts(job) || this.hasCrashedVms(job) ? JobState.Failed : JobState.Complete)) {
        this.addViolation('LOST', `${job.id} was accepted, but is shown as ${job.shownState ?? 'nothing'}`)
      }
    }
  }

  /** Returns true if a VM that is alive runs the task. */
  isRunning (task: string): boolean {
    return [...this.live.get(task)?.keys() ?? []].some((vm) => vm.alive)
  }

  /** Returns true if a run of the task has ended as done. */
  hasEnded (task: string): boolean {
    return this.ended.has(task)
  }

  /** Returns true if a task has used up its attempts. A VM that fails all its tasks can cause this for any job. */
  hasSpentAttempts (job: SubmittedJob): boolean {
    return listTasks(job).some((task) => (this.failedEnds.get(task) ?? 0) >= this.maxAttempts)
  }

  /** Returns true if the job has a deadly task, and as many VMs have crashed under it as it takes to give the job up. */
  private hasCrashedVms (job: SubmittedJob): boolean {
    return job.deadlyTask !== undefined && listTasks(job).some((task) => (this.crashesUnder.get(task) ?? 0) >= CRASHES_TO_GIVE_UP)
  }

  private checkCrashes (task: string): void {
    if ((this.crashes.get(task) ?? 0) < CRASHES_BEFORE_LAST_STARTS) return
    const starts = (this.startsAfterCrashes.get(task) ?? 0) + 1
    this.startsAfterCrashes.set(task, starts)
    if (starts >= MAX_STARTS_AFTER_CRASHES) this.addViolation('BUDGET', `${task} is started for the ${starts}th time after it crashed ${CRASHES_BEFORE_LAST_STARTS} VMs`)
  }

  /** Checks that a run belongs to a submitted job that was not refused and has its payload. Returns the job. */
  private checkSubmitted (run: VmStandInRun, call: StartCall): SubmittedJob | undefined {
    const job = this.jobs.get(parseTaskName(run.task)?.jobId ?? '')
    if (job === undefined) this.addViolation('UNASKED', `${run.task} belongs to no submitted job`)
    else if (job.spec.payload !== call.payload) this.addViolation('UNASKED', `${run.task} has a payload that is not its job's`)
    else if (job.refused && !job.accepted) this.addViolation('REFUSED', `${run.task} runs although its job was refused`)
    return job
  }

  /** Checks that the runs on a VM do not need more than its capacity. */
  private checkCapacity (vm: ObservedVm): void {
    let cpuMillis = 0
    let memoryMb = 0
    for (const { behaviour } of vm.runs.values()) {
      cpuMillis += behaviour.cpuMillis
      memoryMb += behaviour.memoryMb
    }
    const former = this.formerCapacities.get(vm.id)
    const isFormerValid = former !== undefined && former.untilMs > this.now()
    const capacity = isFormerValid && former.capacity.cpuMillis > vm.entry.capacity.cpuMillis ? former.capacity : vm.entry.capacity
    if (cpuMillis > capacity.cpuMillis || memoryMb > capacity.memoryMb) this.addViolation('LIMIT', `${vm.id} holds ${cpuMillis} of ${capacity.cpuMillis}, ${memoryMb} MB of ${capacity.memoryMb}`)
  }

  private checkStepOrder (task: string, job: SubmittedJob): void {
    const name = parseTaskName(task)
    for (const precedingStep of job.spec.steps[name?.step ?? 0]?.after ?? []) {
      const unfinished = listTasks(job).filter((each) => parseTaskName(each)?.step === precedingStep && !this.ended.has(each))
      if (unfinished.length > 0) this.addViolation('ORDER', `${task} started before ${unfinished[0]} had ended`)
    }
  }

  addViolation (rule: string, detail: string): void {
    this.violations.push({ rule, atMs: Math.round(this.now()), detail })
  }
}
