/**
 * Test helpers on uvu: nested `describe` blocks and a runner that counts results.
 *
 * @packageDocumentation
 */
export * as assert from 'uvu/assert'
export { describe, runRegisteredTests, type TestScope, type TestSummary } from './lib/describe.js'
