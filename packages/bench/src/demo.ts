/**
 * The demo: an in-memory platform, three endpoint stand-ins and one daemon in one process.
 */
import { randomUUID } from 'node:crypto'
import { Command } from 'commander'
import { request } from 'undici'
import { ConsolaEventLog } from '@vanillathread/kernel'
import { LogLevel } from '@vanillathread/model'
import { applyDeclarations, FleetVmState, MemoryPlatform } from '@vanillathread/ports'
import { Daemon } from '@vanillathread/daemon'
import { EndpointStandIn } from '@vanillathread/stand-ins'
import { createSettings } from '@vanillathread/integration'
import { assignStandInAddresses } from './lib/assignStandInAddresses.js'
import { Example, readExample } from './lib/readExample.js'

const SERVICE = 'listings'
const REQUESTS = 12
const CALLER_PORT = 8700
const OPERATIONS_PORT = 8701

interface RequestRow {
  request: string
  status: number
  'answered by': string
  'time in ms': number
}

const command = new Command('demo').option('--once', 'end after the requests')
command.parse()
const { once } = command.opts<{ once?: boolean }>()

const endpoints = await Promise.all([1, 2, 3].map((number) =>
  EndpointStandIn.create({ id: `${SERVICE}-${number}`, slots: 8, serviceTimeMs: () => 20 })))
const platform = MemoryPlatform.create()
const declarations = assignStandInAddresses(await readExample(Example.Lowicz), SERVICE, endpoints)
for (const { id } of declarations.inventory.vms) platform.fleet.setVm(id, FleetVmState.Live)
const applied = await applyDeclarations(platform, { declarations, basedOn: 0, applyId: randomUUID() })
if (!applied.ok) throw new Error(`apply failed with code ${applied.error.code}`)

const daemon = Daemon.create({
  settings: createSettings({ id: 'entry-1', zone: 'mazovia-a', ...once === true ? {} : { callerPort: CALLER_PORT, operationsPort: OPERATIONS_PORT } }),
  platform,
  log: ConsolaEventLog.create({ level: LogLevel.Info }),
})
await daemon.start()
const caller = daemon.getAddress('caller')
const base = `http://${caller.host}:${caller.port}`

const requestRows: RequestRow[] = []
for (let number = 1; number <= REQUESTS; number++) requestRows.push(await sendOne(number))
console.table(requestRows)
console.log(`configuration version in force: ${daemon.parts.configuration.getVersionInForce()}`)

if (once === true) await stop()
else {
  console.log(`try: curl -i ${base}/${SERVICE}/horses/42`)
  const operations = daemon.getAddress('operations')
  console.log(`     curl -s http://${operations.host}:${operations.port}/status`)
  process.once('SIGINT', () => { stop() })
  process.once('SIGTERM', () => { stop() })
}

async function sendOne (number: number): Promise<RequestRow> {
  const method = number % 4 === 0 ? 'POST' : 'GET'
  const startedMs = performance.now()
  const res = await request(`${base}/${SERVICE}/horses/${number}`, {
    method,
    headers: { 'x-request-token': `horse-${number}`, ...method === 'POST' ? { 'idempotency-key': randomUUID() } : {} },
    ...method === 'POST' ? { body: 'mare' } : {},
  })
  const [, answeredBy = ''] = (await res.body.text()).split('|')
  return { request: `${method} /${SERVICE}/horses/${number}`, status: res.statusCode, 'answered by': answeredBy, 'time in ms': Math.round(performance.now() - startedMs) }
}

async function stop (): Promise<void> {
  await daemon.stop()
  for (const endpoint of endpoints) await endpoint.dispose()
}
