/** TCP proxy that injects faults into a link. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * Fault of a link: `silent` drops data in both directions and keeps connections open, `silentOld` does so only on connections
 * that were open when the fault began, and permanently; `dark` also hides that the target closes its connections, and later data
 * goes to whatever listens at the target's address by then; `deaf` drops data to the target, `mute` data from it. `refuse` resets
 * open and new connections, `reset` open ones only; `truncate` passes on half of the next chunk from the target and closes.
 */
export type LinkFault = 'none' | 'silent' | 'silentOld' | 'dark' | 'deaf' | 'mute' | 'refuse' | 'reset' | 'truncate'

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
    const connection = new ProxiedConnection(client, this)
    this.#connections.add(connection)
    connection.onClose = () => { this.#connections.delete(connection) }
  }

  /** Opens a connection to the target. */
  connectTarget (): Socket {
    const [host = '', port = ''] = this.#target.split(':')
    return connect({ host, port: Number(port) })
  }
}

/** Both sockets of one proxied connection. */
class ProxiedConnection {
  /** Whether this connection drops all data permanently, as after a middlebox has lost the state of the connection. */
  isPermanentlySilent = false
  onClose: () => void = () => {}
  readonly #client: Socket
  /** Null after the target has closed the connection in the dark. */
  #target: Socket | null = null
  readonly #proxy: FaultProxy

  constructor (client: Socket, proxy: FaultProxy) {
    this.#client = client
    this.#proxy = proxy
    client.setNoDelay(true)
    client.on('error', () => { this.destroy() })
    client.on('close', () => { if (!this.#isDroppingData) this.destroy() })
    client.on('data', (chunk) => {
      if (this.#isDroppingData) return
      this.#target ??= this.#connectTarget()
      this.#forward(chunk, this.#target, 'deaf')
    })
    if (proxy.fault !== 'dark') this.#target = this.#connectTarget()
  }

  #connectTarget (): Socket {
    const target = this.#proxy.connectTarget()
    target.setNoDelay(true)
    target.on('error', () => { this.#onTargetClosed(() => { this.destroy() }) })
    target.on('close', () => { this.#onTargetClosed(() => { if (!this.#isDroppingData) this.destroy() }) })
    target.on('data', (chunk) => { this.#forward(chunk, this.#client, 'mute') })
    return target
  }

  #onTargetClosed (closeOtherwise: () => void): void {
    if (this.#proxy.fault !== 'dark') closeOtherwise()
    else if (!this.isPermanentlySilent) this.#target = null
  }

  /** Closes both sockets. */
  destroy (): void {
    this.#client.destroy()
    this.#target?.destroy()
    this.onClose()
  }

  /** Resets the client's socket and closes the target's. */
  reset (): void {
    this.#client.resetAndDestroy()
    this.#target?.destroy()
    this.onClose()
  }

  get #isDroppingData (): boolean {
    return this.isPermanentlySilent || this.#proxy.fault === 'silent' || this.#proxy.fault === 'dark'
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
