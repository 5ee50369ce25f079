import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { NaiveOwner } from '@vanillathread/integration'
import { assert, describe } from '@vanillathread/testing'
import { createSchedule, FaultKind, type Fault } from './lib/FaultSchedule.js'
import { Link, LinkFault } from './lib/Link.js'
import type { PlantedFaults } from './lib/SoakCluster.js'
import { SoakRun } from './lib/SoakRun.js'

const SEED = 2
const DURATION_MS = 12_000

/** Kinds of the seed's schedule. A further one would change which faults the seed draws; it has a test of its own. */
const SEED_KINDS = Object.values(FaultKind).filter((kind) => kind !== FaultKind.VmRestart)

describe('soak', ({ describe }) => {
  describe('createSchedule', ({ it }) => {
    it('is the same for the same seed only', () => {
      const first = createSchedule({ seed: 7, durationMs: 300_000 })
      assert.equal(createSchedule({ seed: 7, durationMs: 300_000 }), first)
      assert.not.equal(createSchedule({ seed: 8, durationMs: 300_000 }), first)
    })

    it('plays every kind within some seeds, and some faults at the same time', () => {
      const schedules = Array.from({ length: 40 }, (_unused, seed) => createSchedule({ seed, durationMs: 60_000 }))
      assert.equal(new Set(schedules.flat().map(({ kind }) => kind)).size, Object.values(FaultKind).length)
      assert.ok(schedules.some((faults) => faults.some((fault, index) => fault.atMs < (faults[index - 1]?.atMs ?? 0) + (faults[index - 1]?.durationMs ?? 0))))
    })
  })

  describe('Link', ({ it }) => {
    it('passes bytes on, holds them up in one direction, and delivers them later', () => withEcho(async (link, send) => {
      assert.is(await send('a'), 'a')
      link.fault = LinkFault.AnswersHeld
      const held = send('b')
      assert.is(await Promise.race([held, wait(100)]), undefined)
      link.fault = LinkFault.None
      assert.is(await held, 'b')
    }))

    it('cuts off one client and passes on the bytes of another', () => withEcho(async (link, send) => {
      link.cutClients = new Set(['127.0.0.2'])
      const held = send('a', '127.0.0.2')
      assert.is(await send('b', '127.0.0.3'), 'b')
      assert.is(await Promise.race([held, wait(100)]), undefined)
      link.cutClients = new Set()
      assert.is(await held, 'a')
    }))

    it('silences open connections for good, while new ones work', () => withEcho(async (link, send) => {
      const open = connect(link.address.port, link.address.host)
      open.on('error', () => {})
      await new Promise((resolve) => { open.once('connect', resolve) })
      await wait(50)
      link.silence()
      open.write('lost')
      const answered = new Promise((resolve) => { open.once('data', resolve) })
      assert.is(await Promise.race([answered, wait(100)]), undefined)
      assert.is(await send('new'), 'new')
      open.destroy()
    }))
  })

  describe('SoakRun', ({ it }) => {
    let run: SoakRun

    it('starts real daemons', async () => { run = await SoakRun.start({ seed: SEED, durationMs: DURATION_MS, kinds: SEED_KINDS }) })

    it('plays the faults of a seed', () => run.play())

    it('keeps the promises to clients', async () => {
      await run.settle()
      await run.stop()
      const { violations, accepted, completed } = run.result
      assert.ok(accepted > 20 && completed > 15, `${accepted} accepted, ${completed} complete`)
      assert.equal(violations, [], run.describeViolations(`npm run soak -- --seed ${SEED} --seconds ${DURATION_MS / 1_000} --kinds ${SEED_KINDS.join(' ')}`))
    })
  })

  describe('leave during a roll (issue 27)', ({ it }) => {
    let run: SoakRun

    it('starts real daemons', async () => {
      run = await SoakRun.start({ seed: SEED, durationMs: 18_000, schedule: [{ kind: FaultKind.LeaveDuringRoll, atMs: 2_500, durationMs: 0, target: 0 }] })
    })

    it('plays', () => run.play())

    it('leaves no accepted job idle', async () => {
      await run.stop()
      assert.equal(run.result.violations, [])
    })
  })

  describe('zone cut (issue 46)', ({ it }) => {
    let run: SoakRun

    it('starts real daemons', async () => {
      run = await SoakRun.start({ seed: SEED, durationMs: 16_000, schedule: [{ kind: FaultKind.ZoneCut, atMs: 2_000, durationMs: 0, target: 0 }] })
    })

    it('plays', () => run.play())

    it('runs no task twice while the zone of the owner is cut off', async () => {
      const report = run.describeViolations('npm run soak')
      await run.stop()
      assert.equal(run.result.violations, [], report)
    })
  })

  describe('restart of VMs under their ids (issue 52)', ({ it }) => {
    let run: SoakRun

    it('starts real daemons', async () => {
      const restart: Fault = { kind: FaultKind.VmRestart, atMs: 6_000, durationMs: 0, target: 1_000 }
      run = await SoakRun.start({ seed: SEED, durationMs: 17_500, schedule: [restart, { ...restart, target: 1_301 }] })
    })

    it('plays', () => run.play())

    // Guards against TWICE: a lease by the clock of a former incarnation, which its owner did not know of.
    it('starts no task twice while the VMs are cut off', async () => {
      const report = run.describeViolations('npm run soak')
      await run.stop()
      assert.equal(run.result.violations, [], report)
    })
  })

  describe('planted faults', ({ it }) => {
    const lateStarts: Fault = { kind: FaultKind.VmLateStarts, atMs: 1_000, durationMs: 8_000, target: 0 }
    const vmCut: Fault = { kind: FaultKind.VmCut, atMs: 1_500, durationMs: 12_000, target: 0 }
    let runs: readonly SoakRun[]

    it('start', async () => {
      runs = await Promise.all([
        startPlanted({ naive: NaiveOwner.AcknowledgesEarly }, 4_000, []),
        startPlanted({ naive: NaiveOwner.RestartsWithoutAnswer }, 10_000, [lateStarts, { ...lateStarts, target: 1 }]),
        startPlanted({ ignoresLease: true }, 13_500, [vmCut, { ...vmCut, target: 1 }]),
      ])
    })

    it('of the owner and of VMs are found', async () => {
      const reports = await Promise.all(runs.map(async (run) => {
        await run.play()
        const report = run.describeViolations('npm run soak')
        await run.stop()
        return report
      }))
      for (const [index, report] of reports.entries()) {
        assert.ok(runs[index]?.result.violations.some(({ rule }) => rule === 'TWICE'), report)
        assert.match(report, /schedule:[^]*logs of [0-9a-f]{16}:\n {2}d-\d\.log: [^]*play again: npm run soak/)
      }
    })
  })
})

function startPlanted (planted: PlantedFaults, durationMs: number, schedule: readonly Fault[]): Promise<SoakRun> {
  return SoakRun.start({ seed: SEED, durationMs, schedule, planted, daemons: 2 })
}

/** Calls the body with a link to an echo server, and with a function that sends text on a new connection and returns the answer. */
async function withEcho (body: (link: Link, send: (text: string, from?: string) => Promise<string>) => Promise<void>): Promise<void> {
  const server: Server = createServer((socket) => socket.on('error', () => {}).pipe(socket))
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const link = await Link.open('127.0.0.1', { host: '127.0.0.1', port: (server.address() as AddressInfo).port })
  try {
    await body(link, (text, from) => new Promise((resolve, reject) => {
      const socket = connect({ ...link.address, localAddress: from }, () => socket.write(text))
      socket.once('error', reject)
      socket.once('data', (data) => {
        socket.destroy()
        resolve(data.toString())
      })
    }))
  } finally {
    link.close()
    server.close()
  }
}

function wait (durationMs: number): Promise<undefined> {
  return new Promise((resolve) => { setTimeout(() => resolve(undefined), durationMs) })
}
