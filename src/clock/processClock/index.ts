/** Clock of this process that others may refer to. */
import { randomInt } from 'node:crypto'
import type { Clock, Millis } from '../index.js'
import { SuspensionDetector } from '../suspensionDetector/index.js'

const MAX_PROCESS_ID = 2 ** 32

/** Reading of the clock of one process. Readings of different processes can't be compared. */
export interface ClockReading {
  /** Random number of the process: its clock begins anew when it is restarted at the same address. */
  readonly process: number
  readonly ms: Millis
}

/** Monotonic clock that also counts the time for which the machine was suspended. */
export class ProcessClock {
  readonly #clock: Clock
  readonly #suspensionDetector: SuspensionDetector
  readonly #process: number

  /**
   * @param clock - source of the monotonic and the wall-clock time
   * @param process - number of the process; random by default
   */
  constructor (clock: Clock, process: number = randomInt(MAX_PROCESS_ID)) {
    this.#clock = clock
    this.#suspensionDetector = new SuspensionDetector(clock)
    this.#process = process
  }

  /** Returns the current reading. */
  read (): ClockReading {
    return { process: this.#process, ms: this.#clock.now() + this.#suspensionDetector.suspendedMs }
  }

  /**
   * Returns the time left until a deadline.
   *
   * @param deadline - reading of this clock
   * @returns milliseconds; 0 when it has passed, or is the reading of another process
   */
  timeLeft (deadline: ClockReading): Millis {
    const { process, ms } = this.read()
    return deadline.process === process ? Math.max(0, deadline.ms - ms) : 0
  }
}
