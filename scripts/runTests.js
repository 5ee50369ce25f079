/**
 * Runs the compiled test files in one process and prints `N passed, N failed`. The first argument, if given, selects
 * the files whose path contains it.
 *
 * Each test file registers its tests through `describe` of `@vanillathread/testing`; this script then runs
 * all registered tests. A test listed in KNOWN-RED.txt may fail without failing the run; the failure is printed
 * with the test's name.
 */
import { readdirSync, readFileSync, existsSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { pathToFileURL } from 'node:url'

const root = resolve(import.meta.dirname ?? '.', '..')
const filter = process.argv[2] ?? ''

function findTestFiles (dir) {
  const files = []
  for (const entry of readdirSync(dir, { withFileTypes: true })) {
    const path = join(dir, entry.name)
    if (entry.isDirectory()) files.push(...findTestFiles(path))
    else if (entry.name.endsWith('.test.js')) files.push(path)
  }
  return files
}

function readKnownRed () {
  const path = join(root, 'KNOWN-RED.txt')
  if (!existsSync(path)) return new Set()
  const lines = readFileSync(path, 'utf8').split('\n')
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
}

const workspaces = [...readdirSync(join(root, 'packages')).map((name) => join(root, 'packages', name)), join(root, 'platform')]
const compiled = workspaces.map((path) => join(path, 'dist')).filter((path) => existsSync(path))
const files = compiled.flatMap((path) => findTestFiles(path)).sort()
const selected = files.filter((file) => file.includes(filter))

// Without UVU_DEFER, uvu runs its queue when it is imported.
globalThis.UVU_DEFER = 1
globalThis.UVU_QUEUE = [[null]]
const { runRegisteredTests } = await import('@vanillathread/testing')
for (const file of selected) await import(pathToFileURL(file).href)

// The timer keeps the event loop alive. Without it, a test that waits for a promise that never settles could end the
// process without a message; with it, the test fails with a timeout.
const keepAlive = setInterval(() => {}, 1000)
const summary = await runRegisteredTests({ knownRed: readKnownRed() })
clearInterval(keepAlive)
console.log(`${summary.passed} passed, ${summary.failed} failed`)
process.exit(summary.failed === 0 && summary.passed > 0 ? 0 : 1)
