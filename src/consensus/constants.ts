/** Constants of the replicated log. */

/** Default times: a new leader commits within 2 s, an idle group stays quiet. */
export const DEFAULT_TIMINGS = { heartbeatMs: 250, electionMinMs: 650, electionMaxMs: 950 } as const

/** Times for members within one region, a millisecond or two apart: a new leader commits within a second. */
export const REGIONAL_TIMINGS = { heartbeatMs: 160, electionMinMs: 480, electionMaxMs: 720 } as const

/** Most entries in one append request. */
export const MAX_ENTRIES_PER_APPEND = 256

/** Most bytes of a snapshot in one request. */
export const SNAPSHOT_CHUNK_BYTES = 128 * 1024

/** Default limits of the log's length. */
export const DEFAULT_COMPACTION = { afterEntries: 4096, keepEntries: 512 } as const

/** A learner this close to the leader's last index is promoted. */
export const MAX_PROMOTION_LAG_ENTRIES = 16
