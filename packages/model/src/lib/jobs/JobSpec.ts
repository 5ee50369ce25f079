/**
 * What a client submits: a job of steps, each with tasks that are alike.
 */

/** Capacity in thousandths of a core, mebibytes and accelerators. @public */
export interface Capacity {
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** One step of a job. @public */
export interface StepSpec {
  readonly taskCount: number
  /** What each task needs. */
  readonly need: Capacity
  /** The client's guess of a task's duration. */
  readonly estimateMs: number
  /** Indexes of the steps whose tasks must all have ended before this one's start. */
  readonly after: readonly number[]
  readonly checkpointing: boolean
  /** All tasks of a run work together or not at all. */
  readonly gang: boolean
  readonly sameRack: boolean
  /** Label that the VM must have. */
  readonly requiredLabel?: string
  /** Rack where the step's data is. */
  readonly dataRack?: string
  /** Most tasks of the step on one VM. */
  readonly maxTasksPerVm?: number
  readonly speculative: boolean
  /** Tasks run until the job is cancelled. */
  readonly longRunning: boolean
  readonly image?: string
  /** Bound on the tail latency of a serving task. */
  readonly targetMs?: number
  /** Tasks use only the processor time that others leave. */
  readonly fills: boolean
  /** Tasks that may be unavailable at the same time because of us. */
  readonly mayMiss: number
}

/** Values of a step that asks for nothing special. @public */
export const PLAIN_STEP = {
  after: [], checkpointing: false, gang: false, sameRack: false, speculative: false, longRunning: false, fills: false, mayMiss: 0,
} as const satisfies Partial<StepSpec>

/** A job as submitted. @public */
export interface JobSpec {
  /** Opaque text for the tasks. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  /** Number of scheduled occurrences, or 0 for a job that runs once at once. */
  readonly repeatCount: number
  /** Wall-clock time at which occurrence 0 is due, in milliseconds since 1970. */
  readonly firstRunMs: number
  readonly intervalMs: number
}

/** The rules of a queue as of one configuration version. @public */
export interface QueueRules {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  /** Pool whose VMs run the tasks. */
  readonly pool: string
  readonly timeoutMs: number
  /** Added to the time that a job may take. */
  readonly targetLatencyMs: number
  /** 0 comes first. */
  readonly priority: number
  readonly maxAttempts: number
  readonly deadlineFactor: number
  /** Present where an outside service chooses the VMs of a step. */
  readonly advice?: AdviceRules
}

/** How long advice takes and stays valid. @public */
export interface AdviceRules {
  readonly decideMs: number
  readonly perVmMs: number
  readonly validMs: number
}

/** A pool as configured. @public */
export interface PoolRules {
  readonly name: string
  /** VMs of this pool are off and not paid for. */
  readonly standby: boolean
  /** VMs refuse what does not fit. */
  readonly checksAdmission: boolean
}

/** One version of the operator's configuration. @public */
export interface OperatorConfiguration {
  readonly version: number
  readonly queues: readonly QueueRules[]
  readonly pools: readonly PoolRules[]
  readonly maxBodyBytes: number
}

/** An accepted job together with the rules it was accepted under. @public */
export interface AcceptedJob {
  /** 16 hexadecimal digits chosen by the client. */
  readonly id: string
  readonly queue: string
  readonly pool: string
  readonly spec: JobSpec
  readonly priority: number
  readonly maxAttempts: number
  readonly deadlineFactor: number
  readonly targetLatencyMs: number
  readonly advice?: AdviceRules
  /** Store clock at acceptance, in milliseconds. */
  readonly acceptedAtMs: number
  readonly configurationVersion: number
}

/** What a client is told of a job. @public */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Complete = 'complete',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Says whether a job will not change its state any more. @public */
export function isFinalState (state: JobState): boolean {
  return state === JobState.Complete || state === JobState.Failed || state === JobState.Cancelled
}
