/** How many of an endpoint's slots one entry uses, so that all entries together keep to the endpoint's limit. */

/** Ways of sharing an endpoint's slots between entries. */
export type SlotSharing = 'adaptive' | 'split' | 'refusal'

/** What a window adapts to. */
export interface SlotWindow {
  /** Requests that may be in flight at once. */
  readonly limit: number
  /** Takes in that a request was accepted while the window was full. */
  accepted (isFull: boolean): void
  /** Takes in that the endpoint refused a request because its slots were taken. */
  refused (): void
}

/** Growth for each request accepted with a full window, in slots. */
const INCREASE_SLOTS = 0.5

/** Factor after a refusal. */
const DECREASE_FACTOR = 0.75

type WindowFactory = (slots: number, entries: () => number) => SlotWindow

const WINDOW_FACTORIES: Readonly<Record<SlotSharing, WindowFactory>> = {
  adaptive: (slots, entries) => new AdaptiveWindow(slots, entries()),
  split: (slots, entries) => new SplitWindow(slots, entries),
  refusal: (slots) => ({ limit: slots, accepted: () => {}, refused: () => {} })
}

/**
 * Creates a window.
 *
 * @param sharing - way of sharing
 * @param slots - slots of the endpoint
 * @param entries - returns how many entries there are
 */
export function createSlotWindow (sharing: SlotSharing, slots: number, entries: () => number): SlotWindow {
  return WINDOW_FACTORIES[sharing](slots, entries)
}

/** Grows while requests are accepted and shrinks with each refusal, so that slots go where the demand is. */
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

/** Gives each entry the same share, whatever the demand. */
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
