/**
 * Simulates a day of random load and faults, which its seed reproduces.
 * A day is a short period of load with faults, followed by a period in which the system settles.
 */
import type { RandomSource } from '@vanillathread/policy'
import { StoreFault, VmFault, type VmStandIn } from '@vanillathread/stand-ins'
import { DownTimeCheck, type Disruption } from './DownTimeCheck.js'
import type { JobViolation } from './JobHistory.js'
import { createJob, createStep, JobLab } from './JobLab.js'

const LOAD_MS = 14_000
const JOB_INTERVAL_MS = 350
const SETTLE_MS = 26_000
/** Bound of the random part of a fault's duration. */
const MAX_EXTRA_FAULT_MS = 5_000

/** Time from the start of draining until the VM is removed. */
const DRAIN_DURATION_MS = 2_500

/** Time from the stop of a daemon until it starts again, and, in a rolling restart, until the next one is stopped. */
const RESTART_MS = 2_000

/** Time after which a VM that hangs, but stays registered, has lost its lease. */
const LEASE_MS = 5_200

/** Result of a simulated day. */
export interface DayResult {
  readonly seed: number
  /** Names of the faults with their times. */
  readonly faults: readonly string[]
  readonly violations: readonly JobViolation[]
  /** Number of accepted jobs. */
  readonly accepted: number
  /** Number of submitted jobs. */
  readonly submitted: number
  /** Number of runs that were started. */
  readonly starts: number
  /** Numbers of the requested maintenance waves that were not reported as complete. */
  readonly incompleteWaves: readonly number[]
}

/** Starts a fault. Most faults end after `forMs`; some end by themselves or last for the rest of the day. */
type FaultInjector = (lab: JobLab, random: RandomSource, forMs: number) => void

const FAULTS: Readonly<Record<string, FaultInjector>> = {
  'owner killed': (lab, _random, forMs) => { lab.crashDaemon(lab.findOwner(), forMs) },
  'daemon killed': (lab, random, forMs) => { lab.crashDaemon(random.nextBelow(lab.daemons.length), forMs) },
  'all daemons killed': (lab, _random, forMs) => { lab.daemons.forEach((_daemon, index) => { lab.crashDaemon(index, forMs) }) },
  'daemon stopped and started': (lab, random, forMs) => {
    const index = random.nextBelow(lab.daemons.length)
    const { daemon } = lab.daemons[index] ?? {}
    daemon?.stop().then(() => { lab.timers.after(forMs, () => { if (lab.daemons[index]?.daemon === daemon) lab.startDaemon(index) }) })
  },
  'rolling restart': (lab) => {
    lab.daemons.forEach((_entry, index) => { lab.timers.after(index * RESTART_MS, () => restartDaemon(lab, index)) })
  },
  'store refuses calls': (lab, _random, forMs) => setStoreFault(lab, StoreFault.Refusing, forMs),
  'store silent': (lab, _random, forMs) => setStoreFault(lab, StoreFault.Unresponsive, forMs),
  'store loses answers': (lab, _random, forMs) => setStoreFault(lab, StoreFault.LosingAnswers, forMs),
  'store slow': (lab, _random, forMs) => setStoreFault(lab, StoreFault.Slow, forMs),
  'store drops its history': (lab) => lab.store.dropHistory(),
  'owner without store': (lab, _random, forMs) => {
    const owner = lab.daemons[lab.findOwner()]
    if (owner === undefined) return
    owner.store.fault = StoreFault.Unresponsive
    lab.timers.after(forMs, () => { owner.store.fault = StoreFault.None })
  },
  'owner cut off from peers': (lab, _random, forMs) => {
    const { host, port } = lab.daemons[lab.findOwner()]?.address ?? { host: '', port: 0 }
    lab.peers.cutAddresses.add(`${host}:${port}`)
    lab.timers.after(forMs, () => lab.peers.cutAddresses.delete(`${host}:${port}`))
  },
  'VMs crash': (lab, random, forMs) => { for (const vm of random.sample(lab.fleet.vms, 2)) lab.fleet.crash(vm.entry.machine ?? '', forMs) },
  'VMs cut off': (lab, random, forMs) => { for (const vm of random.sample(lab.fleet.vms, 2)) cutVm(lab, vm, forMs) },
  'VMs hang': (lab, random, forMs) => setVmFault(lab, random.sample(lab.fleet.vms, 2), VmFault.Partitioned, forMs + LEASE_MS),
  'VMs start again under their ids': (lab, random) => { for (const vm of random.sample(lab.fleet.vms, 2)) lab.fleet.restart(vm.entry.machine ?? '') },
  'VMs carry out starts late': (lab, _random, forMs) => setVmFault(lab, lab.fleet.vms, VmFault.LateStarts, forMs / 3),
  'VM fails tasks': (lab, random, forMs) => setVmFault(lab, random.sample(lab.fleet.vms, 1), VmFault.FailsTasks, forMs),
  'machine orders lost': (lab, _random, forMs) => {
    lab.fleet.ignoresOrders = true
    lab.timers.after(forMs, () => { lab.fleet.ignoresOrders = false })
  },
  'daemon without store': (lab, random, forMs) => {
    const daemon = lab.daemons[random.nextBelow(lab.daemons.length)]
    if (daemon === undefined) return
    daemon.store.fault = StoreFault.Refusing
    lab.timers.after(forMs, () => { daemon.store.fault = StoreFault.None })
  },
  'VM drains and leaves': (lab, random) => {
    for (const vm of random.sample(lab.fleet.vms, 1)) {
      vm.entry = { ...vm.entry, draining: true }
      lab.fleet.register(vm)
      lab.timers.after(DRAIN_DURATION_MS, () => { if (vm.alive) lab.fleet.remove(vm.entry.machine ?? '') })
    }
  },
  'VM drains, leaves and unregisters': (lab, random) => {
    for (const vm of random.sample(lab.fleet.vms, 1)) {
      vm.entry = { ...vm.entry, draining: true }
      lab.fleet.register(vm)
      lab.timers.after(DRAIN_DURATION_MS, () => { if (vm.alive) lab.fleet.leave(vm.entry.machine ?? '') })
    }
  },
  // As a VM whose tasks have no room elsewhere while it drains.
  'VM leaves with its tasks': (lab, random) => { for (const vm of random.sample(lab.fleet.vms, 1)) lab.fleet.leave(vm.entry.machine ?? '') },
  'VM gone permanently': (lab, random) => { for (const vm of random.sample(lab.fleet.vms, 1)) lab.fleet.remove(vm.entry.machine ?? '') },
  wave: (lab, random) => {
    const number = lab.history.caps.size + 1
    lab.requestWave(number, random.sample([...lab.fleet.machines.keys()], 5), 2)
  },
}

/** Faults that are planned work or harm no long-running task. All others disrupt, as the platform's rules say. */
const PLANNED_FAULTS: ReadonlySet<string> = new Set(['daemon stopped and started', 'rolling restart', 'VM drains and leaves', 'VM drains, leaves and unregisters', 'VM leaves with its tasks', 'store drops its history', 'wave'])

/** Longest such time of a VM that fails tasks: the pause of a VM that failed tasks. */
const MAX_AFTER_EFFECT_MS = 12_000

/** Names of the faults that random days are drawn from. */
export const FAULT_NAMES: readonly string[] = Object.keys(FAULTS)

/** Added to the duration of a partition, so that it is longer than a takeover and the waits of the successor for most seeds. */
const EXTRA_PARTITION_MS = 6_000

/** Partitions that separate daemons and VMs from the store and from all others. */
const PARTITIONS: Readonly<Record<string, FaultInjector>> = {
  'owner isolated with half of the VMs': (lab, random, forMs) => isolate(lab, random, [lab.findOwner()], forMs),
  'owner and another daemon isolated with half of the VMs': (lab, random, forMs) => isolate(lab, random, [lab.findOwner(), random.nextBelow(lab.daemons.length)], forMs),
  'daemon isolated with half of the VMs': (lab, random, forMs) => isolate(lab, random, [random.nextBelow(lab.daemons.length)], forMs),
}

/** Names of all partitions. */
export const PARTITION_NAMES: readonly string[] = Object.keys(PARTITIONS)

/** Simulates a day with two to four random faults. */
export async function simulateRandomDay (seed: number): Promise<DayResult> {
  return simulateDay(seed, (random) => Array.from({ length: 2 + random.nextBelow(3) }, () => random.sample(FAULT_NAMES, 1)[0] ?? ''))
}

/** Simulates a day with a random partition and another random fault. */
export async function simulatePartitionDay (seed: number): Promise<DayResult> {
  return simulateDay(seed, (random) => [random.sample(PARTITION_NAMES, 1)[0] ?? '', random.sample(FAULT_NAMES, 1)[0] ?? ''])
}

/** Simulates a day with the chosen faults at random times. */
export async function simulateDay (seed: number, chooseFaults: (random: RandomSource) => readonly string[]): Promise<DayResult> {
  const lab = JobLab.create({ seed })
  await lab.start()
  const { random } = lab
  const names: string[] = []
  const disruptions: Disruption[] = []
  DownTimeCheck.create({ lab, disruptions })
  for (const name of chooseFaults(random)) {
    const atMs = random.nextBelow(LOAD_MS)
    const forMs = 500 + random.nextBelow(MAX_EXTRA_FAULT_MS)
    const nowMs = lab.timers.now()
    if (!PLANNED_FAULTS.has(name)) disruptions.push({ fromMs: nowMs + atMs, toMs: nowMs + atMs + forMs + getAfterEffectMs(name) })
    names.push(`${name} at ${atMs} for ${forMs} ms`)
    lab.timers.after(atMs, () => (FAULTS[name] ?? PARTITIONS[name])?.(lab, random, forMs))
  }
  for (let atMs = 0; atMs < LOAD_MS; atMs += JOB_INTERVAL_MS) {
    submitRandomJob(lab, random)
    await lab.run(JOB_INTERVAL_MS)
  }
  await lab.finish(SETTLE_MS)
  const jobs = [...lab.history.jobs.values()]
  return {
    seed,
    faults: names,
    violations: lab.history.violations,
    accepted: jobs.filter((job) => job.accepted).length,
    submitted: jobs.length,
    starts: lab.history.starts,
    incompleteWaves: [...lab.history.caps.keys()].filter((wave) => !lab.history.completeWaves.has(wave)),
  }
}

/** Returns the time after a fault's duration for which it has effects that the rule LOST does not know. */
function getAfterEffectMs (name: string): number {
  if (name in PARTITIONS) return EXTRA_PARTITION_MS + LEASE_MS
  return name === 'VM fails tasks' ? MAX_AFTER_EFFECT_MS : LEASE_MS
}

/** Isolates daemons, by index, with a random half of the VMs. */
function isolate (lab: JobLab, random: RandomSource, daemons: readonly number[], forMs: number): void {
  const { vms } = lab.fleet
  lab.partition.isolate(lab.daemons.filter((_daemon, index) => daemons.includes(index)), random.sample(vms, Math.ceil(vms.length / 2)), forMs + EXTRA_PARTITION_MS)
}

function submitRandomJob (lab: JobLab, random: RandomSource): void {
  const queue = random.nextBelow(2)
  const kind = random.nextBelow(20)
  const step = () => createStep({ taskCount: 1 + random.nextBelow(6), estimateMs: 200 + random.nextBelow(1_200) })
  if (kind === 0) lab.submit(createJob(step()), { poison: true, queue })
  else if (kind === 1) submitAndCancelLater(lab, random, queue)
  else if (kind === 2) lab.submit(createJob(createStep({ taskCount: 2, longRunning: true, maxTasksPerVm: 1, mayMiss: 1 })), { queue })
  else lab.submit(createJob(step(), { ...step(), after: [0] }), { queue })
}

/** Submits a job and cancels it after a random delay, while its tasks may run. */
function submitAndCancelLater (lab: JobLab, random: RandomSource, queue: number): void {
  const delayMs = random.nextBelow(2_000)
  lab.submit(createJob(createStep({ estimateMs: 2_000 })), { queue }).then((job) => {
    lab.timers.after(delayMs, () => { lab.cancel(job, queue) })
  })
}

/** Stops a daemon as SIGTERM does, and starts it again after a time, at which its stop may not be complete. */
function restartDaemon (lab: JobLab, index: number): void {
  const { daemon } = lab.daemons[index] ?? {}
  if (daemon === undefined) return
  const stopped = daemon.stop()
  lab.timers.after(RESTART_MS, () => { stopped.then(() => { if (lab.daemons[index]?.daemon === daemon) lab.startDaemon(index) }) })
}

function setStoreFault (lab: JobLab, fault: StoreFault, forMs: number): void {
  lab.store.fault = fault
  lab.timers.after(forMs, () => { lab.store.fault = StoreFault.None })
}

function setVmFault (lab: JobLab, vms: readonly VmStandIn[], fault: VmFault, forMs: number): void {
  for (const vm of vms) vm.fault = fault
  lab.timers.after(forMs, () => { for (const vm of vms) vm.fault = VmFault.None })
}

/** Cuts a VM off for a time. If the cut is longer than 4.5 s, its registration expires; after the cut it registers again. */
function cutVm (lab: JobLab, vm: VmStandIn, forMs: number): void {
  vm.fault = VmFault.Partitioned
  if (forMs > 4_500) lab.timers.after(4_500, () => lab.fleet.expireRegistration(vm))
  lab.timers.after(forMs, () => {
    vm.fault = VmFault.None
    if (vm.alive) lab.fleet.register(vm)
  })
}
