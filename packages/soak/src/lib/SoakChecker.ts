/**
 * Checks what clients and VMs see during a soak, with the job history of the lab and with bounds of time.
 */
import { JobHistory, listTasks, type JobViolation, type SubmittedJob } from '@vanillathread/integration'
import { JobState, parseTaskName, type VmEntry } from '@vanillathread/model'
import type { ObservedVm, VmStandInRun } from '@vanillathread/stand-ins'
import type { VmEvent } from './messages.js'
import { MAX_ATTEMPTS } from './SoakCluster.js'

/** Time without an unplanned fault after which the bounds of progress hold: the rules' `contact-ms` and 4 s. */
const CALM_MS = 7_000

/** A task must not wait longer than this after its last run: 6 s, and 3 s with room for it. */
const MAX_IDLE_MS = 9_000

/** Time for which there must have been room. */
const ROOM_MS = 3_000

/** Time without any fault after which daemons are in touch. */
const CONTACT_MS = 3_000

/** Times from the acknowledgement of a cancel until no task may start, and until no task may run. */
const CANCEL_MS = 3_000
const CANCELLED_RUN_MS = CANCEL_MS + 900

/** Time from the registration as draining until no task may start on a VM. */
const DRAIN_MS = 2_000

/** Time from the acceptance of a job until every daemon must know it. */
const VISIBLE_MS = 3_000

/** A VM as the events describe it. */
interface MirroredVm extends ObservedVm {
  alive: boolean
  entry: VmEntry
  readonly runs: Map<string, VmStandInRun>
  drainingAtMs?: number
}

/** What the checker knows of a job beside the history. */
interface JobRecord {
  readonly job: SubmittedJob
  readonly pool: string
  acceptedAtMs?: number
  cancelAckAtMs?: number
  /** Time at which the client received a final state. */
  finalAtMs?: number
  /** Time since which the job's pool has had room twice over, by step. */
  readonly roomSinceMs: Map<number, number>
}

/** Checker of one soak. */
export class SoakChecker {
  readonly history: JobHistory
  readonly jobs = new Map<string, JobRecord>()
  readonly unmaintained = new Map<number, Set<string>>()
  private readonly vms = new Map<string, MirroredVm>()
  /** End of the latest run, by task. */
  private readonly lastRunMs = new Map<string, number>()
  private readonly reported = new Set<string>()
  private activeFaults = 0
  private activeUnplanned = 0
  private lastFaultMs = 0
  private lastUnplannedMs = 0
  private startMs = performance.now()

  private constructor () {
    this.history = JobHistory.create({ now: () => this.nowMs(), maxAttempts: MAX_ATTEMPTS })
    this.history.listUnmaintained = (wave) => [...this.unmaintained.get(wave) ?? []].filter((machine) => this.listVms().some((vm) => vm.entry.machine === machine))
  }

  static create (): SoakChecker {
    return new SoakChecker()
  }

  /** Begins the time of the soak, when all processes have started. */
  begin (): void {
    this.startMs = performance.now()
  }

  /** Time since {@link begin}. */
  nowMs (): number {
    return performance.now() - this.startMs
  }

  get violations (): readonly JobViolation[] {
    return this.history.violations
  }

  /** Returns the VMs that are alive, in a fixed order. */
  listVms (): MirroredVm[] {
    return [...this.vms.values()].filter((vm) => vm.alive)
  }

  beginFault (isPlanned: boolean): void {
    this.activeFaults += 1
    if (!isPlanned) this.activeUnplanned += 1
  }

  endFault (isPlanned: boolean): void {
    this.activeFaults -= 1
    this.lastFaultMs = this.nowMs()
    if (isPlanned) return
    this.activeUnplanned -= 1
    this.lastUnplannedMs = this.lastFaultMs
  }

  /** Returns true if no unplanned fault, or with `strict` no fault at all, has been active since a time. */
  isCalmSince (sinceMs: number, strict: boolean): boolean {
    return strict ? this.activeFaults === 0 && this.lastFaultMs < sinceMs : this.activeUnplanned === 0 && this.lastUnplannedMs < sinceMs
  }

  addJob (job: SubmittedJob, pool: string): void {
    this.history.jobs.set(job.id, job)
    this.jobs.set(job.id, { job, pool, roomSinceMs: new Map() })
  }

  addWave (wave: number, machines: readonly string[], cap: number): void {
    this.history.caps.set(wave, cap)
    this.unmaintained.set(wave, new Set(machines))
  }

  recordAccepted (job: SubmittedJob): void {
    const record = this.jobs.get(job.id)
    job.accepted = true
    if (record !== undefined) record.acceptedAtMs ??= this.nowMs()
  }

  recordCancelled (job: SubmittedJob): void {
    const record = this.jobs.get(job.id)
    if (record !== undefined) record.cancelAckAtMs ??= this.nowMs()
  }

  /** Records a state that a daemon sent to a request of the time `sentAtMs`. */
  recordState (job: SubmittedJob, state: JobState, sentAtMs: number): void {
    const record = this.jobs.get(job.id)
    const isFinal = state !== JobState.Queued && state !== JobState.Running
    // Answers may overtake each other, so only a request that was sent after the final state was received counts.
    if (record?.finalAtMs !== undefined && sentAtMs > record.finalAtMs && state !== job.shownState) this.report('BACK', `${job.id} is shown as ${state} after ${job.shownState ?? ''}`)
    if (record?.finalAtMs !== undefined && !isFinal) return
    this.history.recordShownState(job, state)
    if (record !== undefined && isFinal) record.finalAtMs ??= this.nowMs()
  }

  /** Records that a daemon does not know a job, in the answer to a request of the time `sentAtMs`. */
  recordUnknown (job: SubmittedJob, sentAtMs: number): void {
    const acceptedAtMs = this.jobs.get(job.id)?.acceptedAtMs ?? Infinity
    if (sentAtMs < acceptedAtMs + VISIBLE_MS) return
    if (this.isCalmSince(sentAtMs - CONTACT_MS, true)) this.history.recordUnknownJob(job)
  }

  handleVmEvent (event: VmEvent): void {
    switch (event.kind) {
      case 'registered': return this.handleRegistration(event.entry)
      case 'died': {
        const vm = this.vms.get(event.vm)
        if (vm === undefined) return
        vm.alive = false
        for (const run of vm.runs.values()) this.lastRunMs.set(run.task, this.nowMs())
        vm.runs.clear()
        return
      }
      case 'restarted': {
        const entry = this.vms.get(event.vm)?.entry
        this.handleVmEvent({ kind: 'died', vm: event.vm })
        if (entry !== undefined) this.vms.set(event.vm, { id: event.vm, alive: true, entry, runs: new Map() })
        return
      }
      case 'start': return this.handleStart(event)
      case 'end': {
        const vm = this.vms.get(event.vm)
        if (vm === undefined) return
        vm.runs.delete(getRunKey(event.run))
        this.lastRunMs.set(event.run.task, this.nowMs())
        return this.history.onEnd(vm, event.run, event.end)
      }
      case 'acknowledged': {
        const vm = this.vms.get(event.vm)
        if (vm !== undefined) this.history.onEndsAcknowledged(vm, event.ends)
        return
      }
      case 'take-down': return this.history.onBeforeTakeDown(event.machine, event.runs)
      case 'maintenance':
        this.unmaintained.get(event.wave)?.delete(event.machine)
        return this.history.onMaintenance(event.machine, event.wave, event.downBefore)
    }
  }

  /** Checks the bounds of time. To be called a few times a second. */
  checkBounds (): void {
    for (const record of this.jobs.values()) {
      this.checkCancelled(record)
      this.checkProgress(record)
    }
  }

  /** Returns true if all tasks of accepted long-running jobs run. */
  areLongRunningAtWork (): boolean {
    return [...this.jobs.values()].every(({ job }) => !job.accepted || job.cancelled || !job.spec.steps.some((step) => step.longRunning) || listTasks(job).every((task) => this.history.isRunning(task)))
  }

  private handleRegistration (entry: VmEntry): void {
    const vm: MirroredVm = this.vms.get(entry.id) ?? { id: entry.id, alive: true, entry, runs: new Map() }
    vm.entry = entry
    if (entry.draining) vm.drainingAtMs ??= this.nowMs()
    this.vms.set(entry.id, vm)
  }

  private handleStart ({ vm: id, run, order }: Extract<VmEvent, { kind: 'start' }>): void {
    const vm = this.vms.get(id)
    if (vm === undefined) return
    const earlier = [...vm.runs.values()].find((each) => each.task === run.task)
    if (earlier !== undefined) this.report('TWICE', `${run.task} starts as run ${run.run} on ${id} beside run ${earlier.run}`)
    vm.runs.set(getRunKey(run), run)
    this.history.onStart(vm, run, order)
    const now = this.nowMs()
    const cancelAckAtMs = this.jobs.get(parseTaskName(run.task)?.jobId ?? '')?.cancelAckAtMs ?? Infinity
    if (now > cancelAckAtMs + CANCEL_MS && this.isCalmSince(now - CONTACT_MS - CANCEL_MS, true)) this.report('UNASKED', `${run.task} starts ${Math.round(now - cancelAckAtMs)} ms after the acknowledged cancel`)
    if (vm.drainingAtMs !== undefined && now > vm.drainingAtMs + DRAIN_MS && this.isCalmSince(now - CONTACT_MS - DRAIN_MS, false)) this.report('DRAIN', `${run.task} starts on ${id}, which drains`)
  }

  private checkCancelled ({ job, cancelAckAtMs }: JobRecord): void {
    if (cancelAckAtMs === undefined || this.nowMs() < cancelAckAtMs + CANCELLED_RUN_MS) return
    if (!this.isCalmSince(this.nowMs() - CONTACT_MS - CANCELLED_RUN_MS, true)) return
    for (const task of listTasks(job)) {
      if (this.history.isRunning(task)) this.report('UNASKED', `${task} still runs ${Math.round(this.nowMs() - cancelAckAtMs)} ms after the acknowledged cancel`)
    }
  }

  /** Checks that tasks which could run do not wait too long. */
  private checkProgress (record: JobRecord): void {
    const { job, acceptedAtMs } = record
    if (acceptedAtMs === undefined || job.cancelled || record.finalAtMs !== undefined || this.history.hasSpentAttempts(job)) return
    const tasks = listTasks(job)
    job.spec.steps.forEach((step, index) => {
      this.updateRoom(record, index)
      const waiting = tasks.filter((task) => parseTaskName(task)?.step === index && !this.history.isRunning(task) && !this.history.hasEnded(task))
      const isDue = step.after.every((before) => tasks.every((task) => parseTaskName(task)?.step !== before || this.history.hasEnded(task)))
      // A job that has a run is not idle, but each long-running task must run.
      if (!isDue || (!step.longRunning && tasks.some((task) => this.history.isRunning(task)))) return
      for (const task of step.longRunning ? waiting : waiting.slice(0, 1)) this.checkIdle(record, index, task)
    })
  }

  private checkIdle (record: JobRecord, step: number, task: string): void {
    const now = this.nowMs()
    // The turn of a task comes when the last task of the steps before it has ended.
    const lastRunMs = Math.max(record.acceptedAtMs ?? now, ...listTasks(record.job).map((each) => record.job.spec.steps[step]?.longRunning === true && each !== task ? 0 : this.lastRunMs.get(each) ?? 0))
    const roomSinceMs = record.roomSinceMs.get(step) ?? now
    if (now - lastRunMs < MAX_IDLE_MS || now - roomSinceMs < ROOM_MS || !this.isCalmSince(now - CALM_MS, false)) return
    this.report('IDLE', `${task} has not run for ${Math.round(now - lastRunMs)} ms, with room for it for ${Math.round(now - roomSinceMs)} ms`)
  }

  /** Records since when the job's pool has had room for two tasks of a step, and for finite tasks less than half of it in use. */
  private updateRoom (record: JobRecord, index: number): void {
    const step = record.job.spec.steps[index]
    if (step === undefined) return
    let fits = 0
    let used = 0
    let total = 0
    for (const vm of this.listVms().filter(({ entry }) => entry.pool === record.pool && !entry.draining)) {
      let free = vm.entry.capacity.cpuMillis
      for (const run of vm.runs.values()) free -= run.behaviour.cpuMillis
      const ofStep = [...vm.runs.values()].filter((run) => run.task.startsWith(`${record.job.id}.0.${index}.`)).length
      fits += Math.min(Math.floor(free / step.need.cpuMillis), (step.maxTasksPerVm ?? Infinity) - ofStep)
      used += vm.entry.capacity.cpuMillis - free
      total += vm.entry.capacity.cpuMillis
    }
    if (fits < 2 || (!step.longRunning && used * 2 > total)) record.roomSinceMs.delete(index)
    else if (!record.roomSinceMs.has(index)) record.roomSinceMs.set(index, this.nowMs())
  }

  /** Adds a violation once. */
  report (rule: string, detail: string): void {
    const key = `${rule} ${detail.replace(/\d+ ms/g, '')}`
    if (this.reported.has(key)) return
    this.reported.add(key)
    this.history.addViolation(rule, detail)
  }
}

function getRunKey (run: VmStandInRun): string {
  return `${run.task}#${run.run}`
}
