/** Tracks entries for the leader: their leases, the revision that they have acknowledged and their requests in flight. */
import type { Clock, Millis } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { CLOCK_DRIFT_FACTOR, VIEW_LEASE_MS } from '../../contracts/constants.js'
import type { PollRequest } from '../../contracts/views/index.js'

interface EntryState {
  rev: number
  leaseExpiresAt: Millis
  inFlight: Readonly<Record<string, number>>
}

/** Entries for which a change is in force, by the way in which it came into force for them. */
export interface InForce {
  readonly acknowledged: readonly string[]
  /** Entries whose lease expired before they acknowledged the change. They start no request and renew no lease of a task until they have received it. */
  readonly fenced: readonly string[]
}

/** Entry as `status` shows it. */
export interface EntryStatus {
  readonly entry: string
  /** Revision of the view that it has acknowledged. */
  readonly rev: number
  /** Time left of its lease. */
  readonly leaseMs: Millis
}

/** Holds the leases of entries during one term of a leader. */
export class EntryRegistry {
  readonly #clock: Clock
  readonly #changes: Notifier
  readonly #entries = new Map<string, EntryState>()

  /**
   * @param clock - source of time
   * @param termStartedAt - clock reading at which the term began
   * @param knownEntries - entries that may still hold a lease from the previous leader
   */
  constructor (clock: Clock, termStartedAt: Millis, knownEntries: Iterable<string>) {
    this.#clock = clock
    this.#changes = new Notifier(clock)
    const leaseExpiresAt = termStartedAt + VIEW_LEASE_MS * CLOCK_DRIFT_FACTOR
    for (const entry of knownEntries) this.#entries.set(entry, { rev: 0, leaseExpiresAt, inFlight: {} })
  }

  /** Number of entries that hold a lease. */
  get liveCount (): number {
    const now = this.#clock.now()
    return [...this.#entries.values()].filter((entry) => entry.leaseExpiresAt > now).length
  }

  /**
   * Records the revision that an entry acknowledges with a poll, and its requests in flight. Doesn't extend its lease.
   *
   * @param req - poll of the entry
   */
  recordPoll (req: PollRequest): void {
    const known = this.#entries.get(req.entry)
    this.#entries.set(req.entry, { rev: req.rev, leaseExpiresAt: known?.leaseExpiresAt ?? 0, inFlight: req.inFlight })
    this.#changes.notify()
  }

  /**
   * Renews the lease of an entry, beginning now. The caller must have confirmed its leadership since the poll arrived.
   *
   * @param entry - name of the entry
   */
  renewLease (entry: string): void {
    const known = this.#entries.get(entry)
    if (known !== undefined) known.leaseExpiresAt = this.#clock.now() + VIEW_LEASE_MS * CLOCK_DRIFT_FACTOR
  }

  /**
   * Removes an entry that stops or is gone.
   *
   * @param entry - name of the entry
   * @returns whether the registry knew the entry
   */
  leave (entry: string): boolean {
    const wasKnown = this.#entries.delete(entry)
    this.#changes.notify()
    return wasKnown
  }

  /**
   * Returns whether an entry holds a lease, or may still hold one from the previous leader.
   *
   * @param entry - name of the entry
   */
  mayHoldLease (entry: string): boolean {
    return (this.#entries.get(entry)?.leaseExpiresAt ?? 0) > this.#clock.now()
  }

  /**
   * Returns whether a revision is in force: every entry has acknowledged it or has lost its lease.
   *
   * @param rev - revision of the view
   */
  isInForce (rev: number): boolean {
    const now = this.#clock.now()
    return [...this.#entries.values()].every((entry) => entry.rev >= rev || entry.leaseExpiresAt <= now)
  }

  /**
   * Waits until a revision is in force, as {@link EntryRegistry.isInForce} defines it.
   *
   * @param rev - revision of the view
   * @param signal - ends the wait early
   * @returns the entries that have acknowledged the revision and those that were fenced
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
   * Counts the requests that entries with a lease have in flight to a VM.
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
   * Lists entries whose lease expired long ago.
   *
   * @param minAgeMs - shortest time since the lease expired
   */
  listExpired (minAgeMs: Millis): string[] {
    const now = this.#clock.now()
    return [...this.#entries].filter(([, { leaseExpiresAt }]) => leaseExpiresAt < now - minAgeMs).map(([entry]) => entry)
  }

  /** Lists all entries for `status`. */
  list (): EntryStatus[] {
    const now = this.#clock.now()
    return [...this.#entries].map(([entry, { rev, leaseExpiresAt }]) => ({ entry, rev, leaseMs: Math.max(0, Math.round(leaseExpiresAt - now)) }))
  }

  #timeToNextExpiry (): Millis {
    const now = this.#clock.now()
    const expiries = [...this.#entries.values()].map((entry) => entry.leaseExpiresAt)
    return Math.max(1, Math.min(VIEW_LEASE_MS, ...expiries.filter((expiry) => expiry > now).map((expiry) => expiry - now)))
  }
}
