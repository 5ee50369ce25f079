/**
 * Process of the VMs and of the machine service. Arguments: host, and `ignores-lease` for VMs whose runs outlive their lease.
 */
import { FleetServer } from './lib/FleetServer.js'
import { sendEvent, type VmCommand } from './lib/messages.js'

const [host = '127.0.0.1', planted] = process.argv.slice(2)
const server = FleetServer.create({ host, ignoresLease: planted === 'ignores-lease' })
process.on('message', (command: VmCommand) => server.execute(command))
process.on('disconnect', () => process.exit(0))
sendEvent({ kind: 'ready', port: await server.listen() })
