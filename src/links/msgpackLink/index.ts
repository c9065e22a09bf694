/** Calls to another process of the group with MessagePack bodies, each with its own timeout. */
import { Packr } from 'msgpackr/pack'
import type { Millis } from '../../clock/index.js'
import { TimedPool } from '../timedPool/index.js'

const CONNECT_TIMEOUT_MS = 600
const IDLE_CONNECTION_MS = 15_000

/** More would only queue in a leader that has just been elected, when all entries turn to it at once. */
const MAX_CONNECTIONS = 4

const HTTP_OK = 200

const MSGPACK_HEADERS = { 'content-type': 'application/msgpack' }

const packr = new Packr({ useRecords: false, moreTypes: true })

/** The other side answered that the call failed there. */
export class RemoteError extends Error {
  override readonly name = 'RemoteError'
}

/** Owns the connections to one address. */
export class MsgpackLink {
  readonly #pool: TimedPool

  /** @param address - host and port */
  constructor (readonly address: string) {
    this.#pool = new TimedPool(address, { connections: MAX_CONNECTIONS, connectMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS })
  }

  /**
   * Makes a call that ends with its timeout at the latest.
   *
   * @param name - name of the call
   * @param input - anything that MessagePack can hold
   * @param timeoutMs - time for the call
   * @returns what the other side returned
   * @throws RemoteError when the call failed there, any other error when its fate is unknown
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

/** One link for each address, made when it is first needed. */
export class MsgpackLinks {
  readonly #links = new Map<string, MsgpackLink>()

  /** @param address - host and port */
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
