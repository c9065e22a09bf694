/** Keeps the machines whose workers get no new tasks, because they are drained for maintenance or for a move. */
import type { Clock, Millis } from '../../clock/index.js'

/** Cordoned machines of one term. */
export class Cordons {
  readonly #clock: Clock
  readonly #onBegin: (machine: string) => void
  readonly #since = new Map<string, Millis>()

  /**
   * @param clock - source of time
   * @param onBegin - called with each machine that is cordoned
   */
  constructor (clock: Clock, onBegin: (machine: string) => void) {
    this.#clock = clock
    this.#onBegin = onBegin
  }

  /** @param machine - machine to cordon from now on */
  begin (machine: string): void {
    this.#since.set(machine, this.#clock.now())
    this.#onBegin(machine)
  }

  /** @param machine - machine to uncordon */
  end (machine: string): void {
    this.#since.delete(machine)
  }

  /** @param machine - name of a machine */
  has (machine: string): boolean {
    return this.#since.has(machine)
  }

  /**
   * Returns how long a machine has been cordoned.
   *
   * @param machine - name of the machine
   * @returns milliseconds; 0 for a machine that is not cordoned
   */
  cordonedForMs (machine: string): Millis {
    return this.#clock.now() - (this.#since.get(machine) ?? this.#clock.now())
  }
}
