/**
 * Checks that rows with addresses for which no client or socket can be opened are invalid, as opening one throws.
 */
import { assert, describe } from '@vanillathread/testing'
import type { Address, VmEntry } from '@vanillathread/model'
import { decodeMemberRow, decodeRosterRow, encodeRow } from './rows.js'

const BAD_PORTS = [-1, 1.5, 65_536, 99_999, Infinity, Number.NaN]

function createEntry (address: Address): VmEntry {
  return { id: 'vm', pool: 'p', address, zone: 'z', capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, labels: [], draining: false, bornMs: 1 }
}

describe('rows', ({ it }) => {
  it('of the roster are invalid if no client can be opened for the address', () => {
    for (const host of ['10.0.0.1', 'vm-1', '[::1]']) assert.equal(decodeRosterRow(encodeRow(createEntry({ host, port: 80 }))), { entry: createEntry({ host, port: 80 }) })
    for (const host of ['', 'a b', '999.1.1.1', '10.0.0.1/x', 'u@h']) assert.is(decodeRosterRow(encodeRow(createEntry({ host, port: 80 }))), undefined)
    for (const port of [0, ...BAD_PORTS]) assert.is(decodeRosterRow(encodeRow(createEntry({ host: 'h', port }))), undefined)
    assert.is(decodeRosterRow(encodeRow(createEntry(undefined as never))), undefined)
  })

  it('of daemons are invalid if no socket can be opened for the port', () => {
    for (const host of ['10.0.0.1', '::1']) assert.equal(decodeMemberRow(encodeRow({ host, port: 65_535, speed: 1 })), { host, port: 65_535, speed: 1 })
    for (const port of BAD_PORTS) assert.is(decodeMemberRow(encodeRow({ host: 'h', port, speed: 1 })), undefined)
  })
})
