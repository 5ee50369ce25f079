/**
 * The platform's services that vanillathread uses, one port each.
 */
import type { FleetList } from './FleetList.js'
import type { ObjectStore } from './ObjectStore.js'
import type { TableService } from './TableService.js'
import type { VmActions } from './VmActions.js'

/** Ports to all services of the platform. @public */
export interface Platform {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly fleet: FleetList
  readonly vms: VmActions
}
