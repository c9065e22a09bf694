/** Times and limits that several parts agree on. */

/** How long an entry may act on a view, from the moment it sent the renewal. */
export const VIEW_LEASE_MS = 2000

/** Longest time that control holds a poll of an entry when there is nothing new. */
export const LONG_POLL_WAIT_MS = 700

/** How long a worker may run a task on one answer to an announcement. */
export const TASK_LEASE_MS = 4000

/** Allowance for clocks that run at different speeds. */
export const CLOCK_DRIFT_FACTOR = 1.02

/** Interval between two announcements of an endpoint. */
export const ANNOUNCE_INTERVAL_MS = 300

/** An endpoint that was not heard for this long is lost. */
export const ENDPOINT_LOST_AFTER_MS = 3000

/** How long a key of a request that may not be repeated is remembered. */
export const KEY_RETENTION_MS = 15 * 60_000

/** How far a key's creation may lie ahead of our clock. */
export const MAX_KEY_CLOCK_SKEW_MS = 60_000

/** Largest answer stored for resends, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 8 * 1024

/** Largest body of a request, in bytes. */
export const MAX_REQUEST_BODY_BYTES = 1024 * 1024

/** Largest answer gathered whole before its first byte goes to the caller, in bytes. */
export const MAX_BUFFERED_ANSWER_BYTES = 4 * 1024 * 1024

/** Connections that an endpoint grants to all entries together, divided by this many entries at least. */
export const MIN_CONNECTION_SHARES = 8
