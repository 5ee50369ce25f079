/**
 * Seeded schedules of faults.
 */
import { RandomSource } from '@vanillathread/policy'

/** Kinds of faults. */
export enum FaultKind {
  DaemonKilled = 'daemon-killed',
  DaemonFrozen = 'daemon-frozen',
  DaemonTerminated = 'daemon-terminated',
  /** The daemons are restarted in turn. */
  Roll = 'roll',
  /** VMs drain and leave, and others join, while the daemons are restarted in turn. */
  LeaveDuringRoll = 'leave-during-roll',
  AllKilled = 'all-killed',
  StoreSlow = 'store-slow',
  StoreRefusing = 'store-refusing',
  StoreLosingAnswers = 'store-losing-answers',
  StoreFrozen = 'store-frozen',
  StoreForgets = 'store-forgets',
  LinkDelayed = 'link-delayed',
  LinkTrickling = 'link-trickling',
  LinkReset = 'link-reset',
  LinkSilenced = 'link-silenced',
  LinkRequestsHeld = 'link-requests-held',
  LinkAnswersHeld = 'link-answers-held',
  LinkCut = 'link-cut',
  VmCrash = 'vm-crash',
  VmLeaves = 'vm-leaves',
  /** A VM is cut off and runs on. */
  VmCut = 'vm-cut',
  VmFailsTasks = 'vm-fails-tasks',
  VmLateStarts = 'vm-late-starts',
  Wave = 'wave',
  /** A daemon and some of the VMs reach each other only. */
  ZoneCut = 'zone-cut',
  /** A VM loses power, starts again under its id, registers late and is cut off soon after. */
  VmRestart = 'vm-restart',
}

/** Faults that are planned work: they do not excuse the daemons from their time bounds. */
export const PLANNED_FAULTS: ReadonlySet<FaultKind> = new Set([FaultKind.DaemonTerminated, FaultKind.Roll, FaultKind.LeaveDuringRoll, FaultKind.VmLeaves, FaultKind.Wave])

/** One fault of a schedule. */
export interface Fault {
  readonly kind: FaultKind
  /** Time of the begin, from the begin of the load. */
  readonly atMs: number
  readonly durationMs: number
  /** Random number that selects what is affected. */
  readonly target: number
}

/** Options of {@link createSchedule}. */
export interface ScheduleOptions {
  readonly seed: number
  readonly durationMs: number
  /** Kinds to choose from; all if not given. */
  readonly kinds?: readonly FaultKind[]
}

/** Time before the first group of faults. */
const WARM_UP_MS = 3_000
/** Period in which the faults of a group begin. */
const GROUP_MS = 5_000
const MAX_GROUP_SIZE = 4
/** Time between two groups, in which the progress of jobs is checked. */
const MIN_CALM_MS = 12_000
const MAX_EXTRA_CALM_MS = 6_000
const MIN_FAULT_MS = 500
const MAX_EXTRA_FAULT_MS = 7_500
const TARGETS = 1_000_000

/** Creates the schedule of a seed: groups of faults that overlap, with calm periods between them. */
export function createSchedule ({ seed, durationMs, kinds = Object.values(FaultKind) }: ScheduleOptions): Fault[] {
  const random = RandomSource.create(seed)
  const faults: Fault[] = []
  for (let groupMs = WARM_UP_MS; groupMs < durationMs;) {
    const size = 1 + random.nextBelow(MAX_GROUP_SIZE)
    let endMs = groupMs
    for (let index = 0; index < size; index++) {
      const kind = random.sample(kinds, 1)[0] ?? FaultKind.DaemonKilled
      const fault = { kind, atMs: groupMs + random.nextBelow(GROUP_MS), durationMs: MIN_FAULT_MS + random.nextBelow(MAX_EXTRA_FAULT_MS), target: random.nextBelow(TARGETS) }
      endMs = Math.max(endMs, fault.atMs + fault.durationMs)
      faults.push(fault)
    }
    groupMs = endMs + MIN_CALM_MS + random.nextBelow(MAX_EXTRA_CALM_MS)
  }
  return faults.filter(({ atMs }) => atMs < durationMs).sort((a, b) => a.atMs - b.atMs)
}

/** Returns a line of text for a fault. */
export function describeFault ({ kind, atMs, durationMs, target }: Fault): string {
  return `${(atMs / 1_000).toFixed(1)} s ${kind} for ${(durationMs / 1_000).toFixed(1)} s, target ${target}`
}
