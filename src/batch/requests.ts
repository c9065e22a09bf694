/** Requests that any process forwards to the leader, and the leader's answers. */
import type { Millis } from '../clock/index.js'
import type { BatchExplainKind } from './explainBatch/index.js'
import type { ToldMembers } from '../links/groupMembers/index.js'
import type { JobPhase, JobSpec, QueueConfig, WorkerReport } from './types.js'

/** Digest of the key that a call carries, or null for a call without a key. */
export type KeyDigest = string | null

/** A request to the leader. All requests are idempotent. */
export type ControlRequest =
  | { readonly kind: 'submit', readonly host: string, readonly path: string, readonly keyDigest: KeyDigest, readonly spec: Omit<JobSpec, 'id'> }
  | { readonly kind: 'show', readonly host: string, readonly path: string, readonly keyDigest: KeyDigest }
  | { readonly kind: 'cancel', readonly host: string, readonly path: string, readonly keyDigest: KeyDigest }
  | { readonly kind: 'report', readonly report: WorkerReport }
  | { readonly kind: 'leave', readonly worker: string }
  | { readonly kind: 'configure', readonly config: QueueConfig }
  | { readonly kind: 'readConfig' }
  | { readonly kind: 'startWave', readonly id: number, readonly machines: readonly string[], readonly deadlineMs: Millis, readonly cap: number }
  | { readonly kind: 'readWave', readonly id: number }
  | { readonly kind: 'explain', readonly what: BatchExplainKind, readonly name: string }
  | { readonly kind: 'ping' }

/** The leader's answer. */
export type ControlAnswer =
  /** The process is not the leader and has not executed the request. */
  | ({ readonly kind: 'redirect', readonly leader: string | null } & ToldMembers)
  /** The outcome of the request is unknown; it may be retried. */
  | { readonly kind: 'unclear', readonly reason: string }
  /** After a report, `reportTo` may name the member that takes the worker's later reports, by its internal address. */
  | { readonly kind: 'accepted', readonly reportTo?: string }
  /** The job is rejected and never runs. */
  | { readonly kind: 'refused', readonly retryAfterMs: Millis, readonly reason: string }
  /** No configuration was received yet. */
  | { readonly kind: 'noConfig' }
  | { readonly kind: 'noQueue' }
  | { readonly kind: 'noJob' }
  /** The call carries no key of a workspace, and its queue is not public. */
  | { readonly kind: 'unknownKey' }
  | { readonly kind: 'job', readonly phase: JobPhase }
  | { readonly kind: 'count', readonly pending: number }
  | { readonly kind: 'config', readonly version: number, readonly document: string }
  | { readonly kind: 'wave', readonly isCompleted: boolean }
  | { readonly kind: 'noWave' }
  | { readonly kind: 'explained', readonly lines: readonly string[] }
  | ({ readonly kind: 'pong' } & ToldMembers)
