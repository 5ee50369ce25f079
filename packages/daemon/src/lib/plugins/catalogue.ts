/**
 * Catalogue of the daemon's plug-ins, each of which registers itself when its module is loaded.
 */
import { PluginCatalogue } from '@vanillathread/kernel'

/** Plug-ins of the daemon. */
export const catalogue = PluginCatalogue.create()

/** Ids of the plug-ins, by which others list the ones that they require. */
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
