/**
 * Which machines of a wave are evacuated first, and how many at the same time.
 */
import { assert, describe } from '@vanillathread/testing'
import { planWave, WaveMachineState, type WaveMachine } from './planWave.js'

function machine (id: string, machine: Partial<WaveMachine> = {}): WaveMachine {
  return { id, state: WaveMachineState.Due, pool: 'a', usedCpuMillis: 0, longRunningTasks: 0, occupied: false, ...machine }
}

const USABLE_VMS = new Map([['a', 9], ['b', 1]])

describe('planWave', ({ it }) => {
  it('never takes more machines out of service at the same time than the cap', () => {
    const machines = [machine('x', { state: WaveMachineState.Down }), machine('y', { state: WaveMachineState.Evacuating }), machine('z'), machine('u')]
    assert.equal(planWave({ cap: 3, machines, usableVmsByPool: USABLE_VMS }), ['z'])
    assert.equal(planWave({ cap: 2, machines, usableVmsByPool: USABLE_VMS }), [])
  })

  it('begins with machines whose long-running tasks take long to move, and leaves a part of the cap for others', () => {
    const machines = [machine('idle'), machine('long-running', { longRunningTasks: 5, usedCpuMillis: 9 }), machine('long-running too', { longRunningTasks: 2, usedCpuMillis: 9, pool: 'b' }), machine('busy', { usedCpuMillis: 5 })]
    assert.equal(planWave({ cap: 2, machines, usableVmsByPool: USABLE_VMS }), ['long-running', 'idle'])
  })

  it('evacuates one machine at a time of a small pool, and a third of a large one', () => {
    const small = [machine('p', { pool: 'b', usedCpuMillis: 1 }), machine('q', { pool: 'b', usedCpuMillis: 2 })]
    assert.equal(planWave({ cap: 5, machines: small, usableVmsByPool: USABLE_VMS }), ['p'])
    const large = Array.from({ length: 5 }, (_unused, index) => machine(`m${index}`, { usedCpuMillis: 1 }))
    assert.is(planWave({ cap: 5, machines: large, usableVmsByPool: USABLE_VMS }).length, 3)
  })

  it('leaves machines alone while they move', () => {
    assert.equal(planWave({ cap: 5, machines: [machine('m', { occupied: true })], usableVmsByPool: USABLE_VMS }), [])
  })
})
