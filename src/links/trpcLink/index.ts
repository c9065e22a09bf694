/** Link to one control process over tRPC. Each call has its own timeout; connections are replaced after a timeout. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import type { Pool } from 'undici'
import type { Millis } from '../../clock/index.js'
import type { ControlRouter } from '../controlRouter/index.js'
import { GroupMembers, MEMBERS_HEADER } from '../groupMembers/index.js'
import { createPool, sendRequest } from '../http/index.js'

const CONNECT_TIMEOUT_MS = 1000
const IDLE_CONNECTION_MS = 15_000
const MAX_CONNECTIONS = 16

/** Typed tRPC client of a control process. */
export type ControlCalls = TRPCClient<ControlRouter>

/** Numbers of bytes in the bodies that were sent and received over links. */
export interface LinkTraffic {
  sentBytes: number
  receivedBytes: number
}

/** Options of a {@link TrpcLink}. */
export interface TrpcLinkOptions {
  /** Receives the numbers of bytes sent and received. */
  readonly traffic?: LinkTraffic
  /** Members that the caller knows; the control process adds its own to an answer when they are newer. */
  readonly members?: GroupMembers
}

/** Owns the connections to one control process. */
export class TrpcLink {
  readonly #origin: string
  readonly #traffic: LinkTraffic
  readonly #members: GroupMembers | undefined
  readonly #calls: ControlCalls
  #pool: Pool

  /**
   * @param address - host and port
   * @param token - token sent with each call, if any
   * @param options - what the calls update
   */
  constructor (readonly address: string, token: string | undefined, { traffic, members }: TrpcLinkOptions = {}) {
    this.#origin = `http://${address}`
    this.#traffic = traffic ?? { sentBytes: 0, receivedBytes: 0 }
    this.#members = members
    this.#pool = this.#createPool()
    this.#calls = createTRPCClient<ControlRouter>({
      links: [httpLink({
        url: `${this.#origin}/trpc`,
        methodOverride: 'POST',
        headers: () => ({
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
          ...(members === undefined ? {} : { [MEMBERS_HEADER]: String(members.version) })
        }),
        fetch: (url, init) => this.#fetch(String(url), init as FetchInit)
      })]
    })
  }

  /**
   * Makes a call and aborts it after its timeout.
   *
   * @param makeCall - makes the call with the given client and abort signal
   * @param timeoutMs - time for the call, in milliseconds
   * @returns the result of the call
   * @throws the error of the call, also after the timeout
   */
  async call<T> (makeCall: (calls: ControlCalls, signal: AbortSignal) => Promise<T>, timeoutMs: Millis): Promise<T> {
    const abortController = new AbortController()
    const timeout = setTimeout(() => { abortController.abort() }, timeoutMs)
    try {
      return await makeCall(this.#calls, abortController.signal)
    } catch (err) {
      // Other idle connections may be dead as well, so none of them is used again.
      if (abortController.signal.aborted) this.#replacePool()
      throw err
    } finally {
      clearTimeout(timeout)
    }
  }

  /** Closes all connections. */
  close (): void {
    this.#pool.destroy().catch(() => {})
  }

  /** Closes the connections once the calls under way have ended; further calls fail. */
  retire (): void {
    this.#pool.close().catch(() => {})
  }

  #replacePool (): void {
    const oldPool = this.#pool
    this.#pool = this.#createPool()
    oldPool.close().catch(() => {})
  }

  #createPool (): Pool {
    return createPool(this.address, { connections: MAX_CONNECTIONS, connectMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS })
  }

  async #fetch (url: string, init: FetchInit): Promise<{ ok: boolean, status: number, json: () => Promise<unknown> }> {
    const { answer, abort } = sendRequest(this.#pool, { path: url.slice(this.#origin.length), method: init.method, headers: init.headers, body: init.body ?? null })
    const onAbort = (): void => { abort(new Error('the call was not answered within its timeout')) }
    init.signal?.addEventListener('abort', onAbort, { once: true })
    const { status, headers, bytes } = await answer.finally(() => init.signal?.removeEventListener('abort', onAbort))
    this.#members?.learnFrom(headers[MEMBERS_HEADER])
    const text = bytes.toString('utf8')
    this.#traffic.sentBytes += init.body?.length ?? 0
    this.#traffic.receivedBytes += text.length
    return { ok: status < 400, status, json: () => Promise.resolve(JSON.parse(text) as unknown) }
  }
}

interface FetchInit {
  readonly method: 'GET' | 'POST'
  readonly headers: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
}
