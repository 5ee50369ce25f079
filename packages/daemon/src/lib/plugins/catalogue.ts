/**
 * The catalogue in which the daemon's plug-ins register themselves when their modules are loaded.
 */
import { PluginCatalogue } from '@vanillathread/kernel'

/** Plug-ins of the daemon. */
export const catalogue = PluginCatalogue.create()

/** Ids by which plug-ins name what they require. */
export enum PluginId {
  Operations = 'operations',
  Peers = 'peers',
  Membership = 'membership',
  Configuration = 'configuration',
  FleetWatch = 'fleet-watch',
  FleetController = 'fleet-controller',
  Credits = 'credits',
  Loans = 'loans',
  Claims = 'claims',
  Dispatcher = 'dispatcher',
  Gateway = 'gateway',
}
