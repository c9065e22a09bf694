/** Calls to a worker, in the project's own words. */
import type { Millis } from '../clock/index.js'
import type { EndedRun, RunningTask } from '../batch/types.js'

/** Why a worker did not start a task. */
export type StartRefusal =
  /** It has seen an order of a later leader. */
  | 'fenced'
  /** The run was stopped or has ended there, or a later one has. */
  | 'stale'
  /** The order's time is over on the worker's clock. */
  | 'late'
  | 'noRoom'
  | 'noTicket'
  /** It is overloaded or failing, and has done nothing. */
  | 'unhealthy'
  /** Another life, or another worker, answers at the address. */
  | 'wrongWorker'
  | 'invalid'

/** What a worker answers to an order. */
export interface OrderAnswer {
  readonly refusal: StartRefusal | null
  /** Reading of the worker's own clock, or null when it gave none. */
  readonly clockMs: Millis | null
}

/** What a worker answers when it is looked at. */
export type WorkerPollAnswer =
  | { readonly refusal: null, readonly clockMs: Millis, readonly born: number, readonly running: readonly RunningTask[], readonly ended: readonly EndedRun[] }
  | { readonly refusal: StartRefusal }

/** Renews the lease of everything on a worker, acknowledges ends, and asks for both lists. */
export interface WorkerPollRequest {
  readonly token: number
  readonly acknowledgedSeq: number
  /** End of the lease on the worker's clock; null leaves it as it is. */
  readonly leaseEndMs: Millis | null
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: Millis
}

/** Order to begin a run. */
export interface StartRequest {
  readonly token: number
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly leaseEndMs: Millis
  readonly checkpoint: string
  readonly ticket: string | null
}

/** Calls to one life of a worker. Every call rejects when its fate is unknown. */
export interface WorkerCalls {
  poll (req: WorkerPollRequest, timeoutMs: Millis): Promise<WorkerPollAnswer>
  start (req: StartRequest, timeoutMs: Millis): Promise<OrderAnswer>
  stop (req: { readonly token: number, readonly task: string, readonly run: number }, timeoutMs: Millis): Promise<OrderAnswer>
  pace (req: { readonly token: number, readonly task: string, readonly run: number, readonly percent: number }, timeoutMs: Millis): Promise<OrderAnswer>
  /** Closes the connections. */
  close (): void
}
