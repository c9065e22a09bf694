/** Times and limits that several modules share. */

/** How long an entry may act on a view, counted from the moment it sent the poll that renewed its lease. */
export const VIEW_LEASE_MS = 2000

/** Maximum time for which control holds a long poll of an entry while nothing changes. */
export const LONG_POLL_WAIT_MS = 700

/** How long a worker may run a task after one answer to its announcement. */
export const TASK_LEASE_MS = 4000

/** Factor by which the grantor of a lease waits longer than its holder, since clocks run at different speeds. */
export const CLOCK_DRIFT_FACTOR = 1.02

/** Interval between announcements of an endpoint. */
export const ANNOUNCE_INTERVAL_MS = 300

/** Time without an announcement after which an endpoint counts as lost. */
export const ENDPOINT_LOST_AFTER_MS = 3000

/** How long the idempotency key of a non-repeatable request is remembered. */
export const KEY_RETENTION_MS = 15 * 60_000

/** How far the creation time of an idempotency key may lie in the future. */
export const MAX_KEY_CLOCK_SKEW_MS = 60_000

/** Maximum size of an answer that is stored for resends of the request. */
export const MAX_STORED_ANSWER_BYTES = 8 * 1024

export const MAX_REQUEST_BODY_BYTES = 1024 * 1024

/** Larger answers are streamed to the caller instead of being buffered first. */
export const MAX_BUFFERED_ANSWER_BYTES = 4 * 1024 * 1024

/** Entries divide an endpoint's connections into at least this many equal shares, also when there are fewer entries. */
export const MIN_CONNECTION_SHARES = 8
