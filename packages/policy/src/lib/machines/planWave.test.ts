/**
 * The order in which a wave's machines are emptied.
 */
import { assert, describe } from '@vanillathread/testing'
import { planWave, WaveMachineState, type WaveMachine } from './planWave.js'

function machine (id: string, machine: Partial<WaveMachine> = {}): WaveMachine {
  return { id, state: WaveMachineState.Due, pool: 'a', usedCpuMillis: 0, lastingTasks: 0, occupied: false, ...machine }
}

const SERVING = new Map([['a', 9], ['b', 1]])

describe('planWave', ({ it }) => {
  it('never has more machines out than the cap', () => {
    const machines = [machine('x', { state: WaveMachineState.Down }), machine('y', { state: WaveMachineState.Evacuating }), machine('z'), machine('u')]
    assert.equal(planWave({ cap: 3, machines, servingByPool: SERVING }), ['z'])
    assert.equal(planWave({ cap: 2, machines, servingByPool: SERVING }), [])
  })

  it('begins with machines whose long-running tasks take long to move, and leaves room for others', () => {
    const machines = [machine('idle'), machine('lasting', { lastingTasks: 5, usedCpuMillis: 9 }), machine('lasting too', { lastingTasks: 2, usedCpuMillis: 9, pool: 'b' }), machine('busy', { usedCpuMillis: 5 })]
    assert.equal(planWave({ cap: 2, machines, servingByPool: SERVING }), ['lasting', 'idle'])
  })

  it('takes one machine at a time from a small pool, and a third of a large one', () => {
    const small = [machine('p', { pool: 'b', usedCpuMillis: 1 }), machine('q', { pool: 'b', usedCpuMillis: 2 })]
    assert.equal(planWave({ cap: 5, machines: small, servingByPool: SERVING }), ['p'])
    const large = Array.from({ length: 5 }, (_unused, index) => machine(`m${index}`, { usedCpuMillis: 1 }))
    assert.is(planWave({ cap: 5, machines: large, servingByPool: SERVING }).length, 3)
  })

  it('leaves machines alone that move', () => {
    assert.equal(planWave({ cap: 5, machines: [machine('m', { occupied: true })], servingByPool: SERVING }), [])
  })
})
