/**
 * Applies the registrations of VMs, and the VMs of the store's roster, one by one.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { JobScheduler } from '@vanillathread/policy'
import type { VmChange } from '@vanillathread/ports'

/** Options of {@link VmRegistrations.create}. */
export interface VmRegistrationsOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly scheduler: JobScheduler
}

/** Passes registrations to the scheduler. Any program may write one, so a failure with one entry is logged and leaves the others alone. */
export class VmRegistrations {
  private constructor (private readonly options: VmRegistrationsOptions) {}

  static create (options: VmRegistrationsOptions): VmRegistrations {
    return new VmRegistrations(options)
  }

  /** Applies changes of registrations, and logs the invalid ones. */
  apply (changes: readonly VmChange[]): void {
    const { log, scheduler, timers } = this.options
    for (const { id, entry, fault } of changes) {
      this.attempt(id, () => {
        if (entry !== undefined) scheduler.applyRegistration(entry, timers.now())
        else scheduler.unregisterVm(id, timers.now())
      })
      if (fault !== undefined) log.write(EventCode.VmEntryInvalid, { vm: id, reason: fault })
    }
  }

  /** Applies a complete list: VMs missing from it are no longer registered. */
  unregisterMissing (changes: readonly VmChange[]): void {
    const { scheduler, timers } = this.options
    const listed = new Set(changes.map((change) => change.id))
    for (const id of scheduler.state.vms.keys()) {
      if (!listed.has(id)) this.attempt(id, () => scheduler.unregisterVm(id, timers.now()))
    }
  }

  /** Does something with the entry of one VM. A failure is logged and concerns this VM only. */
  attempt (vm: string, action: () => void): void {
    try {
      action()
    } catch (err) {
      this.options.log.write(EventCode.VmEntryInvalid, { vm, reason: String(err) })
    }
  }
}
