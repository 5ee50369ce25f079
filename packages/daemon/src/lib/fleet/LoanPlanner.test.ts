/**
 * Checks that only the incarnation of a daemon that holds the lease of a spare pool plans its loans.
 */
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { EventCode, inventorySchema, rulesSchema, type Declarations } from '@vanillathread/model'
import { MemoryTable } from '@vanillathread/ports'
import { createLeaseRecord, createVmRecord, fleetKeys } from '@vanillathread/policy'
import { assert, describe } from '@vanillathread/testing'
import { fleetOptions } from '../options.js'
import { FleetRows } from './FleetRows.js'
import { LoanPlanner, type LoanPlannerOptions } from './LoanPlanner.js'

const LENT_SLOTS = 8

/** Time after which a deficit is worth a loan. */
const DEFICIT_MS = 180_000

const DECLARATIONS: Declarations = {
  inventory: inventorySchema.parse({
    regions: [{ id: 'r', zones: ['z'] }],
    pools: [{ id: 'busy' }, { id: 'spare', spare: true }],
    vms: [{ id: 'busy-1', zone: 'z', rack: 'k', pool: 'busy' }, { id: 'spare-1', zone: 'z', rack: 'k', pool: 'spare' }, { id: 'spare-2', zone: 'z', rack: 'k', pool: 'spare' }],
    services: [{ id: 's', pool: 'busy', endpoints: [{ id: 'e-1', vm: 'busy-1', host: 'h', port: 1, slots: LENT_SLOTS }] }],
  }),
  rules: rulesSchema.parse({ budgets: [{ pool: 'busy', minAvailable: 0 }, { pool: 'spare', minAvailable: 0 }], weights: { bufferCost: 1, moves: 0 } }),
}

/** Lets incarnation 2 of daemon `a` plan for as long as a deficit needs, and returns the loans that were logged. */
async function planLoans (leaseHolder: string, leaseIncarnation: number): Promise<unknown[]> {
  const timers = FakeTimerService.create()
  const log = MemoryEventLog.create()
  const table = MemoryTable.create()
  const vms = DECLARATIONS.inventory.vms.map(({ id, pool }) => ({ key: fleetKeys.vm(id), value: createVmRecord(pool, 0) }))
  await table.transact({ conditions: [], writes: [...vms, { key: fleetKeys.lease('spare'), value: createLeaseRecord(leaseHolder, leaseIncarnation, 1) }] })
  const rows = FleetRows.create(table)
  await rows.refresh()
  const planner = LoanPlanner.create({
    configuration: { current: { declarations: DECLARATIONS } },
    credits: { listLentDemand: () => [{ service: 's', slots: 2 * LENT_SLOTS }] },
    membership: { getSelf: () => ({ daemonId: 'a', incarnation: 2 }), listOthers: () => [] },
    network: { on: () => {}, send: () => {} },
    rows,
    table,
    timers,
    log,
  } as unknown as LoanPlannerOptions)
  planner.start()
  await timers.advance(DEFICIT_MS + fleetOptions.demandPeriodMs)
  planner.dispose()
  return log.records.filter(({ code }) => code === EventCode.VmLent).map(({ fields }) => fields['pool'])
}

describe('LoanPlanner', ({ it }) => {
  it('lends a VM of a spare pool whose lease its incarnation holds', async () => {
    assert.equal(await planLoans('a', 2), ['busy'])
  })

  it('lends none under a lease of an earlier incarnation of its daemon, which may still plan', async () => {
    assert.equal(await planLoans('a', 1), [])
  })

  it('lends none under the lease of another daemon', async () => {
    assert.equal(await planLoans('b', 2), [])
  })
})
