/**
 * Process of the store. Arguments: host and seed.
 */
import { SystemTimerService } from '@vanillathread/kernel'
import { RandomSource } from '@vanillathread/policy'
import { StoreStandIn } from '@vanillathread/stand-ins'
import { sendEvent, type StoreCommand } from './lib/messages.js'
import { StoreServer } from './lib/StoreServer.js'

const [host = '127.0.0.1', seed = '1'] = process.argv.slice(2)
const store = StoreStandIn.create({ timers: SystemTimerService.create(), random: RandomSource.create(Number(seed)) })
const server = StoreServer.create({
  store,
  onPut: ({ table, key }, value) => {
    // The row is CBOR, which holds the owner's name as plain text.
    if (table === 'shards') sendEvent({ kind: 'owner', daemon: /d-\d+/.exec(value.toString('latin1'))?.[0] })
    const wave = /^wave\/(\d+)$/.exec(key)?.[1]
    if (table !== 'status' || wave === undefined) return
    const { state } = JSON.parse(value.toString()) as { state?: string }
    sendEvent({ kind: 'wave-state', wave: Number(wave), complete: state === 'complete' })
  },
})

function execute (command: StoreCommand): void {
  switch (command.kind) {
    case 'put':
      store.put({ table: command.table, part: '', key: command.key }, Buffer.from(JSON.stringify(command.value)))
      break
    case 'remove':
      store.remove({ table: command.table, part: '', key: command.key })
      break
    case 'fault':
      store.fault = command.fault
      break
    case 'drop-history':
      store.dropHistory()
  }
}

process.on('message', execute)
process.on('disconnect', () => process.exit(0))
sendEvent({ kind: 'ready', port: await server.listen(host) })
