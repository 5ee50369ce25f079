/**
 * Checks that a daemon of the forwarding interface survives callers that do not behave (issue 56), as `crowds.test.ts` does for clients of queues.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { Address } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import { CrowdConnection } from './lib/crowds/CrowdConnection.js'
import { announce, sendAhead, sendChunks, staySilent, type Member } from './lib/crowds/members.js'
import { ProcessMeter } from './lib/crowds/ProcessMeter.js'
import { SoakProcess } from './lib/SoakProcess.js'

const RESOURCES = { memoryMb: 200, maxDescriptors: 1_024 }

/** Descriptors that the system keeps for files. */
const FILE_DESCRIPTORS = 200

/** Status of a daemon that has no configuration: the answer of an ordinary caller. */
const NO_CONFIGURATION_STATUS = 503

const PROGRAM = fileURLToPath(new URL('../../daemon/bin/vanillathreadd.js', import.meta.url))
const FOUR_MB = 4_000_000
const START_LIMIT_MS = 15_000
const PLAY_LIMIT_MS = 6_000
const HOLD_MS = 1_000

const CASES: ReadonlyArray<{ readonly name: string, readonly members: number, readonly play: Member, readonly listener: 'caller' | 'operations' | 'peer' }> = [
  { name: '100 bodies that stop short of 4 MB', members: 100, play: announce(FOUR_MB, 10_000), listener: 'caller' },
  { name: '100 chunked bodies that stop short of 4 MB', members: 100, play: sendChunks(16_384, FOUR_MB), listener: 'caller' },
  { name: '150 callers that send 30,000 requests ahead', members: 150, play: sendAhead(30_000, 'none.example'), listener: 'caller' },
  { name: '1,500 silent connections', members: 1_500, play: staySilent, listener: 'caller' },
  { name: '50 unfinished bodies for operators', members: 50, play: announce(FOUR_MB, 10_000), listener: 'operations' },
]

describe('callers that do not behave (issue 56)', ({ describe }) => {
  for (const { name, members, play, listener } of CASES) {
    describe(name, ({ it }) => {
      let daemon: CallerDaemon

      it('starts a daemon', async () => { daemon = await CallerDaemon.start() })

      it('leaves the process within the resources of its VM', async () => {
        const connections = Array.from({ length: members }, () => CrowdConnection.open(daemon.listen[listener], { readsAnswers: false }))
        const plays = connections.map(async (connection, index) => {
          await connection.waitUntilOpen()
          await play(connection, index)
        })
        await Promise.race([Promise.all(plays), sleep(PLAY_LIMIT_MS)])
        await sleep(HOLD_MS)
        const statusBeside = await daemon.call()
        for (const connection of connections) connection.close()
        const statusAfter = await daemon.call()
        const faults = daemon.listFaults()
        await daemon.stop()
        assert.equal([statusBeside, statusAfter, faults], [NO_CONFIGURATION_STATUS, NO_CONFIGURATION_STATUS, []])
      })
    })
  }
})

/** A process of `vanillathreadd` without peers and without a configuration. */
class CallerDaemon {
  private readonly meter: ProcessMeter

  private constructor (private readonly process: SoakProcess, private readonly pid: number, readonly listen: Readonly<Record<'caller' | 'operations' | 'peer', Address>>, private readonly folder: string) {
    this.meter = ProcessMeter.start(pid, listen.caller.host)
  }

  static async start (): Promise<CallerDaemon> {
    const host = `127.251.${(process.pid >> 8) % 250}.${1 + process.pid % 250}`
    const [caller, operations, peer] = [8_700, 8_701, 8_702].map((port) => ({ host, port })) as [Address, Address, Address]
    const folder = mkdtempSync(join(tmpdir(), 'vanillathread-callers-'))
    const settings = { daemon: { id: 'entry-1', region: 'r', zone: 'z' }, listen: { caller, operations, peer }, platform: { kind: 'memory' }, resources: RESOURCES }
    // JSON is valid YAML.
    writeFileSync(join(folder, 'settings.yaml'), JSON.stringify(settings))
    const child = SoakProcess.create({ args: [PROGRAM, '--settings', join(folder, 'settings.yaml')], logPath: join(folder, 'daemon.log') })
    child.start()
    const daemon = new CallerDaemon(child, child.pid ?? 0, { caller, operations, peer }, folder)
    for (const limitMs = performance.now() + START_LIMIT_MS; await daemon.send() === undefined;) {
      if (performance.now() > limitMs) throw new Error(`the daemon does not answer; log in ${folder}`)
      await sleep(100)
    }
    return daemon
  }

  /** Calls as an ordinary caller does, with some attempts. Returns the status, or undefined if none is answered. */
  async call (): Promise<number | undefined> {
    for (let attempt = 1; attempt <= 5; attempt++) {
      const status = await this.send()
      if (status !== undefined) return status
      await sleep(200)
    }
    return undefined
  }

  listFaults (): string[] {
    this.meter.sample()
    const { memoryMb, sockets } = this.meter.peaks
    const faults = []
    if (this.process.pid !== this.pid) faults.push('the process has ended')
    if (memoryMb > RESOURCES.memoryMb) faults.push(`memory ${memoryMb} MB`)
    if (sockets > RESOURCES.maxDescriptors - FILE_DESCRIPTORS) faults.push(`${sockets} sockets`)
    return faults
  }

  async stop (): Promise<void> {
    this.meter.stop()
    await this.process.kill()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private send (): Promise<number | undefined> {
    return new Promise((resolve) => {
      const req = request({ ...this.listen.caller, path: '/', agent: false, signal: AbortSignal.timeout(3_000) }, (res) => {
        res.resume()
        res.once('end', () => resolve(res.statusCode))
      })
      req.once('error', () => resolve(undefined))
      req.end()
    })
  }
}
