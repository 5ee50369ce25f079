/**
 * Loads every plug-in, each of which registers itself.
 */
import './operations.js'
import './peers.js'
import './membership.js'
import './configuration.js'
import './fleetWatch.js'
import './fleetController.js'
import './credits.js'
import './loans.js'
import './claims.js'
import './dispatcher.js'
import './gateway.js'

export { catalogue } from './catalogue.js'
