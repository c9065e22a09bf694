/** Counts the bytes that are held for clients. */

/** Bytes that are held for one request. */
export interface Holding {
  bytes: number
  /** Gives the bytes up; null while they can't be given up. */
  giveUp: (() => void) | null
}

/** Bytes held over all connections. What is over the limit is taken from the largest holding, so that small requests are kept. */
export class HeldBytes {
  readonly #max: number
  readonly #holdings = new Set<Holding>()
  #total = 0

  /** @param max - maximum number of bytes */
  constructor (max: number) {
    this.#max = max
  }

  get total (): number {
    return this.#total
  }

  /**
   * Adds bytes to a holding. The largest holdings that can be given up, maybe this one, are given up while there are too many bytes.
   *
   * @param holding - holding of a request
   * @param bytes - number of further bytes
   */
  add (holding: Holding, bytes: number): void {
    this.#holdings.add(holding)
    holding.bytes += bytes
    this.#total += bytes
    while (this.#total > this.#max) {
      const largest = this.#findLargest()
      if (largest === null) return
      const { giveUp } = largest
      this.release(largest)
      giveUp?.()
    }
  }

  /**
   * Removes a holding.
   *
   * @param holding - holding of a request
   */
  release (holding: Holding): void {
    if (!this.#holdings.delete(holding)) return
    this.#total -= holding.bytes
    holding.bytes = 0
    holding.giveUp = null
  }

  #findLargest (): Holding | null {
    let largest: Holding | null = null
    for (const holding of this.#holdings) if (holding.giveUp !== null && holding.bytes > (largest?.bytes ?? 0)) largest = holding
    return largest
  }
}
