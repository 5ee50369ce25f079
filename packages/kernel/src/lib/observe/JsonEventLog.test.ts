/**
 * Checks that each write ends with a whole line and is small enough for a pipe to take atomically.
 */
import fs from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import { JsonEventLog } from './JsonEventLog.js'

/** Largest write that a pipe takes atomically on Linux; POSIX guarantees only 512 bytes. */
const PIPE_BYTES = 4_096

describe('JsonEventLog', ({ it }) => {
  it('writes a burst of lines completely, in writes that end with a whole line', async () => {
    const folder = fs.mkdtempSync(join(tmpdir(), 'log-'))
    const path = join(folder, 'out')
    const fd = fs.openSync(path, 'w')
    const original = fs.write
    const pieces: string[] = []
    fs.write = ((...args: Parameters<typeof original>) => {
      if (args[0] === fd) pieces.push(String(args[1]))
      return original(...args)
    }) as typeof original
    try {
      const log = JsonEventLog.create({ fields: { daemon: 'd' }, fd })
      for (let line = 0; line < 500; line++) log.write(EventCode.TaskEnded, { task: `task-${line}`, note: 'x'.repeat(line % 200) })
      await log.flush()
    } finally {
      fs.write = original
    }
    assert.ok(pieces.length > 10)
    for (const piece of pieces) {
      assert.ok(Buffer.byteLength(piece) <= PIPE_BYTES, `${Buffer.byteLength(piece)} bytes`)
      assert.ok(piece.endsWith('}\n'), 'part of a line')
    }
    const lines = fs.readFileSync(path, 'utf8').trimEnd().split('\n')
    assert.is(lines.length, 500)
    for (const line of lines) assert.type(JSON.parse(line), 'object')
    fs.rmSync(folder, { recursive: true })
  })
})
