/** Constants of the replicated log. */

/** Default timings: a new leader commits within 2 s, and an idle group causes little traffic. */
export const DEFAULT_TIMINGS = { heartbeatMs: 250, electionMinMs: 650, electionMaxMs: 950 } as const

/** Timings for members within one region, with latencies of 1 to 2 ms between them: a new leader commits within 1 s. */
export const REGIONAL_TIMINGS = { heartbeatMs: 160, electionMinMs: 480, electionMaxMs: 720 } as const

export const MAX_ENTRIES_PER_APPEND = 256

/** Entries of one append together, unless a single one is larger: 10 ms at 200 Mbit/s. */
export const MAX_BYTES_PER_APPEND = 256 * 1024

/** Time for an append without entries. */
export const APPEND_TIMEOUT_MS = 700

/** An append has more time for its entries: at a tenth of the smallest link, since a leader sends to several members at once. */
export const MIN_APPEND_BYTES_PER_MS = 2500

/** Maximum size of a snapshot chunk before it is encoded in base64. */
export const SNAPSHOT_CHUNK_BYTES = 128 * 1024

export const DEFAULT_COMPACTION = { afterEntries: 4096, afterBytes: 16 * 1024 * 1024, keepEntries: 512, keepBytes: 4 * 1024 * 1024 } as const

/** A learner that lags behind the leader's last index by no more than this is promoted to voter. */
export const MAX_PROMOTION_LAG_ENTRIES = 16
