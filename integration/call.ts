/** Sends requests to entries as a caller, for tests. */
import { request } from 'undici'

/** Answer to a caller's request. */
export interface CallResult {
  readonly status: number
  readonly outcome: string
  readonly body: string
}

/** Options of a caller's request. */
export interface CallOptions {
  readonly method?: 'GET' | 'POST'
  readonly service?: string
  readonly key?: string
  readonly headers?: Record<string, string>
  readonly body?: string | Buffer | null
}

let nextKey = 0

/**
 * Creates an idempotency key that no other test uses.
 *
 * @returns the key
 */
export function createKey (): string {
  nextKey += 1
  return `test-${process.pid}-${nextKey}`
}

/**
 * Sends a request through an entry.
 *
 * @param entry - address of the entry
 * @param options - parts of the request; by default it reads from a service of the INLA fleet
 * @returns status, outcome and body of the answer
 */
export async function call (entry: string, options: CallOptions = {}): Promise<CallResult> {
  const { method = 'GET', service = 'publishing', key = createKey(), headers = {}, body = method === 'POST' ? 'x' : null } = options
  const res = await request(`http://${entry}/v1/services/${service}/requests/work?q=1`, {
    method,
    headers: { 'idempotency-key': key, 'idempotency-key-created': String(Date.now()), 'oleanderward-deadline-ms': '4000', ...headers },
    body
  })
  return { status: res.statusCode, outcome: String(res.headers['oleanderward-outcome']), body: await res.body.text() }
}
