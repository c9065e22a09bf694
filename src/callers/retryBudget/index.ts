/** Limits retries to a fraction of recent successes, so that retries don't add to the load of a failing service. */

const RETRIES_PER_SUCCESS = 0.1

const MAX_SAVED_RETRIES = 20

/** Retry budget of one service at one entry. */
export class RetryBudget {
  #savedRetries = MAX_SAVED_RETRIES / 2

  /** Adds a fraction of a retry to the budget. */
  recordSuccess (): void {
    this.#savedRetries = Math.min(MAX_SAVED_RETRIES, this.#savedRetries + RETRIES_PER_SUCCESS)
  }

  /**
   * Spends one retry if the budget has one.
   *
   * @returns whether a retry is allowed
   */
  trySpend (): boolean {
    if (this.#savedRetries < 1) return false
    this.#savedRetries -= 1
    return true
  }
}
