/**
 * Checks that faults in a settings file are reported with code, line and path.
 */
import { readFileSync } from 'node:fs'
import { assert, describe } from '@vanillathread/testing'
import { ResultCode } from '../result/ResultCode.js'
import { parseSettings } from './settingsSchema.js'

const example = readFileSync(new URL('../../../../../examples/settings.yaml', import.meta.url), 'utf8')

describe('parseSettings', ({ it }) => {
  it('accepts the example', () => {
    assert.is(parseSettings('settings.yaml', example).ok, true)
  })

  it('reports every fault at once, with line, path, found value and allowed values', () => {
    const text = example.replace('id: entry-1', 'id: Entry 1').replace('port: 8700', 'port: 87000').replace('kind: http', 'kind: file').replace('level: info', 'level: loud\ncolour: blue')
    const res = parseSettings('settings.yaml', text)
    assert.is(res.ok, false)
    if (res.ok) return
    assert.equal(res.error.map(({ path, line, code }) => [path, line, code]).sort(), [
      ['colour', 17, ResultCode.SchemaViolation],
      ['daemon.id', 3, ResultCode.SchemaViolation],
      ['listen.caller.port', 7, ResultCode.SchemaViolation],
      ['log.level', 16, ResultCode.SchemaViolation],
      ['platform.kind', 12, ResultCode.SchemaViolation],
    ])
    const port = res.error.find(({ path }) => path === 'listen.caller.port')
    assert.is(port?.found, '87000')
    assert.match(port?.allowed ?? '', /65535/)
  })

  it('reports a syntax error with its line', () => {
    const res = parseSettings('settings.yaml', 'daemon: {\n')
    assert.is(res.ok, false)
    if (!res.ok) assert.is(res.error[0]?.code, ResultCode.YamlSyntax)
  })
})
