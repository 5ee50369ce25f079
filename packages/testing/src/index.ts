/**
 * Test helpers based on uvu: nested `describe` blocks and a function that runs the registered tests and counts results.
 *
 * @packageDocumentation
 */
export * as assert from 'uvu/assert'
export { describe, runRegisteredTests, type TestScope, type TestSummary } from './lib/describe.js'
