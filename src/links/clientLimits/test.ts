import { expect } from 'chai'
import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { Metrics } from '../../metrics/index.js'
import { ClientLimits, ENTRY_LIMITS, RefusedError, type ClientLimitSettings, type RequestListener } from './index.js'

const KIB = 1024

/** A connection and everything that it has received. */
class Client {
  received = ''
  readonly #socket: Socket

  constructor (server: Server) {
    this.#socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    this.#socket.on('data', (chunk) => { this.received += String(chunk) }).on('error', () => {})
  }

  send (text: string): void {
    this.#socket.write(text)
  }

  async waitFor (text: string): Promise<void> {
    while (!this.received.includes(text)) await once(this.#socket, 'data')
  }

  async waitForClose (): Promise<void> {
    if (!this.#socket.destroyed) await once(this.#socket, 'close')
  }

  end (): void {
    this.#socket.destroy()
  }
}

describe('ClientLimits', () => {
  let limits: ClientLimits
  let metrics: Metrics
  let server: Server
  let refusals: string[]
  const clients: Client[] = []
  const heldUp: Array<() => void> = []

  async function start (changes: Partial<ClientLimitSettings>, listener: RequestListener): Promise<void> {
    metrics = new Metrics()
    refusals = []
    limits = new ClientLimits({ ...ENTRY_LIMITS, ...changes }, metrics, (reason) => { refusals.push(reason) })
    server = limits.createServer(listener)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  }

  const echoBody: RequestListener = async (req, res) => {
    try {
      res.end(`${(await limits.readBody(req)).length} bytes`)
    } catch (err) {
      if (err instanceof RefusedError) limits.refuse(req, res, err)
    }
  }

  /** Answers `/held` only after the test has ended, and all others at once. */
  const answerAllButHeld: RequestListener = (req, res) => {
    if (req.url === '/held') heldUp.push(() => { res.end() })
    else res.end(`answer to ${req.url}.`)
  }

  function open (): Client {
    const client = new Client(server)
    clients.push(client)
    return client
  }

  const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`
  const post = (headers: string): string => `POST / HTTP/1.1\r\nhost: a\r\n${headers}\r\n\r\n`

  afterEach(() => {
    for (const client of clients.splice(0)) client.end()
    for (const answer of heldUp.splice(0)) answer()
    server.close()
  })

  it('answers requests that one connection sends ahead, one after another and in order', async () => {
    const seen: string[] = []
    let atWork = 0
    let maxAtWork = 0
    await start({}, async (req, res) => {
      maxAtWork = Math.max(maxAtWork, ++atWork)
      seen.push(req.url ?? '')
      await Promise.resolve()
      res.once('finish', () => { atWork -= 1 }).end(`answer to ${req.url}.`)
    })
    const client = open()
    const paths = Array.from({ length: 1500 }, (_, i) => `/${i}`)
    client.send(paths.map(get).join(''))
    await client.waitFor('answer to /1499.')
    expect(seen).to.deep.equal(paths)
    expect(maxAtWork).to.equal(1)
  })

  it('closes the connection with most requests ahead once there are too many, and answers the others', async () => {
    await start({ maxRequestsAhead: 100 }, answerAllButHeld)
    const [modest, greedy] = [open(), open()]
    modest.send(get('/held') + get('/modest').repeat(10))
    greedy.send(get('/held') + get('/greedy').repeat(1000))
    await greedy.waitForClose()
    heldUp[0]?.()
    await modest.waitFor('answer to /modest.')
    expect(refusals).to.deep.equal(['requestsAhead'])
    expect(metrics.render()).to.include('oleanderward_refused_clients{reason="requestsAhead"} 1')
  })

  it('refuses a body that is announced over the limit before it comes, and one that grows over it; the client sees both answers', async () => {
    await start({ maxBodyBytes: KIB }, echoBody)
    const [announced, grown] = [open(), open()]
    announced.send(post(`content-length: ${1024 * KIB}`))
    await announced.waitFor('413')
    grown.send(`${post('transfer-encoding: chunked')}800\r\n${'x'.repeat(2 * KIB)}\r\n0\r\n\r\n`)
    await grown.waitFor('413')
    await grown.waitForClose()
    expect(grown.received).to.include('connection: close')
    expect(refusals).to.deep.equal(['bodyTooLarge', 'bodyTooLarge'])
  })

  it('takes a body of exactly the limit, in parts of one byte', async () => {
    await start({ maxBodyBytes: KIB }, echoBody)
    const client = open()
    client.send(`${post('transfer-encoding: chunked')}${'1\r\nx\r\n'.repeat(KIB)}0\r\n\r\n`)
    await client.waitFor(`${KIB} bytes`)
  })

  it('gives up the largest unfinished body when too many bytes are held, as not run, and serves a small one', async () => {
    await start({ maxBodyBytes: 64 * KIB, maxHeldBytes: 96 * KIB }, echoBody)
    const [large, larger, small] = [open(), open(), open()]
    large.send(`${post(`content-length: ${60 * KIB}`)}${'x'.repeat(20 * KIB)}`)
    larger.send(`${post(`content-length: ${64 * KIB}`)}${'x'.repeat(63 * KIB)}`)
    large.send('x'.repeat(39 * KIB))
    await larger.waitFor('503')
    expect(larger.received).to.include('retry-after: 1')
    small.send(`${post('content-length: 3')}abc`)
    await small.waitFor('3 bytes')
    large.send('x'.repeat(KIB))
    await large.waitFor(`${60 * KIB} bytes`)
    expect(refusals).to.deep.equal(['heldBytes'])
  })

  it('closes the oldest idle connection for a new one, and none that waits for an answer', async () => {
    await start({ maxConnections: 2 }, answerAllButHeld)
    const [busy, idle] = [open(), open()]
    busy.send(get('/held'))
    idle.send(get('/idle'))
    await idle.waitFor('answer to /idle.')
    const late = open()
    late.send(get('/late'))
    await late.waitFor('answer to /late.')
    await idle.waitForClose()
    heldUp[0]?.()
    await busy.waitFor('200 OK')
  })

  it('refuses requests while too many are being answered, also when their clients have gone', async () => {
    let finish: () => void = () => {}
    const isWorking = new Promise<void>((resolve) => { finish = resolve })
    await start({ maxRequests: 1 }, async (req, res) => {
      if (req.url === '/long') {
        res.flushHeaders()
        await isWorking
      }
      res.end('done')
    })
    const [gone, next] = [open(), open()]
    gone.send(get('/long'))
    await gone.waitFor('200 OK')
    gone.end()
    next.send(get('/next'))
    await next.waitFor('503')
    finish()
    await isWorking
    const last = open()
    last.send(get('/last'))
    await last.waitFor('done')
  })

  it('does not answer a malformed request in place of the one before it', async () => {
    await start({}, answerAllButHeld)
    const client = open()
    client.send(`${get('/held')}no request\r\n\r\n`)
    await client.waitForClose()
    expect(client.received).to.equal('')
    expect(refusals).to.deep.equal(['malformed'])
  })
})
