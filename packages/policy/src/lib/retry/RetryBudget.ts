/**
 * Limits retries to a fraction of recent requests, so that retries cannot amplify an overload.
 *
 * The mechanism is that of Finagle's retry budgets.
 */

/** Options of {@link RetryBudget.create}. @public */
export interface RetryBudgetOptions {
  /** Number of retries that each answered request adds to the budget. */
  readonly ratio: number
  /** Number of retries that the budget holds at the start. */
  readonly reserve: number
  /** Maximum number of retries that the budget can hold. */
  readonly limit: number
}

/** A token bucket whose tokens are retries. @public */
export class RetryBudget {
  private balance: number

  private constructor (private readonly options: RetryBudgetOptions) {
    this.balance = options.reserve
  }

  static create (options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options)
  }

  /** Adds `ratio` retries for an answered request, up to the limit. */
  deposit (): void {
    this.balance = Math.min(this.options.limit, this.balance + this.options.ratio)
  }

  /** Takes one retry. @returns false if the budget holds less than one retry. */
  withdraw (): boolean {
    if (this.balance < 1) return false
    this.balance -= 1
    return true
  }
}
