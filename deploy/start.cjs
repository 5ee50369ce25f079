/**
 * Starts the daemon's bundle with the code cache from the build, because a process that is restarted has little CPU time for compiling.
 */
const { existsSync, readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const filename = join(__dirname, 'bundle.cjs')
const cachePath = join(__dirname, 'bundle.cache')
const cachedData = existsSync(cachePath) ? readFileSync(cachePath) : undefined

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(filename, 'utf8')}\n})`
const script = new Script(source, { filename, cachedData })

// The daemon's first log line reports whether the code cache was used, rejected or absent (none).
process.env.VANILLATHREAD_COMPILED_CODE = cachedData === undefined ? 'none' : script.cachedDataRejected ? 'rejected' : 'used'
script.runInThisContext()({}, require, { exports: {} }, filename, __dirname)

module.exports = { script, cachePath }
