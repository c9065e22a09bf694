/** Type of a caller's request within an entry. */
import type { Millis } from '../../clock/index.js'
import type { WorkClass } from '../../contracts/types.js'

/** A request with validated headers. */
export interface CallerRequest {
  readonly id: string
  readonly service: string
  readonly method: string
  /** Path and query sent to the endpoint. */
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer | null
  readonly team: string
  readonly class: WorkClass
  /** Clock reading after which the caller no longer needs the answer. */
  readonly deadline: Millis
  /** Idempotency key. */
  readonly key: string | null
  /** When the key was created, by the caller's clock. */
  readonly keyCreated: Millis | null
}
