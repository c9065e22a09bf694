/** Messages between the leader and the control processes that make its calls to workers. */
import type { Millis } from '../../clock/index.js'
import type { ClockReading } from '../../clock/processClock/index.js'
import type { OrderAnswer, PaceRequest, StartRequest, StopRequest, WorkerPollAnswer, WorkerPollRequest } from '../types.js'

/** A worker as far as it takes to call it. */
export interface WorkerAddress {
  readonly id: string
  readonly address: string
}

/** Calls to a worker by name, with their requests and answers. */
export interface WorkerCallTypes {
  readonly poll: { readonly req: WorkerPollRequest, readonly answer: WorkerPollAnswer }
  readonly start: { readonly req: StartRequest, readonly answer: OrderAnswer }
  readonly stop: { readonly req: StopRequest, readonly answer: OrderAnswer }
  readonly pace: { readonly req: PaceRequest, readonly answer: OrderAnswer }
}

/** Name of a call to a worker. */
export type WorkerCallName = keyof WorkerCallTypes

/** A call to a worker that another process makes for the leader. */
export interface RelayRequest<K extends WorkerCallName = WorkerCallName> {
  readonly worker: WorkerAddress
  /** Term of the leader. Earlier builds name none, and use it as the fencing token. */
  readonly term?: number
  readonly call: K
  readonly req: WorkerCallTypes[K]['req']
  readonly timeoutMs: Millis
  /** When the leader gives the call up, on the relay's clock. Leaders of earlier builds name no deadline. */
  readonly deadline?: ClockReading
}

/** Outcome of a relayed call. */
export type RelayAnswer<K extends WorkerCallName = WorkerCallName> =
  | { readonly kind: 'answered', readonly answer: WorkerCallTypes[K]['answer'] }
  /** The call was made, and whether the worker has carried it out is unknown. */
  | { readonly kind: 'unclear', readonly reason: string }
  /** The call was not made, and another process may make it. */
  | { readonly kind: 'refused', readonly reason: string }
  /** The call was not made, since its deadline had passed. */
  | { readonly kind: 'expired', readonly reason: string }
