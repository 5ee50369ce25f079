/**
 * Tests of the decision after each outcome, and of the retry budget.
 */
import { assert, describe } from '@vanillathread/testing'
import { Execution, RESULT_CODES, ResultCode } from '@vanillathread/model'
import { AttemptOutcomeKind, UnknownReason, type AttemptOutcome } from './AttemptOutcome.js'
import { decideRetry, RetryAction, type RetryState } from './decideRetry.js'
import { RetryBudget } from './RetryBudget.js'

const BASE: RetryState = { idempotent: false, attempts: 1, maxAttempts: 3, mayHaveRun: false, nowMs: 0, deadlineMs: 100, withdraw: () => true }
const NOT_SENT: AttemptOutcome = { kind: AttemptOutcomeKind.NotSent }
const REFUSED: AttemptOutcome = { kind: AttemptOutcomeKind.RefusedNotRun, leaving: false }
const LOST: AttemptOutcome = { kind: AttemptOutcomeKind.Unknown, reason: UnknownReason.ConnectionLost }
const BROKEN: AttemptOutcome = { kind: AttemptOutcomeKind.Unknown, reason: UnknownReason.BrokenAnswer }
const FAILED: AttemptOutcome = { kind: AttemptOutcomeKind.Answered, status: 500 }

describe('decideRetry', ({ it }) => {
  it('retries a non-idempotent request only if it did not run', () => {
    assert.is(decideRetry(NOT_SENT, BASE).action, RetryAction.Retry)
    assert.is(decideRetry(REFUSED, BASE).action, RetryAction.Retry)
    assert.equal(decideRetry(LOST, BASE), { action: RetryAction.Fail, code: ResultCode.AnswerLost })
    assert.equal(decideRetry(BROKEN, BASE), { action: RetryAction.Fail, code: ResultCode.AnswerBroken })
    assert.is(decideRetry(FAILED, BASE).action, RetryAction.Deliver)
  })

  it('retries an idempotent request after every kind of failure', () => {
    for (const outcome of [NOT_SENT, REFUSED, LOST, BROKEN, FAILED]) assert.is(decideRetry(outcome, { ...BASE, idempotent: true }).action, RetryAction.Retry)
  })

  it('ends with a failure if the budget, the attempts or the time until the deadline is used up', () => {
    const spent: RetryState[] = [{ ...BASE, withdraw: () => false }, { ...BASE, attempts: 3 }, { ...BASE, nowMs: 100 }]
    for (const state of spent) assert.equal(decideRetry(REFUSED, state), { action: RetryAction.Fail, code: ResultCode.EndpointRefused })
  })

  it('never reports a request as not run if an earlier attempt may have run', () => {
    for (const outcome of [NOT_SENT, REFUSED, LOST, BROKEN]) {
      const decision = decideRetry(outcome, { ...BASE, mayHaveRun: true, withdraw: () => false })
      assert.is(decision.action === RetryAction.Fail && RESULT_CODES[decision.code].execution === Execution.NotRun, false)
    }
  })
})

describe('RetryBudget', ({ it }) => {
  it('allows retries for a tenth of the answers, plus the reserve', () => {
    const budget = RetryBudget.create({ ratio: 0.1, reserve: 5, limit: 50 })
    let retries = 0
    for (let answer = 0; answer < 1_000; answer++) {
      budget.deposit()
      if (budget.withdraw()) retries += 1
    }
    assert.is(retries <= 105 && retries >= 100, true)
  })

  it('holds no more retries than its limit', () => {
    const budget = RetryBudget.create({ ratio: 1, reserve: 0, limit: 3 })
    for (let answer = 0; answer < 100; answer++) budget.deposit()
    assert.equal([1, 2, 3, 4].map(() => budget.withdraw()), [true, true, true, false])
  })
})
