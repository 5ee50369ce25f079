/**
 * Passes every call of a platform through one function.
 */
import type { Result } from '@vanillathread/model'
import type { Platform, PlatformError } from '@vanillathread/ports'

/** Executes a call, or returns a failure instead of its result. */
export type CallWrapper = <T>(execute: () => Promise<Result<T, PlatformError>>) => Promise<Result<T, PlatformError>>

/** Returns a platform whose calls all go through `call`. */
export function wrapPlatform ({ table, objects, fleet, vms }: Platform, call: CallWrapper): Platform {
  return {
    table: {
      read: (key) => call(() => table.read(key)),
      readChanges: (prefix, since) => call(() => table.readChanges(prefix, since)),
      transact: (transaction) => call(() => table.transact(transaction)),
    },
    objects: {
      put: (digest, bytes) => call(() => objects.put(digest, bytes)),
      get: (digest) => call(() => objects.get(digest)),
    },
    fleet: { list: () => call(() => fleet.list()) },
    vms: {
      readState: (vmId) => call(() => vms.readState(vmId)),
      reboot: (vmId, operationId) => call(() => vms.reboot(vmId, operationId)),
    },
  }
}
