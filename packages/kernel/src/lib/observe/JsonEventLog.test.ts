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

/** Lines of about 1 kB: about three times as many as the log holds for a reader that does not keep up. */
const LINES = 3_000

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

  it('reports how many lines were dropped while the reader did not keep up, once it does again', async () => {
    const folder = fs.mkdtempSync(join(tmpdir(), 'log-'))
    const path = join(folder, 'out')
    const fd = fs.openSync(path, 'w')
    const original = fs.write
    const heldWrites: Array<() => void> = []
    let holding = true
    fs.write = ((...args: Parameters<typeof original>) => {
      if (args[0] === fd && holding) heldWrites.push(() => original(...args))
      else original(...args)
    }) as typeof original
    let writtenLines: Array<{ event: number, lines?: number }> = []
    try {
      const log = JsonEventLog.create({ fields: { daemon: 'd' }, fd })
      for (let line = 0; line < LINES; line++) log.write(EventCode.TaskEnded, { note: 'x'.repeat(1_000) })
      holding = false
      for (const write of heldWrites) write()
      await log.flush()
      log.write(EventCode.TaskEnded, { note: 'last' })
      await log.flush()
      writtenLines = fs.readFileSync(path, 'utf8').trimEnd().split('\n').map((line) => JSON.parse(line))
    } finally {
      fs.write = original
      fs.rmSync(folder, { recursive: true })
    }
    const taskLines = writtenLines.filter(({ event }) => event === EventCode.TaskEnded).length
    const reports = writtenLines.filter(({ event }) => event === EventCode.LogReaderSlow)
    assert.ok(taskLines < LINES, 'no line was dropped')
    assert.equal(reports.map(({ lines }) => lines), [LINES + 1 - taskLines])
  })
})
