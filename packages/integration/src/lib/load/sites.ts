/**
 * Sites for simulations of load, with the proportions of the users' deployments.
 */
import type { LoadPool, LoadQueue, LoadSite } from './LoadSite.js'

/** Proportions in which a site differs from the smallest one. */
interface SiteScale {
  /** Machines by pool; the last pool is the standby pool. */
  readonly machines: readonly number[]
  /** Processor of a machine, in thousandths of a core. */
  readonly machineCpuMillis: number
  readonly machineMemoryMb: number
  /** Jobs a second of the short queues' and the wide queues' first and second one. */
  readonly jobsPerSecond: readonly [number, number, number, number]
  readonly shortDurationMs: number
  readonly shortCpuMillis: number
  readonly wideCpuMillis: number
  readonly tasksPerStep: number
  readonly worth: readonly [number, number]
  readonly longRunningTasks: number
  readonly machineSecondCost: number
  readonly moveCost: number
}

const POOL_NAMES = ['short-a', 'wide-a', 'short-b', 'wide-b', 'spare'] as const

function createSite (scale: SiteScale): LoadSite {
  const pools: LoadPool[] = POOL_NAMES.map((name, index) => ({
    name,
    machines: scale.machines[index] ?? 0,
    standby: name === 'spare',
    longRunning: name === 'spare' ? undefined : { tasks: scale.longRunningTasks, cpuMillis: 1_500, memoryMb: 4_300, maxTasksPerVm: 2 },
  }))
  const createShort = (pool: string, jobsPerSecond: number, turn: number): LoadQueue => ({
    name: pool,
    pool,
    jobsPerSecond,
    turn,
    priority: 0,
    steps: { mean: 1.6, spread: 0.4, max: 4 },
    tasksPerStep: { mean: scale.tasksPerStep, spread: 0.6, max: 24 },
    durationMs: { mean: scale.shortDurationMs, spread: 0.5, max: 2.5 * scale.shortDurationMs },
    taskSpread: 0.15,
    cpuMillis: { mean: scale.shortCpuMillis, spread: 0.45, max: 3 * scale.shortCpuMillis },
    memoryMb: { mean: 910, spread: 0.6, max: 2_700 },
    worth: scale.worth[0],
  })
  const createWide = (pool: string, jobsPerSecond: number, turn: number): LoadQueue => ({
    name: pool,
    pool,
    jobsPerSecond,
    turn,
    priority: 1,
    steps: { mean: 2, spread: 0.4, max: 5 },
    tasksPerStep: { mean: 8, spread: 0.6, max: 32 },
    durationMs: { mean: 1_300, spread: 0.5, max: 3_300 },
    taskSpread: 0.3,
    cpuMillis: { mean: scale.wideCpuMillis, spread: 0.45, max: 3 * scale.wideCpuMillis },
    memoryMb: { mean: 2_700, spread: 0.6, max: 8_200 },
    worth: scale.worth[1],
  })
  const [shortA, wideA, shortB, wideB] = scale.jobsPerSecond
  return {
    pools,
    queues: [createWide('wide-a', wideA, 0), createShort('short-a', shortA, 1), createWide('wide-b', wideB, 2), createShort('short-b', shortB, 3)],
    machine: { cpuMillis: scale.machineCpuMillis, memoryMb: scale.machineMemoryMb, accelerators: 0 },
    turnMs: 9_000,
    lengthMs: 34_000,
    warmUpMs: 8_000,
    ordersPerSecond: Infinity,
    estimateSpread: 0.2,
    slowShare: 0,
    slowFactor: 1,
    staysSlow: true,
    machineSecondCost: scale.machineSecondCost,
    moveCost: scale.moveCost,
  }
}

/** A small site: 35 machines of 16 cores. */
export const SMALL_SITE = createSite({
  machines: [6, 6, 8, 9, 6],
  machineCpuMillis: 16_000,
  machineMemoryMb: 32_768,
  jobsPerSecond: [5.05, 1.22, 6.32, 1.49],
  shortDurationMs: 1_000,
  shortCpuMillis: 880,
  wideCpuMillis: 1_900,
  tasksPerStep: 6,
  worth: [0.518, 2.42],
  longRunningTasks: 5,
  machineSecondCost: 0.065,
  moveCost: 0.074,
})

/** A site of 35 machines of 32 cores with shorter tasks. */
export const SHORT_TASK_SITE = createSite({
  machines: [6, 6, 8, 9, 6],
  machineCpuMillis: 32_000,
  machineMemoryMb: 65_536,
  jobsPerSecond: [7.88, 1.24, 9.84, 1.52],
  shortDurationMs: 640,
  shortCpuMillis: 1_800,
  wideCpuMillis: 3_800,
  tasksPerStep: 6,
  worth: [0.488, 3.48],
  longRunningTasks: 5,
  machineSecondCost: 0.096,
  moveCost: 0.11,
})

/** A site of 246 machines of 16 cores. */
export const MEDIUM_SITE = createSite({
  machines: [44, 49, 54, 60, 39],
  machineCpuMillis: 16_000,
  machineMemoryMb: 32_768,
  jobsPerSecond: [16.2, 5.1, 20.3, 6.24],
  shortDurationMs: 1_000,
  shortCpuMillis: 1_500,
  wideCpuMillis: 3_300,
  tasksPerStep: 8,
  worth: [0.399, 1.43],
  longRunningTasks: 24,
  machineSecondCost: 0.022,
  moveCost: 0.025,
})

/**
 * A site of 250 machines whose queues have turns of 4 s, two or three times a day, with inaccurate estimates and some slow tasks.
 * Machines are spread over the pools when the first turn begins.
 */
export const TURNS_SITE = createTurnsSite({ machines: [45, 50, 55, 60, 40], share: 1 })

/** The same with a fifth of the machines and of the load. */
export const SMALL_TURNS_SITE = createTurnsSite({ machines: [9, 10, 11, 12, 8], share: 0.2 })

function createTurnsSite ({ machines, share }: { readonly machines: readonly number[], readonly share: number }): LoadSite {
  const site = createSite({
    machines,
    machineCpuMillis: 16_000,
    machineMemoryMb: 32_768,
    jobsPerSecond: [16.2 * share, 5.1 * share, 20.3 * share, 6.24 * share],
    shortDurationMs: 1_000,
    shortCpuMillis: 1_500,
    wideCpuMillis: 3_300,
    tasksPerStep: 8,
    worth: [0.399, 1.43],
    longRunningTasks: Math.round(24 * share),
    machineSecondCost: 0.022,
    moveCost: 0.025,
  })
  return { ...site, turnMs: 4_000, warmUpMs: 1_500, ordersPerSecond: 64 * share, estimateSpread: 0.9, slowShare: 0.03, slowFactor: 7, staysSlow: false }
}

/** A site of 378 machines of 32 cores. */
export const LARGE_SITE = createSite({
  machines: [65, 75, 85, 91, 62],
  machineCpuMillis: 32_000,
  machineMemoryMb: 65_536,
  jobsPerSecond: [26.6, 5.4, 33.2, 6.61],
  shortDurationMs: 640,
  shortCpuMillis: 4_500,
  wideCpuMillis: 9_800,
  tasksPerStep: 8,
  worth: [0.391, 2.16],
  longRunningTasks: 24,
  machineSecondCost: 0.023,
  moveCost: 0.026,
})
