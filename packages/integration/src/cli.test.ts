/**
 * Tests the command-line tool and the daemon's entry point with a platform server.
 */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { assert, describe } from '@vanillathread/testing'
import { CliExit, runCli } from '@vanillathread/cli'
import { DaemonExit, runDaemon } from '@vanillathread/daemon'
import { Daemon } from '@vanillathread/daemon'
import { MemoryEventLog } from '@vanillathread/kernel'
import { MemoryPlatform } from '@vanillathread/ports'
import { PlatformFault, PlatformFaults, PlatformServer } from '@vanillathread/stand-ins'
import { createSettings } from './lib/createSettings.js'
import { waitUntil } from './lib/waitUntil.js'

const EXAMPLE = new URL('../../../examples/lowicz/', import.meta.url)

interface CliFixture {
  readonly memory: MemoryPlatform
  readonly faults: PlatformFaults
  readonly server: PlatformServer
  run (...args: string[]): Promise<{ exit: CliExit, out: string, err: string }>
}

async function withPlatform (body: (fixture: CliFixture) => Promise<void>): Promise<void> {
  const memory = MemoryPlatform.create()
  const faults = PlatformFaults.create()
  const server = await PlatformServer.create({ platform: memory, faults })
  const run = async (...args: string[]): Promise<{ exit: CliExit, out: string, err: string }> => {
    const out: string[] = []
    const err: string[] = []
    const exit = await runCli(args, { stdout: (line) => out.push(line), stderr: (line) => err.push(line) })
    return { exit, out: out.join('\n'), err: err.join('\n') }
  }
  try {
    await body({ memory, faults, server, run })
  } finally {
    await server.dispose()
  }
}

/** Copies the example declarations to a new folder, with one replacement in each file if given. */
function createFolder (change: { inventory?: [string, string], rules?: [string, string] } = {}): string {
  const folder = mkdtempSync(join(tmpdir(), 'vanillathread-'))
  for (const [name, replacement] of [['inventory.yaml', change.inventory], ['rules.yaml', change.rules]] as const) {
    const text = readFileSync(new URL(name, EXAMPLE), 'utf8')
    writeFileSync(join(folder, name), replacement === undefined ? text : text.replace(...replacement))
  }
  return folder
}

describe('vanillathread', ({ it, describe }) => {
  it('prints a summary of a valid folder', () => withPlatform(async ({ run }) => {
    const { exit, out } = await run('check', createFolder())
    assert.is(exit, CliExit.Done)
    assert.is(out, 'valid: 35 vms, 5 pools, 5 services, 5 budgets, 3 teams')
  }))

  it('prints the file, line and code of an invalid value, and writes no rows and no objects', () => withPlatform(async ({ run, server, memory }) => {
    const folder = createFolder({ inventory: ['zone: mazovia-a, rack', 'zone: mazovia-z, rack'] })
    const { exit, err } = await run('apply', folder, '--based-on', '0', '--platform', server.url)
    assert.is(exit, CliExit.BadDeclarations)
    assert.match(err, /inventory\.yaml:15: \[1014\] vms\.0\.zone/)
    assert.equal([memory.table.counters.writes, memory.objects.size], [0, 0])
  }))

  it('prints errors as JSON on request', () => withPlatform(async ({ run }) => {
    const { exit, err } = await run('check', join(tmpdir(), 'no-such-folder'), '--output', 'json')
    assert.is(exit, CliExit.BadDeclarations)
    assert.is(JSON.parse(err).code, 1003)
  }))

  it('ends with the status of a usage error on wrong arguments', () => withPlatform(async ({ run }) => {
    for (const args of [['apply', 'x'], ['explain', 'horse', '1', '--operations', 'http://127.0.0.1:1'], ['check'], ['--colour']]) {
      assert.is((await run(...args)).exit, CliExit.Usage, args.join(' '))
    }
  }))

  describe('apply', ({ it }) => {
    it('accepts a version, prints the difference to it, and recognizes declarations that are already in force', () => withPlatform(async ({ run, server }) => {
      const platform = ['--platform', server.url]
      assert.is((await run('apply', createFolder(), '--based-on', '0', ...platform)).out, 'accepted as version 1')
      const edited = createFolder({ rules: ['minAvailable: 6', 'minAvailable: 7'] })
      assert.is((await run('diff', edited, ...platform)).out, 'against version 1:\n~ budget listings (minAvailable: 6 -> 7)')
      assert.is((await run('apply', edited, '--based-on', '1', ...platform)).out, 'accepted as version 2')
      assert.match((await run('apply', edited, '--based-on', '2', ...platform)).out, /nothing to apply/)
      assert.is(JSON.parse((await run('get', ...platform, '--output', 'json')).out).version, 2)
    }))

    it('accepts one of two concurrent edits of the same version, and ends the other with the status of a conflict', () => withPlatform(async ({ run, server }) => {
      const platform = ['--platform', server.url]
      await run('apply', createFolder(), '--based-on', '0', ...platform)
      const edits = ['5', '7'].map((count) => createFolder({ rules: ['minAvailable: 6', `minAvailable: ${count}`] }))
      const results = await Promise.all(edits.map((edit) => run('apply', edit, '--based-on', '1', ...platform)))
      assert.equal(results.map(({ exit }) => exit).sort(), [CliExit.Done, CliExit.Conflict])
      const loser = results.find(({ exit }) => exit === CliExit.Conflict)
      assert.match(loser?.err ?? '', /\[3001\].*based on version 1; version 2/)
    }))

    it('recognizes its own edit by the apply id if the answer to the first attempt was lost', () => withPlatform(async ({ run, server, faults }) => {
      faults.fault = PlatformFault.AnswerLost
      const lost = await run('apply', createFolder(), '--based-on', '0', '--apply-id', 'edit-1', '--platform', server.url)
      faults.fault = PlatformFault.None
      const again = await run('apply', createFolder(), '--based-on', '0', '--apply-id', 'edit-1', '--platform', server.url)
      assert.is([CliExit.Done, CliExit.OutcomeUnknown].includes(lost.exit), true)
      assert.is(again.out, 'accepted as version 1')
    }))

    it('reports that nothing was changed if the platform is down', () => withPlatform(async ({ run, server, faults }) => {
      faults.fault = PlatformFault.Down
      const { exit, err } = await run('apply', createFolder(), '--based-on', '0', '--platform', server.url)
      assert.is(exit, CliExit.Unavailable)
      assert.match(err, /\[4001\]/)
    }))

    it('succeeds if the platform fails once the accepted version is in force, and that version stays in force', () => withPlatform(async ({ run, server, faults }) => {
      const daemon = Daemon.create({ settings: createSettings({ id: 'entry-1', zone: 'mazovia-a', platformUrl: server.url }), log: MemoryEventLog.create() })
      await daemon.start()
      try {
        const { host, port } = daemon.getAddress('operations')
        const accepted = run('apply', createFolder(), '--based-on', '0', '--platform', server.url, '--operations', `http://${host}:${port}`)
        await waitUntil('the accepted version is in force on the daemon', () => daemon.parts.configuration.getVersionInForce() === 1)
        faults.fault = PlatformFault.Down
        assert.is((await accepted).exit, CliExit.Done)
        assert.is(daemon.parts.configuration.getVersionInForce(), 1)
      } finally {
        await daemon.kill()
      }
    }))

    it('waits with --wait until the version is in force everywhere, and status and explain then show it', () => withPlatform(async ({ run, server }) => {
      const daemon = Daemon.create({ settings: createSettings({ id: 'entry-1', zone: 'mazovia-a', platformUrl: server.url }), log: MemoryEventLog.create() })
      await daemon.start()
      try {
        const { host, port } = daemon.getAddress('operations')
        const operations = ['--operations', `http://${host}:${port}`]
        const applied = await run('apply', createFolder(), '--based-on', '0', '--platform', server.url, '--wait', ...operations)
        assert.match(applied.out, /version 1 is in force everywhere/)
        assert.match((await run('status', ...operations)).out, /daemon entry-1: serving, version 1/)
        assert.is(JSON.parse((await run('explain', 'vm', 'lowicz-01', ...operations, '--output', 'json')).out).vm.pool, 'listings')
        assert.match((await run('explain', 'pool', 'office', ...operations)).out, /minAvailable: 4/)
        assert.is((await run('explain', 'vm', 'lowicz-99', ...operations)).exit, CliExit.NotFound)
      } finally {
        await daemon.stop()
      }
    }))
  })
})

describe('vanillathreadd', ({ it }) => {
  it('ends with the status of bad settings on an invalid or missing settings file', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'vanillathread-')), 'settings.yaml')
    writeFileSync(file, 'daemon: { id: entry-1 }\n')
    assert.is(await runDaemon(['--settings', file]), DaemonExit.BadSettings)
    assert.is(await runDaemon(['--settings', `${file}.absent`]), DaemonExit.BadSettings)
  })

  it('fails when starting on a port that is already in use', async () => {
    const first = Daemon.create({ settings: createSettings({ id: 'entry-1', zone: 'a' }), log: MemoryEventLog.create() })
    await first.start()
    const taken = first.getAddress('caller').port
    const second = Daemon.create({ settings: createSettings({ id: 'entry-2', zone: 'a', callerPort: taken }), log: MemoryEventLog.create() })
    let failed = false
    await second.start().catch(() => { failed = true })
    await first.stop()
    assert.is(failed, true)
  })
})
