/** Shared types of the replicated log. */
import type { Millis } from '../clock/index.js'

/** Whether a member's acknowledgement counts towards a quorum. */
export type MemberRole = 'voter' | 'learner'

/** One control process as the group knows it. */
export interface Member {
  /** Name given by the operator. */
  readonly id: string
  /** Random identity of the data folder: an emptied folder is another member. */
  readonly instance: string
  /** Host and port of the control interface. */
  readonly address: string
  readonly role: MemberRole
}

/** What a log entry carries. */
export type EntryKind = 'noop' | 'command' | 'members'

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly kind: EntryKind
  readonly data: unknown
}

/** A stored state of the state machine, with the place in the log that it covers. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
  readonly data: Uint8Array
}

/** Asks for a vote, or with `pre` whether a vote would be given. */
export interface VoteRequest {
  readonly term: number
  readonly candidate: string
  /** Instance of the receiver: another data folder at the same address must not vote. */
  readonly target: string
  readonly lastIndex: number
  readonly lastTerm: number
  readonly pre: boolean
}

/** Answer to a {@link VoteRequest}. */
export interface VoteResponse {
  readonly term: number
  readonly granted: boolean
}

/** Carries new entries, and serves as heartbeat when there are none. */
export interface AppendRequest {
  readonly term: number
  readonly leader: Member
  readonly target: string
  readonly prevIndex: number
  readonly prevTerm: number
  readonly entries: readonly LogEntry[]
  readonly commitIndex: number
}

/** Answer to an {@link AppendRequest}. */
export interface AppendResponse {
  readonly term: number
  readonly ok: boolean
  /** With `ok` the last index known to match, otherwise a hint from which to go on. */
  readonly matchIndex: number
  /** The receiver has another data folder than the one addressed. */
  readonly wrongInstance?: boolean
}

/** One piece of a snapshot on its way to a lagging member. */
export interface SnapshotChunk {
  readonly term: number
  readonly leader: Member
  readonly target: string
  readonly index: number
  readonly snapshotTerm: number
  readonly members: readonly Member[]
  readonly offset: number
  readonly total: number
  /** Bytes in base64. */
  readonly data: string
}

/** Answer to a {@link SnapshotChunk}: how many bytes the receiver holds so far. */
export interface SnapshotResponse {
  readonly term: number
  readonly received: number
}

/** Calls to another member. Every call rejects after its own timeout. */
export interface PeerTransport {
  vote (peer: Member, req: VoteRequest): Promise<VoteResponse>
  append (peer: Member, req: AppendRequest): Promise<AppendResponse>
  snapshot (peer: Member, req: SnapshotChunk): Promise<SnapshotResponse>
}

/** One durable record. An entry replaces every stored entry at or above its index. */
export type StoreRecord =
  | { readonly kind: 'vote', readonly term: number, readonly votedFor: string | null }
  | { readonly kind: 'entry', readonly entry: LogEntry }

/** What a store found at start. */
export interface RecoveredState {
  readonly term: number
  readonly votedFor: string | null
  readonly snapshot: Snapshot | null
  readonly entries: readonly LogEntry[]
  /** Bytes cut from an unfinished write at the end of the log. */
  readonly tornBytes: number
}

/** Lists what a log behind a snapshot must hold; null when a later snapshot has replaced the log meanwhile. */
export type ListRecords = () => readonly StoreRecord[] | null

/** Durable storage of one member. */
export interface Store {
  readonly instance: string
  recover (): Promise<RecoveredState>
  /** Resolves once the records are durable; calls made meanwhile share one sync. */
  append (records: readonly StoreRecord[]): Promise<void>
  /**
   * Stores a snapshot and starts a log that holds only the listed records. They are listed when the appends made before
   * are durable, so that none of those is left behind in the old log.
   */
  compact (snapshot: Snapshot, listRecords: ListRecords): Promise<void>
  close (): Promise<void>
}

/** The deterministic machine that the log drives. */
export interface StateMachine {
  /** Applies a command and returns its result. */
  apply (index: number, command: unknown): unknown
  serialize (): Uint8Array
  restore (data: Uint8Array): void
}

/** Times of the election and replication, in milliseconds. */
export interface ConsensusTimings {
  readonly heartbeatMs: Millis
  readonly electionMinMs: Millis
  readonly electionMaxMs: Millis
}

/** When a snapshot replaces entries, counted in entries. */
export interface CompactionLimits {
  /** Applied entries that bring about a snapshot. */
  readonly afterEntries: number
  /** Entries kept in memory behind a snapshot, so that a member a little behind needs none. */
  readonly keepEntries: number
}

/** Part that a member plays at the moment. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader'

/** What `status` prints of a member. */
export interface ReplicaStatus {
  readonly id: string
  readonly instance: string
  readonly role: ReplicaRole
  readonly term: number
  readonly leader: Member | null
  readonly lastIndex: number
  readonly commitIndex: number
  readonly snapshotIndex: number
  /** Whether a change of members is not yet committed. */
  readonly areMembersPending: boolean
  /** With what the leader knows of each: the last durable index, and when it last answered. */
  readonly members: ReadonlyArray<Member & { readonly matchIndex: number | null, readonly confirmedAt: Millis | null }>
}
