/**
 * Checks that a daemon of the forwarding interface survives callers that do not behave (issue 56), as `crowds.test.ts` does for clients of queues.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { Address } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import { CrowdConnection } from './lib/crowds/CrowdConnection.js'
import { announce, sendAhead, sendChunks, staySilent, type Member } from './lib/crowds/members.js'
import { ProcessMeter } from './lib/crowds/ProcessMeter.js'
import { sendOnce, sendRequest, type OrdinaryRequest } from './lib/crowds/sendRequest.js'
import { SoakProcess } from './lib/SoakProcess.js'

const RESOURCES = { memoryMb: 200, maxDescriptors: 1_024 }

/** The daemon has no configuration, which its answer says. */
const ORDINARY_CALL: OrdinaryRequest = { method: 'GET', path: '/', host: 'none.example', expectedStatus: 503 }

const PROGRAM = fileURLToPath(new URL('../../daemon/bin/vanillathreadd.js', import.meta.url))
const FOUR_MB = 4_000_000
const START_LIMIT_MS = 15_000
const PLAY_LIMIT_MS = 6_000
const HOLD_MS = 1_000

const CASES: ReadonlyArray<{ readonly name: string, readonly members: number, readonly play: Member, readonly listener: 'caller' | 'operations' | 'peer' }> = [
  // Guards against a budget that counts a body once it is whole.
  { name: '100 bodies that stop short of 4 MB', members: 100, play: announce(FOUR_MB, 10_000), listener: 'caller' },
  // Guards against the same, with parts that are kept.
  { name: '100 chunked bodies that stop short of 4 MB', members: 100, play: sendChunks(16_384, FOUR_MB), listener: 'caller' },
  // Guards against objects of requests ahead.
  { name: '150 callers that send 30,000 requests ahead', members: 150, play: sendAhead(30_000, 'none.example'), listener: 'caller' },
  // Guards against a process that ends as it has no descriptor left.
  { name: '1,500 silent connections', members: 1_500, play: staySilent, listener: 'caller' },
  // Guards against announcements for operators that never end.
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
        assert.equal([statusBeside, statusAfter, faults], [ORDINARY_CALL.expectedStatus, ORDINARY_CALL.expectedStatus, []])
      })
    })
  }
})

/** A process of `vanillathreadd` without peers and without a configuration. */
class CallerDaemon {
  private readonly meter: ProcessMeter

  private constructor (private readonly process: SoakProcess, pid: number, readonly listen: Readonly<Record<'caller' | 'operations' | 'peer', Address>>, private readonly folder: string) {
    this.meter = ProcessMeter.start({ pid, ip: listen.caller.host, resources: RESOURCES })
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
    for (const limitMs = performance.now() + START_LIMIT_MS; await sendOnce(caller, ORDINARY_CALL) === undefined;) {
      if (performance.now() > limitMs) throw new Error(`the daemon does not answer; log in ${folder}`)
      await sleep(100)
    }
    return daemon
  }

  /** Calls as an ordinary caller does. Returns the status, or undefined if no attempt is answered. */
  call (): Promise<number | undefined> {
    return sendRequest(this.listen.caller, ORDINARY_CALL)
  }

  listFaults (): string[] {
    return this.meter.listFaults(this.process.pid)
  }

  async stop (): Promise<void> {
    this.meter.stop()
    await this.process.kill()
    rmSync(this.folder, { recursive: true, force: true })
  }
}
