/** Times of the leader's work with workers, in milliseconds. */

/**
 * Length of the lease of what runs on a worker. Longer than the time to a new leader's first renewal, which comes about
 * a second after the loss of the old one; short, because the tasks of a lost worker wait for its end.
 */
export const LEASE_MS = 3000

/** Longest wait of a worker that has no end to tell; renewals are this far apart. */
export const POLL_WAIT_MS = 600

/** Time for the answer to a look, beyond its wait. */
export const POLL_TIMEOUT_MS = 600

/** Time for the answer to a start, a stop or a pace. */
export const ORDER_TIMEOUT_MS = 700

/** Starts under way to one worker: an answer takes 3 ms, and each further connection costs the leader more than the wait. */
export const MAX_CONCURRENT_STARTS = 2

/** A start that arrives later than this is refused by the worker. */
export const START_LEASE_MS = 1400

/** A worker that has not answered for this long is given no work: a look's wait and its time-out. */
export const UNRESPONSIVE_AFTER_MS = POLL_WAIT_MS + POLL_TIMEOUT_MS

/** Pause before the right to give orders is asked for again. */
export const LEADER_LEASE_CHECK_MS = 20

/** Pauses between looks that fail. */
export const RETRY_DELAY_STEP_MS = 60
export const MAX_RETRY_DELAY_MS = 400

/** Longest wait for a commit before the worker is looked at again. */
export const MAX_COMMIT_WAIT_MS = 400
