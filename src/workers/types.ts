/** Defines the calls to a worker, independent of the wire format. */
import type { Millis } from '../clock/index.js'
import type { EndedRun, RunningTask } from '../batch/types.js'

/** Reason why a worker refused an order. */
export type OrderRefusal =
  /** It has seen a higher fencing token, of a later leader. */
  | 'fenced'
  /** The run, or a later run of the task, was stopped or has ended there. */
  | 'stale'
  /** The order's lease has expired on the worker's clock. */
  | 'late'
  /** It lacks the capacity. */
  | 'noRoom'
  /** The start lacks a ticket of the advisor that the worker accepts. */
  | 'noTicket'
  /** It is overloaded or failing, and has not carried the order out. */
  | 'unhealthy'
  /** Another worker, or another incarnation, answers at the address. */
  | 'wrongWorker'
  /** The order is malformed. */
  | 'invalid'

/** A worker's answer to an order. */
export interface OrderAnswer {
  readonly refusal: OrderRefusal | null
  /** Reading of the worker's clock, or null when the answer has none. */
  readonly clockMs: Millis | null
}

/** The runs on a worker. */
export interface WorkerRuns {
  readonly running: readonly RunningTask[]
  /** Ends that are not acknowledged. */
  readonly ended: readonly EndedRun[]
  /** Whether there may be further ends, which the worker lists once these are acknowledged. */
  readonly hasMoreEnds: boolean
}

/** A worker's answer to a long poll; `born` tells which incarnation has answered. */
export type WorkerPollAnswer =
  | { readonly refusal: null, readonly clockMs: Millis, readonly born: number } & WorkerRuns
  | { readonly refusal: OrderRefusal }

/** Renews the lease of all runs on a worker, acknowledges run ends, and asks for the running and the ended runs. */
export interface WorkerPollRequest {
  /** Fencing token of the term and of the incarnation. */
  readonly token: number
  /** Sequence number of the last run end that is committed. */
  readonly acknowledgedSeq: number
  /** Expiry of the lease on the worker's clock; null leaves the lease as it is. */
  readonly leaseEndMs: Millis | null
  /** How long the worker may wait for a run to end before it answers. */
  readonly waitMs: Millis
}

/** Order to start a run. */
export interface StartRequest {
  readonly token: number
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly leaseEndMs: Millis
  readonly checkpoint: string
  readonly ticket: string | null
}

/** Order to stop a run. */
export interface StopRequest {
  readonly token: number
  readonly task: string
  readonly run: number
}

/** Order that sets the share of the spare processor time, in percent, that a filler task may use. */
export interface PaceRequest extends StopRequest {
  readonly percent: number
}

/** Client of one incarnation of a worker. Every call rejects when its outcome is unknown. */
export interface WorkerCalls {
  poll (req: WorkerPollRequest, timeoutMs: Millis): Promise<WorkerPollAnswer>
  start (req: StartRequest, timeoutMs: Millis): Promise<OrderAnswer>
  stop (req: StopRequest, timeoutMs: Millis): Promise<OrderAnswer>
  pace (req: PaceRequest, timeoutMs: Millis): Promise<OrderAnswer>
  /** Closes all connections. */
  close (): void
}
