/** TCP proxy that injects faults into a link. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * Fault of a link: `silent` drops data in both directions and keeps connections open, `silentOld` does so only on connections
 * that were open when the fault began, and permanently; `deaf` drops data to the target, `mute` data from it. `refuse` resets
 * open and new connections, `reset` open ones only; `truncate` passes on half of the next chunk from the target and closes.
 */
export type LinkFault = 'none' | 'silent' | 'silentOld' | 'deaf' | 'mute' | 'refuse' | 'reset' | 'truncate'

/** Proxy in front of one address. */
export class FaultProxy {
  /** Delay of each chunk of data in both directions, in milliseconds. */
  delayMs = 0
  readonly #target: string
  readonly #connections = new Set<ProxiedConnection>()
  #server: Server | null = null
  #fault: LinkFault = 'none'

  /** @param target - address behind the proxy, as `host:port` */
  constructor (target: string) {
    this.#target = target
  }

  get fault (): LinkFault {
    return this.#fault
  }

  /**
   * Starts listening on a free port of 127.0.0.1.
   *
   * @returns the proxy's address, as `host:port`
   */
  async start (): Promise<string> {
    const server = createServer((socket) => { this.#accept(socket) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.#server = server
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /** Stops listening and closes all connections. */
  stop (): void {
    this.#server?.close()
    for (const connection of this.#connections) connection.destroy()
  }

  /**
   * Sets the fault of the link.
   *
   * @param fault - how the link misbehaves from now on; `none` ends the fault
   */
  setFault (fault: LinkFault): void {
    this.#fault = fault
    if (fault === 'silentOld') for (const connection of this.#connections) connection.isPermanentlySilent = true
    if (fault === 'reset' || fault === 'refuse') for (const connection of this.#connections) connection.reset()
  }

  #accept (client: Socket): void {
    if (this.#fault === 'refuse') {
      client.resetAndDestroy()
      return
    }
    const [host = '', port = ''] = this.#target.split(':')
    const connection = new ProxiedConnection(client, connect({ host, port: Number(port) }), this)
    this.#connections.add(connection)
    connection.onClose = () => { this.#connections.delete(connection) }
  }
}

/** Both sockets of one proxied connection. */
class ProxiedConnection {
  /** Whether this connection drops all data permanently, as after a middlebox has lost the state of the connection. */
  isPermanentlySilent = false
  onClose: () => void = () => {}
  readonly #client: Socket
  readonly #target: Socket
  readonly #proxy: FaultProxy

  constructor (client: Socket, target: Socket, proxy: FaultProxy) {
    this.#client = client
    this.#target = target
    this.#proxy = proxy
    for (const socket of [client, target]) {
      socket.setNoDelay(true)
      socket.on('error', () => { this.destroy() })
      socket.on('close', () => { if (!this.#isDroppingData) this.destroy() })
    }
    client.on('data', (chunk) => { this.#forward(chunk, target, 'deaf') })
    target.on('data', (chunk) => { this.#forward(chunk, client, 'mute') })
  }

  /** Closes both sockets. */
  destroy (): void {
    this.#client.destroy()
    this.#target.destroy()
    this.onClose()
  }

  /** Resets the client's socket and closes the target's. */
  reset (): void {
    this.#client.resetAndDestroy()
    this.#target.destroy()
    this.onClose()
  }

  get #isDroppingData (): boolean {
    return this.isPermanentlySilent || this.#proxy.fault === 'silent'
  }

  #forward (chunk: Buffer, destination: Socket, blockingFault: LinkFault): void {
    const { delayMs, fault } = this.#proxy
    if (this.#isDroppingData || fault === blockingFault) return
    if (fault === 'truncate' && destination === this.#client) {
      destination.write(chunk.subarray(0, Math.floor(chunk.length / 2)), () => { this.destroy() })
      return
    }
    if (delayMs === 0) destination.write(chunk)
    else setTimeout(() => { if (!destination.destroyed) destination.write(chunk) }, delayMs)
  }
}
