/**
 * Limits retries to a fraction of recent requests, so that retries cannot amplify an overload.
 *
 * Source of the mechanism: the retry budgets of Finagle.
 */

/** Options of {@link RetryBudget.create}. @public */
export interface RetryBudgetOptions {
  /** Retries that one answered request pays for. */
  readonly ratio: number
  /** Retries that are allowed without any recent request. */
  readonly reserve: number
  /** Most retries that can be saved up. */
  readonly limit: number
}

/** A bucket of retries. @public */
export class RetryBudget {
  private balance: number

  private constructor (private readonly options: RetryBudgetOptions) {
    this.balance = options.reserve
  }

  static create (options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options)
  }

  /** Notes an answered request. */
  deposit (): void {
    this.balance = Math.min(this.options.limit, this.balance + this.options.ratio)
  }

  /** Takes one retry. @returns false where the budget is spent. */
  withdraw (): boolean {
    if (this.balance < 1) return false
    this.balance -= 1
    return true
  }
}
