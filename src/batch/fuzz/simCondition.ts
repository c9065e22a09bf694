/** What impairs one simulated worker for a while: partitions, silences and illnesses. */
import type { Clock, Millis } from '../../clock/index.js'

/** Which calls pass while a worker is silent. `answers`: calls are executed and their answers are lost; `both`: none. */
export type SilenceMode = 'answers' | 'both'

/** How a worker is ill: it refuses all starts, or fails all that it starts. */
export type Illness = 'refusing' | 'failing'

/** Condition of one incarnation of a worker. */
export class SimCondition {
  isPartitioned = false
  readonly #clock: Clock
  readonly #trace: (event: string) => void
  #silence: SilenceMode | null = null
  #silentUntil: Millis = 0
  #illness: Illness | null = null
  #illUntil: Millis = 0

  /**
   * @param clock - source of time
   * @param trace - prints what happens to the worker
   */
  constructor (clock: Clock, trace: (event: string) => void) {
    this.#clock = clock
    this.#trace = trace
  }

  /** Whether calls reach the worker. */
  get isReachable (): boolean {
    return !this.isPartitioned && !(this.#isSilent && this.#silence === 'both')
  }

  /** Whether nothing that the worker sends arrives. */
  get isCutOff (): boolean {
    return this.isPartitioned || this.#isSilent
  }

  get #isSilent (): boolean {
    return this.#clock.now() < this.#silentUntil
  }

  /**
   * Makes the worker silent for a while.
   *
   * @param mode - which calls pass
   * @param ms - for how long; 0 ends its silence
   */
  fallSilent (mode: SilenceMode, ms: Millis): void {
    if (ms > 0) this.#trace(`is silent for ${Math.round(ms)} ms: ${mode}`)
    this.#silence = mode
    this.#silentUntil = this.#clock.now() + ms
  }

  /**
   * Makes the worker ill for a while.
   *
   * @param illness - what it does
   * @param ms - for how long; 0 ends its illness
   */
  fallIll (illness: Illness, ms: Millis): void {
    if (ms > 0) this.#trace(`is ${illness} for ${Math.round(ms)} ms`)
    this.#illness = illness
    this.#illUntil = this.#clock.now() + ms
  }

  /** @param illness - an illness that the worker may have now */
  isIll (illness: Illness): boolean {
    return this.#illness === illness && this.#clock.now() < this.#illUntil
  }
}
