/** Leases, long polls and time-outs between the leader and the workers, in milliseconds. */

/** Lowest rate of a worker's monotonic clock relative to real time. */
export const SLOWEST_CLOCK_RATE = 0.98

/** Allowance for late timers on the worker and on the leader. */
export const CLOCK_MARGIN_MS = 60

/**
 * Lease of the runs on a worker. It outlasts a change of leader: the new leader's first renewal comes about a second
 * after the loss of the old one. It is short because the tasks of a lost worker wait until the lease expires.
 */
export const LEASE_MS = 3000

/** Longest lease that workers allow, where the settings don't tell. */
export const MAX_WORKER_LEASE_MS = 12_000

/** A call that was not answered is carried out within this time, or never. */
export const MAX_LATE_CALL_MS = 12_000

/**
 * A longer lease holds up the tasks of a lost worker for too long: a long-running task has to run again within 9 s, which includes the time to
 * notice the end of the lease and to start.
 */
export const LONG_LEASE_MS = 8000

/** Longest time that a worker holds a long poll when no run has ended; also the interval between lease renewals. */
export const POLL_WAIT_MS = 600

/** A worker that still lists a run this long after its start has survived the start. */
export const SURVIVAL_MS = 200

/** A worker with a suspected task is asked this long after the start was sent whether it has survived; twice, since an answer may be lost. */
export const SURVIVAL_PROBE_DELAYS_MS = [250, 300] as const

/** A worker that crashes later than this after a start was sent has survived the start, or the run may have ended before. */
export const MAX_CRASH_DELAY_MS = 350

/** Longest time that an idle worker holds a long poll on the largest fleets. The lease of a run that starts meanwhile is renewed by the next one. */
export const MAX_IDLE_POLL_WAIT_MS = 1800

/** Time allowed for the answer to a long poll, in addition to the time for which the worker may hold it. */
export const POLL_TIMEOUT_MS = 600

/** Time-out of a start, stop or pace order. */
export const ORDER_TIMEOUT_MS = 700

/** Time-out of the start of a long-running task, which is sent right after an answer of the worker. */
export const LASTING_START_TIMEOUT_MS = 400

/**
 * Longest wait for the lease of a next incarnation that nobody has heard of and that may have taken the start of a long-running task. Such a task has to
 * run again within 7 s after the last fault, which includes the time to notice the end of the wait and to start.
 */
export const MAX_LASTING_WAIT_MS = 6800

/** Time for the way to a relay and back, in addition to the timeout of the call that it makes. */
export const RELAY_MARGIN_MS = 150

/** A placed run is started, and its start arrives, within this time, unless the start waits behind unanswered ones. */
export const MAX_START_DELAY_MS = 2000

/** Starts in flight to one worker: an answer takes 3 ms, and another connection costs the leader more than that wait. */
export const MAX_CONCURRENT_STARTS = 2

/** Lease sent with a start: the worker refuses a start that arrives after it has expired. */
export const START_LEASE_MS = 1400

/** Polls in flight that workers answer at once, for each process that makes calls. */
export const IMMEDIATE_POLLS_PER_CALLER = 32

/** Interval between checks whether the leader lease is confirmed, so that orders may be sent again. */
export const LEADER_LEASE_CHECK_MS = 20

/** The delay after a failed long poll grows by the increment with each failure in a row, up to the maximum. */
export const RETRY_DELAY_INCREMENT_MS = 60
export const MAX_RETRY_DELAY_MS = 400

/** Longest wait for run ends to be committed before the worker is polled again. */
export const MAX_COMMIT_WAIT_MS = 400
