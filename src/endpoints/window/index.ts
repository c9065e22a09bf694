/**
 * Concurrency windows: limit how many of an endpoint's slots one entry uses, so that all entries together respect the
 * endpoint's limit.
 */

/**
 * How entries share an endpoint's slots. `adaptive`: additive increase and multiplicative decrease; `split`: equal
 * shares; `refusal`: each entry may use all slots, and the endpoint refuses requests beyond them.
 */
export type SlotSharing = 'adaptive' | 'split' | 'refusal'

/** Limits the requests in flight from one entry to one endpoint. */
export interface SlotWindow {
  /** Requests that may be in flight at the same time. */
  readonly limit: number
  /**
   * Records an accepted request.
   *
   * @param isFull - whether the window was full when the request was sent
   */
  accepted (isFull: boolean): void
  /** Records that the endpoint refused a request because all its slots were in use. */
  refused (): void
}

/** Additive increase for each request accepted while the window was full. */
const INCREASE_SLOTS = 0.5

/** Multiplicative decrease after a refusal. */
const DECREASE_FACTOR = 0.75

type WindowFactory = (slots: number, entries: () => number) => SlotWindow

const WINDOW_FACTORIES: Readonly<Record<SlotSharing, WindowFactory>> = {
  adaptive: (slots, entries) => new AdaptiveWindow(slots, entries()),
  split: (slots, entries) => new SplitWindow(slots, entries),
  refusal: (slots) => ({ limit: slots, accepted: () => {}, refused: () => {} })
}

/**
 * Creates the window of an entry for an endpoint.
 *
 * @param sharing - how entries share the slots
 * @param slots - number of slots of the endpoint
 * @param entries - returns the number of entries
 */
export function createSlotWindow (sharing: SlotSharing, slots: number, entries: () => number): SlotWindow {
  return WINDOW_FACTORIES[sharing](slots, entries)
}

/**
 * Grows while requests are accepted and shrinks with each refusal, so that entries with more demand get more slots.
 * Starts with an equal share.
 */
class AdaptiveWindow implements SlotWindow {
  readonly #slots: number
  #size: number

  constructor (slots: number, entries: number) {
    this.#slots = slots
    this.#size = Math.max(1, slots / Math.max(1, entries))
  }

  get limit (): number {
    return Math.floor(this.#size)
  }

  accepted (isFull: boolean): void {
    if (isFull) this.#size = Math.min(this.#slots, this.#size + INCREASE_SLOTS)
  }

  refused (): void {
    this.#size = Math.max(1, this.#size * DECREASE_FACTOR)
  }
}

/** Gives each entry an equal share, independent of its demand. */
class SplitWindow implements SlotWindow {
  readonly #slots: number
  readonly #entries: () => number

  constructor (slots: number, entries: () => number) {
    this.#slots = slots
    this.#entries = entries
  }

  get limit (): number {
    return Math.max(1, Math.floor(this.#slots / Math.max(1, this.#entries())))
  }

  accepted (): void {}

  refused (): void {}
}
