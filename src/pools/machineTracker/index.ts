/** Tracks where the machines are while they move between pools: powered off, moving, or refused by the platform. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { MachineStatus } from '../../maintenance/types.js'

const LIST_TIMEOUT_MS: Millis = 2000

/**
 * The platform's list of machines is also read at the start of a term, and after an order that was refused, whose outcome is
 * unknown, or whose machine has not arrived in time.
 */
const LIST_INTERVAL_MS: Millis = 12_000
const MIN_LIST_INTERVAL_MS: Millis = 1500

/** Time within which a moved machine is expected in its new pool. */
const MAX_MOVE_MS: Millis = 4000

/** Pause before the next order for a machine whose order was refused. */
const REFUSED_PAUSE_MS: Millis = 2000

/** What the tracker needs of the platform and of the configuration. */
export interface MachineTrackerSource {
  /** Reads the platform's list of machines. */
  readonly list: (timeoutMs: Millis) => Promise<readonly MachineStatus[]>
  /** Returns the pool of powered-off machines, or null when there is none. */
  readonly standby: () => string | null
}

/** Knows the machines that are powered off, moving or refused, from the platform's list and from the orders sent since. */
export class MachineTracker {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #source: MachineTrackerSource
  readonly #poweredOff = new Set<string>()
  /** Machines that are moving, with their new pool and the time until which they are expected there. */
  readonly #moving = new Map<string, { readonly to: string, readonly until: Millis }>()
  /** Machines whose move was ordered after the list was requested, which the list may show where they were. */
  readonly #movedSinceListing = new Set<string>()
  readonly #refusedUntil = new Map<string, Millis>()
  #listedAt: Millis = Number.NEGATIVE_INFINITY
  #isListRequested = true

  /**
   * @param clock - source of time
   * @param log - receives one line for each list
   * @param source - the platform and the configuration
   */
  constructor (clock: Clock, log: EventLog, source: MachineTrackerSource) {
    this.#clock = clock
    this.#log = log
    this.#source = source
  }

  /** Machines that are powered off, as far as known. */
  get poweredOff (): Iterable<string> {
    return this.#poweredOff
  }

  get poweredOffCount (): number {
    return this.#poweredOff.size
  }

  /** Reads the platform's list of machines when it is due. The platform may be slow, so nothing should wait for it. */
  async refresh (): Promise<void> {
    if (this.#clock.now() - this.#listedAt < (this.#isListRequested ? MIN_LIST_INTERVAL_MS : LIST_INTERVAL_MS)) return
    this.#listedAt = this.#clock.now()
    this.#isListRequested = false
    this.#movedSinceListing.clear()
    try {
      this.#readList(await this.#source.list(LIST_TIMEOUT_MS))
    } catch (err) {
      this.#log.warn('machines.unlisted', { reason: (err as Error).message })
      this.requestList()
    }
  }

  /** Has the list read again soon, because the outcome of an order is unknown. */
  requestList (): void {
    this.#isListRequested = true
  }

  /**
   * Forgets the moves whose machines have arrived, or should have.
   *
   * @param serviceOn - returns the service of the responsive worker on a machine, or undefined when there is none
   */
  recordArrivals (serviceOn: (machine: string) => string | undefined): void {
    for (const [machine, { to, until }] of this.#moving) {
      if (serviceOn(machine) === to) this.#moving.delete(machine)
      else if (this.#clock.now() > until) {
        this.#moving.delete(machine)
        if (to === this.#source.standby()) this.#poweredOff.add(machine)
        else this.requestList()
      }
    }
  }

  /**
   * Records a move that is about to be ordered.
   *
   * @param machine - name of the machine
   * @param to - its new pool
   */
  recordMove (machine: string, to: string): void {
    this.#moving.set(machine, { to, until: this.#clock.now() + MAX_MOVE_MS })
    this.#poweredOff.delete(machine)
    this.#movedSinceListing.add(machine)
  }

  /** @param machine - name of a machine whose move was refused; it gets no order for a while */
  recordRefusal (machine: string): void {
    this.#moving.delete(machine)
    this.#refusedUntil.set(machine, this.#clock.now() + REFUSED_PAUSE_MS)
  }

  /** @param machine - name of the machine */
  isMoving (machine: string): boolean {
    return this.#moving.has(machine)
  }

  /**
   * Returns whether a machine must not be ordered to move at the moment.
   *
   * @param machine - name of the machine
   */
  isUnavailable (machine: string): boolean {
    return this.#moving.has(machine) || (this.#refusedUntil.get(machine) ?? 0) > this.#clock.now()
  }

  /**
   * Counts the machines that are moving to a pool.
   *
   * @param service - name of the pool
   */
  countComing (service: string): number {
    let count = 0
    for (const { to } of this.#moving.values()) if (to === service) count += 1
    return count
  }

  #readList (list: readonly MachineStatus[]): void {
    const standby = this.#source.standby()
    this.#poweredOff.clear()
    for (const { machine, service, state } of list) {
      if (service === standby && state === 'up' && !this.#movedSinceListing.has(machine)) this.#poweredOff.add(machine)
      if (state === 'moving' && !this.#moving.has(machine)) this.#moving.set(machine, { to: service, until: this.#clock.now() + MAX_MOVE_MS })
    }
    this.#log.info('machines.listed', { machines: list.length, parked: this.#poweredOff.size })
  }
}
