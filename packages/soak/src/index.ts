/**
 * Soak of the real daemons as separate processes, with faults from outside them.
 *
 * @packageDocumentation
 */
export { createSchedule, describeFault, FaultKind, type Fault, type ScheduleOptions } from './lib/FaultSchedule.js'
export { SoakRun, type SoakResult, type SoakRunOptions } from './lib/SoakRun.js'
