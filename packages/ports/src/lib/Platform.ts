/**
 * The outside systems that vanillathread depends on, one port each.
 */
import type { FleetList } from './FleetList.js'
import type { ObjectStore } from './ObjectStore.js'
import type { TableService } from './TableService.js'
import type { VmActions } from './VmActions.js'

/** All ports to the platform. @public */
export interface Platform {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly fleet: FleetList
  readonly vms: VmActions
}
