/**
 * Puts one function in front of every call of a platform.
 */
import type { Result } from '@vanillathread/model'
import type { Platform, PlatformError } from '@vanillathread/ports'

/** Decides what becomes of a call. */
export type CallWrapper = <T>(execute: () => Promise<Result<T, PlatformError>>) => Promise<Result<T, PlatformError>>

/** Returns a platform whose calls all go through the wrapper. */
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
      observe: (vmId) => call(() => vms.observe(vmId)),
      reboot: (vmId, operationId) => call(() => vms.reboot(vmId, operationId)),
    },
  }
}
