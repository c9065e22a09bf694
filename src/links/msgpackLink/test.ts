import { expect } from 'chai'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { encodeFrame } from '../frames/index.js'
import { MsgpackServer, type MsgpackHandlers } from '../msgpackServer/index.js'
import { CallTimeoutError } from '../callTimeoutError/index.js'
import { ConnectionLostError, MsgpackLink, NotConnectedError, RemoteError } from './index.js'

const SERVER_PORT = 18_481
const RELAY_PORT = 18_482
const LONG_TIMEOUT_MS = 10_000
const SHORT_TIMEOUT_MS = 100

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Forwards connections to the server until told to forward nothing more on those that are open. */
class Relay {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  connectionCount = 0

  constructor () {
    this.#server = createServer((inbound) => {
      this.connectionCount += 1
      const outbound = connect(SERVER_PORT, '127.0.0.1')
      for (const [from, to] of [[inbound, outbound], [outbound, inbound]] as const) {
        this.#sockets.add(from)
        from.pipe(to)
        from.on('error', () => {})
      }
    })
  }

  async listen (): Promise<void> {
    this.#server.listen(RELAY_PORT, '127.0.0.1')
    await once(this.#server, 'listening')
  }

  silenceOpenConnections (): void {
    for (const socket of this.#sockets) {
      socket.unpipe()
      socket.resume()
    }
  }

  dropOpenConnections (): void {
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#sockets.clear()
  }

  close (): void {
    this.#server.close()
    this.dropOpenConnections()
  }
}

describe('MsgpackLink', () => {
  let server: MsgpackServer
  let relay: Relay
  let link: MsgpackLink
  let malformed: Error[]
  const handlers: MsgpackHandlers = {
    double: (input: number) => input * 2,
    wait: async ({ ms, value }: { readonly ms: number, readonly value: number }) => {
      await sleep(ms)
      return value
    },
    fail: () => { throw new Error('no such job') },
    never: () => new Promise(() => {})
  }

  beforeEach(async () => {
    malformed = []
    server = new MsgpackServer(handlers, (err) => malformed.push(err))
    relay = new Relay()
    await server.listen(`127.0.0.1:${SERVER_PORT}`)
    await relay.listen()
    link = new MsgpackLink(`127.0.0.1:${RELAY_PORT}`)
  })

  afterEach(() => {
    link.close()
    relay.close()
    server.close()
  })

  it('gives each of many calls its own answer, in whatever order they end, on one connection', async () => {
    const values = Array.from({ length: 40 }, (_, i) => i)
    const answers = await Promise.all(values.map((value) => link.call('wait', { ms: (40 - value) % 7, value }, LONG_TIMEOUT_MS)))
    expect(answers).to.deep.equal(values)
    expect(relay.connectionCount).to.equal(1)
  })

  it('tells a call that failed there from one that is unknown there and from one that was answered', async () => {
    expect(await link.call('fail', null, LONG_TIMEOUT_MS).catch((err: unknown) => err)).to.be.instanceOf(RemoteError).with.property('message', 'no such job')
    expect(await link.call('constructor', null, LONG_TIMEOUT_MS).catch((err: unknown) => err)).to.be.instanceOf(RemoteError)
    expect(await link.call('double', 4, LONG_TIMEOUT_MS)).to.equal(8)
  })

  it('replaces a connection that has gone silent, without sending further calls on it', async () => {
    expect(await link.call('double', 1, LONG_TIMEOUT_MS)).to.equal(2)
    relay.silenceOpenConnections()
    const lost = await link.call('double', 2, SHORT_TIMEOUT_MS).catch((err: unknown) => err)
    expect(lost).to.be.instanceOf(CallTimeoutError).with.property('wasSent', true)
    expect(await Promise.all([3, 4, 5].map((value) => link.call('double', value, LONG_TIMEOUT_MS)))).to.deep.equal([6, 8, 10])
    expect(relay.connectionCount).to.equal(2)
  })

  it('keeps the connection of a process that answers late', async () => {
    expect(await link.call('wait', { ms: 3 * SHORT_TIMEOUT_MS, value: 1 }, SHORT_TIMEOUT_MS).catch((err: unknown) => err)).to.be.instanceOf(CallTimeoutError)
    expect(await link.call('double', 2, LONG_TIMEOUT_MS)).to.equal(4)
    await sleep(3 * SHORT_TIMEOUT_MS)
    const connections = relay.connectionCount
    expect(await Promise.all([3, 4].map((value) => link.call('double', value, LONG_TIMEOUT_MS)))).to.deep.equal([6, 8])
    expect(relay.connectionCount).to.equal(connections)
  })

  it('says that the outcome is unknown when the connection is lost after the call was sent', async () => {
    await link.call('double', 1, LONG_TIMEOUT_MS)
    const lost = link.call('never', null, LONG_TIMEOUT_MS).catch((err: unknown) => err)
    await sleep(SHORT_TIMEOUT_MS)
    relay.dropOpenConnections()
    expect(await lost).to.be.instanceOf(ConnectionLostError)
    expect(await link.call('double', 2, LONG_TIMEOUT_MS)).to.equal(4)
  })

  it('says that nothing was sent when no connection can be opened', async () => {
    relay.close()
    expect(await link.call('double', 1, LONG_TIMEOUT_MS).catch((err: unknown) => err)).to.be.instanceOf(NotConnectedError)
  })

  it('says that nothing was sent to a process that accepts connections again but answers on none', async () => {
    await link.call('double', 1, LONG_TIMEOUT_MS)
    relay.silenceOpenConnections()
    server.close()
    const stuck = createServer((socket) => { socket.on('error', () => {}) })
    stuck.listen(SERVER_PORT, '127.0.0.1')
    await once(stuck, 'listening')
    await link.call('double', 2, SHORT_TIMEOUT_MS).catch(() => {})
    const waited = await link.call('double', 3, SHORT_TIMEOUT_MS).catch((err: unknown) => err)
    stuck.close()
    expect(waited).to.be.instanceOf(CallTimeoutError).with.property('wasSent', false)
  })

  it('closes only the connection whose bytes are malformed, and reports it', async () => {
    for (const bytes of [Buffer.from('POST /group/vote HTTP/1.1\r\n\r\n'), encodeFrame([[1, 7 as unknown as string, null]]), Buffer.from([0, 0, 0, 1, 0xc1])]) {
      const intruder = connect(SERVER_PORT, '127.0.0.1')
      intruder.on('error', () => {})
      intruder.write(bytes)
      await once(intruder, 'close')
    }
    expect(malformed.map(({ name }) => name)).to.deep.equal(['FrameError', 'FrameError', 'FrameError'])
    expect(await link.call('double', 5, LONG_TIMEOUT_MS)).to.equal(10)
  })
})
