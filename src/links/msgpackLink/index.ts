/** Calls other processes of the group with MessagePack bodies. Each call has its own timeout. */
import { Packr } from 'msgpackr/pack'
import type { Millis } from '../../clock/index.js'
import { TimedPool } from '../timedPool/index.js'

const CONNECT_TIMEOUT_MS = 600
const IDLE_CONNECTION_MS = 15_000

/**
 * A process accepts one connection in each turn of its event loop, so that connections which all entries open to a new leader at
 * once wait there for seconds. Four are few enough to be kept open to every control process, and enough for calls that wait for a
 * commit at the same time.
 */
export const MAX_CONNECTIONS = 4

/** A saturated leader still answers within this time after the timeout of the call; the connection can be used again then. */
const LATE_ANSWER_MS = 2000

const HTTP_OK = 200

const MSGPACK_HEADERS = { 'content-type': 'application/msgpack' }

const packr = new Packr({ useRecords: false, moreTypes: true })

/** Thrown when the called process answers that the call failed there. */
export class RemoteError extends Error {
  override readonly name = 'RemoteError'
}

/** Owns the connections to one process. */
export class MsgpackLink {
  readonly #pool: TimedPool

  /** @param address - host and port */
  constructor (readonly address: string) {
    this.#pool = new TimedPool(address, { connections: MAX_CONNECTIONS, connectMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS, lateAnswerMs: LATE_ANSWER_MS })
  }

  /**
   * Calls the process and waits for its answer.
   *
   * @param name - name of the call
   * @param input - any value that MessagePack can encode
   * @param timeoutMs - time for the whole call, in milliseconds
   * @returns the result from the called process
   * @throws RemoteError when the call failed there
   * @throws any other error when the outcome is unknown
   */
  async call<T> (name: string, input: unknown, timeoutMs: Millis): Promise<T> {
    const { status, bytes } = await this.#pool.request({ path: `/group/${name}`, method: 'POST', headers: MSGPACK_HEADERS, body: packr.pack(input) }, timeoutMs)
    if (status !== HTTP_OK) throw new RemoteError(bytes.toString('utf8'))
    return packr.unpack(bytes) as T
  }

  /** Closes all connections. */
  close (): void {
    this.#pool.close()
  }
}

/** Holds one link for each address, created at its first use. */
export class MsgpackLinks {
  readonly #links = new Map<string, MsgpackLink>()

  /**
   * Returns the link to an address.
   *
   * @param address - host and port
   */
  to (address: string): MsgpackLink {
    let link = this.#links.get(address)
    if (link === undefined) {
      link = new MsgpackLink(address)
      this.#links.set(address, link)
    }
    return link
  }

  /** Closes all links. */
  close (): void {
    for (const link of this.#links.values()) link.close()
  }
}
