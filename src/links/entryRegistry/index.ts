/** What the leader knows of the entries: their leases, what they have acknowledged and what they have in flight. */
import type { Clock, Millis } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { CLOCK_DRIFT_FACTOR, VIEW_LEASE_MS } from '../../contracts/constants.js'
import type { PollRequest } from '../../contracts/views/index.js'

interface EntryState {
  rev: number
  leaseExpiresAt: Millis
  inFlight: Readonly<Record<string, number>>
}

/** How a change came into force. */
export interface InForce {
  readonly acknowledged: readonly string[]
  /** Entries whose lease ran out first: they start nothing new until they know the change. */
  readonly fenced: readonly string[]
}

/** An entry as `status` prints it. */
export interface EntryStatus {
  readonly entry: string
  readonly rev: number
  readonly leaseMs: Millis
}

/** Leases of entries for one term of a leader. */
export class EntryRegistry {
  readonly #clock: Clock
  readonly #changes: Notifier
  readonly #entries = new Map<string, EntryState>()

  /**
   * @param clock - source of time
   * @param termStartedAt - when the term began
   * @param knownEntries - entries that may hold leases of the leader before
   */
  constructor (clock: Clock, termStartedAt: Millis, knownEntries: Iterable<string>) {
    this.#clock = clock
    this.#changes = new Notifier(clock)
    const leaseExpiresAt = termStartedAt + VIEW_LEASE_MS * CLOCK_DRIFT_FACTOR
    for (const entry of knownEntries) this.#entries.set(entry, { rev: 0, leaseExpiresAt, inFlight: {} })
  }

  /** Entries with a lease. */
  get liveCount (): number {
    const now = this.#clock.now()
    return [...this.#entries.values()].filter((entry) => entry.leaseExpiresAt > now).length
  }

  /**
   * Takes in what an entry says with a poll.
   *
   * @param req - the poll
   */
  recordPoll (req: PollRequest): void {
    const known = this.#entries.get(req.entry)
    this.#entries.set(req.entry, { rev: req.rev, leaseExpiresAt: known?.leaseExpiresAt ?? 0, inFlight: req.inFlight })
    this.#changes.notify()
  }

  /**
   * Extends the lease of an entry from now on. Leadership must have been confirmed since the poll arrived.
   *
   * @param entry - name of the entry
   */
  renewLease (entry: string): void {
    const known = this.#entries.get(entry)
    if (known !== undefined) known.leaseExpiresAt = this.#clock.now() + VIEW_LEASE_MS * CLOCK_DRIFT_FACTOR
  }

  /**
   * Forgets an entry that has said that it stops.
   *
   * @param entry - name of the entry
   * @returns whether it was known
   */
  leave (entry: string): boolean {
    const wasKnown = this.#entries.delete(entry)
    this.#changes.notify()
    return wasKnown
  }

  /**
   * Tells whether an entry holds a lease, or may hold one of the leader before.
   *
   * @param entry - name of the entry
   */
  mayHoldLease (entry: string): boolean {
    return (this.#entries.get(entry)?.leaseExpiresAt ?? 0) > this.#clock.now()
  }

  /**
   * Tells whether no entry acts on a view older than a revision.
   *
   * @param rev - revision of the view
   */
  isInForce (rev: number): boolean {
    const now = this.#clock.now()
    return [...this.#entries.values()].every((entry) => entry.rev >= rev || entry.leaseExpiresAt <= now)
  }

  /**
   * Waits until no entry acts on a view older than a revision.
   *
   * @param rev - revision of the view
   * @param signal - ends the wait
   * @returns which entries have acknowledged it and which were fenced
   */
  async waitUntilInForce (rev: number, signal: AbortSignal): Promise<InForce> {
    while (!this.isInForce(rev) && !signal.aborted) {
      const seenCount = this.#changes.count
      await this.#changes.waitBeyond(seenCount, this.#timeToNextExpiry(), signal)
    }
    const names = [...this.#entries.keys()]
    const hasAcknowledged = (name: string): boolean => (this.#entries.get(name)?.rev ?? 0) >= rev
    return { acknowledged: names.filter(hasAcknowledged).sort(), fenced: names.filter((name) => !hasAcknowledged(name)).sort() }
  }

  /**
   * Returns how many requests live entries have in flight to a VM.
   *
   * @param vm - name of the VM
   */
  countInFlight (vm: string): number {
    const now = this.#clock.now()
    let sum = 0
    for (const entry of this.#entries.values()) {
      if (entry.leaseExpiresAt > now) sum += entry.inFlight[vm] ?? 0
    }
    return sum
  }

  /**
   * Lists entries whose lease ran out long ago.
   *
   * @param minAgeMs - how long ago at least
   */
  listExpired (minAgeMs: Millis): string[] {
    const now = this.#clock.now()
    return [...this.#entries].filter(([, { leaseExpiresAt }]) => leaseExpiresAt < now - minAgeMs).map(([entry]) => entry)
  }

  /** Lists the entries for `status`. */
  list (): EntryStatus[] {
    const now = this.#clock.now()
    return [...this.#entries].map(([entry, { rev, leaseExpiresAt }]) => ({ entry, rev, leaseMs: Math.max(0, Math.round(leaseExpiresAt - now)) }))
  }

  #timeToNextExpiry (): Millis {
    const now = this.#clock.now()
    const expiries = [...this.#entries.values()].map((entry) => entry.leaseExpiresAt)
    return Math.max(1, Math.min(VIEW_LEASE_MS, ...expiries.filter((lapse) => lapse > now).map((lapse) => lapse - now)))
  }
}
