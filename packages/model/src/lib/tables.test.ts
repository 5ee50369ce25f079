/**
 * Checks that the tables in docs/ equal those in the code.
 */
import { readFileSync } from 'node:fs'
import { assert, describe } from '@vanillathread/testing'
import { EventCode, EVENTS } from './events/EventCode.js'
import { ResultCode, RESULT_CODES } from './result/ResultCode.js'

function readRows (name: string): string[][] {
  const text = readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8')
  const rows = text.split('\n').filter((line) => /^\| \d+ \|/.test(line))
  return rows.map((row) => row.split('|').slice(1, -1).map((cell) => cell.trim()))
}

function listNumbers (codes: Record<string, string | number>): number[] {
  return Object.values(codes).filter((value): value is number => typeof value === 'number')
}

describe('tables in docs', ({ it }) => {
  it('RESULT-CODES.md equals the code', () => {
    const expected = listNumbers(ResultCode).map((code) => {
      const { title, status, execution } = RESULT_CODES[code as ResultCode]
      return [String(code), ResultCode[code], title, String(status ?? ''), execution ?? '']
    })
    assert.equal(readRows('RESULT-CODES.md'), expected)
  })

  it('EVENTS.md equals the code', () => {
    const expected = listNumbers(EventCode).map((code) => {
      const { level, message } = EVENTS[code as EventCode]
      return [String(code), EventCode[code], level, message]
    })
    assert.equal(readRows('EVENTS.md'), expected)
  })

  it('every request code has an HTTP status and says whether the request ran', () => {
    for (const code of listNumbers(ResultCode).filter((number) => number >= 2000 && number < 3000)) {
      const info = RESULT_CODES[code as ResultCode]
      assert.type(info.status, 'number')
      assert.type(info.execution, 'string')
    }
  })
})
