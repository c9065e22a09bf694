/** Bounds retries to a fraction of recent successes, so that they can't pile up on a failing service. */

/** Retries earned by one success. */
const RETRIES_PER_SUCCESS = 0.1

/** Retries that can be saved up. */
const MAX_SAVED_RETRIES = 20

/** Budget of one service at one entry. */
export class RetryBudget {
  #savedRetries = MAX_SAVED_RETRIES / 2

  /** Takes in a success. */
  recordSuccess (): void {
    this.#savedRetries = Math.min(MAX_SAVED_RETRIES, this.#savedRetries + RETRIES_PER_SUCCESS)
  }

  /** Spends one retry; returns whether there was one. */
  trySpend (): boolean {
    if (this.#savedRetries < 1) return false
    this.#savedRetries -= 1
    return true
  }
}
