/** Shared types of the replicated log. */
import type { Millis } from '../clock/index.js'
import type { ClockReading } from '../clock/processClock/index.js'

/** Role of a member: only acknowledgements of voters count towards a quorum. */
export type MemberRole = 'voter' | 'learner'

/** A control process as recorded in the group's membership. */
export interface Member {
  /** Name given by the operator. */
  readonly id: string
  /** Random id of the data folder. A folder that was emptied gets a new one and counts as another member. */
  readonly instance: string
  /** Host and port of the control interface. */
  readonly address: string
  readonly role: MemberRole
}

/** Kind of payload that a log entry carries. */
export type EntryKind = 'noop' | 'command' | 'members'

/** An entry of the replicated log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly kind: EntryKind
  readonly data: unknown
}

/** A serialized state of the state machine, with index and term of the last log entry that it covers. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
  readonly data: Uint8Array
}

/** Requests a vote. */
export interface VoteRequest {
  readonly term: number
  /** Instance of the candidate. */
  readonly candidate: string
  /** Instance of the intended receiver: a process with another data folder at the same address must not vote. */
  readonly target: string
  readonly lastIndex: number
  readonly lastTerm: number
  /** Whether this is a pre-vote, which only asks whether the receiver would grant a vote. */
  readonly pre: boolean
}

/** Answer to a {@link VoteRequest}. */
export interface VoteResponse {
  readonly term: number
  readonly granted: boolean
}

/** Replicates entries to a follower; without entries it serves as a heartbeat. */
export interface AppendRequest {
  readonly term: number
  readonly leader: Member
  /** Instance of the intended receiver. */
  readonly target: string
  /** Index of the log entry before the first of `entries`. */
  readonly prevIndex: number
  /** Term of that entry. The receiver rejects the request if its log has no such entry, unless a snapshot covers the index. */
  readonly prevTerm: number
  readonly entries: readonly LogEntry[]
  readonly commitIndex: number
}

/** Answer to an {@link AppendRequest}. */
export interface AppendResponse {
  readonly term: number
  readonly ok: boolean
  /** With `ok` the last durable index that matches the leader's log, otherwise the index after which the leader should retry. */
  readonly matchIndex: number
  /** Whether the receiver has another data folder than the one addressed. */
  readonly wrongInstance?: boolean
  /** The receiver's clock when it answered. Earlier builds send none. */
  readonly clock?: ClockReading
}

/** A chunk of a snapshot that the leader sends to a lagging member. */
export interface SnapshotChunk {
  readonly term: number
  readonly leader: Member
  /** Instance of the intended receiver. */
  readonly target: string
  /** Index of the last log entry that the snapshot covers. */
  readonly index: number
  /** Term of the entry at `index`. */
  readonly snapshotTerm: number
  readonly members: readonly Member[]
  /** Position of the chunk in the serialized state, in bytes. */
  readonly offset: number
  /** Size of the whole serialized state, in bytes. */
  readonly total: number
  /** The chunk in base64. */
  readonly data: string
}

/** Answer to a {@link SnapshotChunk}. */
export interface SnapshotResponse {
  readonly term: number
  /** Bytes of the snapshot that the receiver holds so far. */
  readonly received: number
  /** The receiver's clock when it answered. Earlier builds send none. */
  readonly clock?: ClockReading
}

/** Sends requests to other members. Each call rejects after its own timeout. */
export interface PeerTransport {
  vote (peer: Member, req: VoteRequest): Promise<VoteResponse>
  /** @param timeoutMs - time for the call, which depends on the size of the entries */
  append (peer: Member, req: AppendRequest, timeoutMs: Millis): Promise<AppendResponse>
  snapshot (peer: Member, req: SnapshotChunk): Promise<SnapshotResponse>
}

/** A durable record. An entry replaces all stored entries at or above its index. */
export type StoreRecord =
  | { readonly kind: 'vote', readonly term: number, readonly votedFor: string | null }
  | { readonly kind: 'entry', readonly entry: LogEntry }

/** State that a store has recovered at the start. */
export interface RecoveredState {
  readonly term: number
  readonly votedFor: string | null
  readonly snapshot: Snapshot | null
  readonly entries: readonly LogEntry[]
  /** Bytes of an incomplete write that were truncated from the end of the log. */
  readonly tornBytes: number
}

/** Lists the records that the log must keep after a snapshot; null when a later snapshot has replaced the log in the meantime. */
export type ListRecords = () => readonly StoreRecord[] | null

/** Durable storage of one member. */
export interface Store {
  readonly instance: string
  recover (): Promise<RecoveredState>
  /** Appends records and resolves once they are durable. Calls made during a sync share the next one. */
  append (records: readonly StoreRecord[]): Promise<void>
  /**
   * Stores a snapshot and starts a new log that holds only the listed records. They are listed after all earlier appends
   * are durable, so that none of these is lost with the old log.
   */
  compact (snapshot: Snapshot, listRecords: ListRecords): Promise<void>
  close (): Promise<void>
}

/** Deterministic state machine that applies the committed commands. */
export interface StateMachine {
  /** Applies a command and returns its result. */
  apply (index: number, command: unknown): unknown
  serialize (): Uint8Array
  restore (data: Uint8Array): void
}

/** Timings of heartbeats and elections, in milliseconds. */
export interface ConsensusTimings {
  readonly heartbeatMs: Millis
  readonly electionMinMs: Millis
  readonly electionMaxMs: Millis
}

/** Limits of the log's length. */
export interface CompactionLimits {
  /** Applied entries since the last snapshot that trigger the next one. */
  readonly afterEntries: number
  /** Estimated size of the applied entries since the last snapshot that triggers the next one. */
  readonly afterBytes: number
  /** Entries kept in memory although a snapshot covers them, so that a member that lags slightly needs no snapshot. */
  readonly keepEntries: number
  /** Maximum estimated size of the kept entries. */
  readonly keepBytes: number
}

/** Current role of a member in the Raft protocol. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader'

/** State of a member as printed by `status`. */
export interface ReplicaStatus {
  readonly id: string
  readonly instance: string
  readonly role: ReplicaRole
  readonly term: number
  readonly leader: Member | null
  readonly lastIndex: number
  readonly commitIndex: number
  readonly snapshotIndex: number
  /** Whether a membership change is not yet committed. */
  readonly areMembersPending: boolean
  /**
   * All members. While this member leads, each has its last durable index and the clock reading at which the newest
   * request that it confirmed was sent.
   */
  readonly members: ReadonlyArray<Member & { readonly matchIndex: number | null, readonly confirmedAt: Millis | null }>
  /** Index of the committed membership in the log; 0 when none is known to be committed. */
  readonly membersVersion: number
  /** Addresses of the committed members and of those of a change that is pending. */
  readonly memberAddresses: readonly string[]
}
