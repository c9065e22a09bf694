/** Limits orders to a rate. Answers surges in which hundreds of machines change their pool, and a platform that rejects what is beyond its rate. */
import type { Clock, Millis } from '../../clock/index.js'

/** Orders that may be sent, which accrue at a constant rate. */
export class OrderBudget {
  readonly #clock: Clock
  readonly #ordersPerMs: number
  readonly #maxUnused: number
  #available = 0
  #accruedAt: Millis

  /**
   * @param clock - source of time
   * @param ordersPerSecond - rate of the orders
   * @param maxUnusedMs - orders that are not used accrue for this long at most
   */
  constructor (clock: Clock, ordersPerSecond: number, maxUnusedMs: Millis) {
    this.#clock = clock
    this.#ordersPerMs = ordersPerSecond / 1000
    this.#maxUnused = Math.max(1, this.#ordersPerMs * maxUnusedMs)
    this.#accruedAt = clock.now()
  }

  /** Takes one order from the budget; returns whether it may be sent. */
  take (): boolean {
    const now = this.#clock.now()
    this.#available = Math.min(this.#maxUnused, this.#available + (now - this.#accruedAt) * this.#ordersPerMs)
    this.#accruedAt = now
    if (this.#available < 1) return false
    this.#available -= 1
    return true
  }
}
