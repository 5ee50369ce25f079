/**
 * Nested `describe` blocks, based on uvu suites.
 */
import { exec, suite } from 'uvu'

/** Body of one test. @public */
export type TestBody = () => void | Promise<void>

/** The functions that a `describe` block passes to its body. @public */
export interface TestScope {
  /** Registers one test. */
  it (name: string, body: TestBody): void
  /** Opens a nested block; its full name begins with the name of this block. */
  describe (name: string, define: (scope: TestScope) => void): void
}

/** Numbers of tests that passed and failed. @public */
export interface TestSummary {
  passed: number
  failed: number
}

const TEST_TIMEOUT_MS = 20_000

const counts: TestSummary = { passed: 0, failed: 0 }
let knownRed: ReadonlySet<string> = new Set()

/**
 * Registers a block of tests as one uvu suite per nesting level.
 *
 * @example
 * ```ts
 * describe('RetryBudget', ({ it }) => {
 *   it('starts with its minimum', () => { ... })
 * })
 * ```
 * @public
 */
export function describe (name: string, define: (scope: TestScope) => void): void {
  const tests = suite(name)
  define({
    it: (testName, body) => tests(testName, () => runTest(`${name} > ${testName}`, body)),
    describe: (childName, defineChild) => describe(`${name} > ${childName}`, defineChild),
  })
  tests.run()
}

/**
 * Runs every registered suite in order.
 *
 * @param options - `knownRed` holds the full names of tests that may fail without failing the run.
 * @returns the counts of passed and failed tests; a known red test that fails counts as neither.
 * @public
 */
export async function runRegisteredTests (options: { knownRed: ReadonlySet<string> }): Promise<TestSummary> {
  knownRed = options.knownRed
  await exec()
  return { ...counts }
}

async function runTest (fullName: string, body: TestBody): Promise<void> {
  try {
    await withTimeout(body)
  } catch (err) {
    if (knownRed.has(fullName)) {
      console.log(`\nKNOWN RED: ${fullName}: ${String(err)}`)
      return
    }
    counts.failed += 1
    console.log(`\nFAILED: ${fullName}`)
    throw err
  }
  counts.passed += 1
}

async function withTimeout (body: TestBody): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  const expired = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error(`test did not end within ${TEST_TIMEOUT_MS} ms`)), TEST_TIMEOUT_MS)
  })
  try {
    await Promise.race([body(), expired])
  } finally {
    clearTimeout(timer)
  }
}
