/**
 * Runs the bundle briefly without a platform or peers, then stores the code that V8 compiled in this time.
 */
const { writeFileSync, mkdtempSync, rmSync } = require('node:fs')
const { tmpdir } = require('node:os')
const { join } = require('node:path')

/** Long enough for the start, for the first calls, which fail, and for the timers that follow them. */
const RUN_MS = 1_500

const folder = mkdtempSync(join(tmpdir(), 'vanillathreadd-'))
const settings = join(folder, 'boot.yaml')
writeFileSync(settings, `
node-name: "build"
ip: "127.0.0.1"
listen-addrs:
  frontend: "127.0.0.1:39624"
  readiness: "127.0.0.1:39622"
internal-port-range:
  - 39660
  - 39675
platform:
  address: "127.0.0.1:1"
`)
process.env.VANILLATHREAD_CONFIG = settings

const { script, cachePath } = require('../target/vanillathreadd.cjs')

process.on('exit', () => {
  writeFileSync(cachePath, script.createCachedData())
  rmSync(folder, { recursive: true })
  // A daemon that could not start because no port was free has still compiled most of its code.
  process.exitCode = 0
})
setTimeout(() => process.exit(), RUN_MS)
