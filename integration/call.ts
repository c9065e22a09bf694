/** One caller's request, for tests. */
import { request } from 'undici'

/** What came back. */
export interface CallResult {
  readonly status: number
  readonly outcome: string
  readonly body: string
}

/** What is sent. */
export interface CallOptions {
  readonly method?: 'GET' | 'POST'
  readonly service?: string
  readonly key?: string
  readonly headers?: Record<string, string>
  readonly body?: string | Buffer | null
}

let nextKey = 0

/** Returns a key that no other test uses. */
export function createKey (): string {
  nextKey += 1
  return `test-${process.pid}-${nextKey}`
}

/**
 * Sends a request through an entry.
 *
 * @param entry - address of the entry
 * @param options - what is sent; by default a read of a service of the INLA fleet
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
