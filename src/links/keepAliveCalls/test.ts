import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { CallTimeoutError } from '../callTimeoutError/index.js'
import { KeepAliveCalls } from './index.js'

const LIMITS = { connections: 2, idleMs: 20_000 }
const LONG_TIMEOUT_MS = 20_000

/** Stands for a process that is stopped and continued: time passes, and events wait. */
function blockEventLoop (ms: number): void {
  const end = performance.now() + ms
  while (performance.now() < end);
}

describe('KeepAliveCalls', () => {
  const connections = new Set<Socket>()
  let answer: (req: IncomingMessage, res: ServerResponse) => void
  let server: Server
  let calls: KeepAliveCalls

  beforeEach((done) => {
    connections.clear()
    server = createServer((req, res) => { answer(req, res) })
    server.on('connection', (socket) => connections.add(socket))
    server.listen(0, '127.0.0.1', () => {
      calls = new KeepAliveCalls(`127.0.0.1:${(server.address() as AddressInfo).port}`, LIMITS)
      done()
    })
  })

  afterEach(() => {
    calls.close()
    server.closeAllConnections()
    server.close()
  })

  /** Waits one turn of the event loop after the answer, since only then is the connection free for the next call. */
  const ask = (path: string, timeoutMs: number) => calls.request({ method: 'POST', path, headers: { 'x-test': 'yes' }, body: 'question' }, timeoutMs).finally(() => new Promise((resolve) => setImmediate(resolve)))
  const failureOf = (call: Promise<unknown>) => call.then(() => null, (err: unknown) => err)

  it('sends headers and body, and returns status and the whole answer', async () => {
    answer = (req, res) => {
      const chunks: Buffer[] = []
      req.on('data', (chunk: Buffer) => chunks.push(chunk))
      req.on('end', () => {
        res.writeHead(409)
        res.write(`${req.method} ${req.url} ${String(req.headers['x-test'])} `)
        setImmediate(() => res.end(Buffer.concat(chunks)))
      })
    }
    expect(await ask('/path', LONG_TIMEOUT_MS)).to.deep.equal({ status: 409, text: 'POST /path yes question' })
  })

  it('sends a request without a body', async () => {
    answer = (req, res) => { res.end(`${req.method} ${String(req.headers['content-length'])}`) }
    expect((await calls.request({ method: 'GET', path: '/', headers: {}, body: null }, LONG_TIMEOUT_MS)).text).to.equal('GET undefined')
  })

  it('reuses one connection for consecutive calls', async () => {
    answer = (_req, res) => { res.end() }
    for (let i = 0; i < 3; i++) await ask('/', LONG_TIMEOUT_MS)
    expect(connections.size).to.equal(1)
  })

  it('rejects a call after its timeout and reuses none of the earlier connections', async () => {
    const used: Socket[] = []
    answer = (req, res) => {
      used.push(req.socket)
      if (req.url !== '/silent') res.end()
    }
    await Promise.all([ask('/', LONG_TIMEOUT_MS), ask('/', LONG_TIMEOUT_MS)])
    expect(await failureOf(ask('/silent', 30))).to.be.instanceOf(CallTimeoutError).with.property('wasSent', true)
    const before = new Set(connections)
    await ask('/', LONG_TIMEOUT_MS)
    expect(before.has(used.at(-1) as Socket)).to.equal(false)
  })

  it('keeps its other connections after a timeout if calls on them were answered meanwhile', async () => {
    const used: Socket[] = []
    answer = (req, res) => {
      used.push(req.socket)
      if (req.url !== '/silent') res.end()
    }
    const unanswered = failureOf(ask('/silent', 60))
    await ask('/', LONG_TIMEOUT_MS)
    const kept = used.at(-1)
    expect(await unanswered).to.be.instanceOf(CallTimeoutError)
    await ask('/', LONG_TIMEOUT_MS)
    expect(used.at(-1)).to.equal(kept)
  })

  it('does not send a call later that timed out while it waited for a connection', async () => {
    const paths: string[] = []
    const waiting: ServerResponse[] = []
    let onBothArrived = (): void => {}
    const bothArrived = new Promise<void>((resolve) => { onBothArrived = resolve })
    answer = (req, res) => {
      paths.push(req.url ?? '')
      if (req.url?.startsWith('/slow') !== true) res.end()
      else if (waiting.push(res) === LIMITS.connections) onBothArrived()
    }
    const slow = [ask('/slow', LONG_TIMEOUT_MS), ask('/slow', LONG_TIMEOUT_MS)]
    await bothArrived
    expect(await failureOf(ask('/queued', 30))).to.be.instanceOf(CallTimeoutError).with.property('wasSent', false)
    for (const res of waiting) res.end()
    await Promise.all(slow)
    await ask('/last', LONG_TIMEOUT_MS)
    expect(paths).to.deep.equal(['/slow', '/slow', '/last'])
    expect(connections.size).to.equal(LIMITS.connections)
  })

  it('lets other calls in flight finish after one has timed out', async () => {
    const waiting = new Map<string, ServerResponse>()
    let onArrival = (): void => {}
    const arrived = new Promise<void>((resolve) => { onArrival = resolve })
    answer = (req, res) => {
      waiting.set(req.url ?? '', res)
      if (req.url === '/slow') onArrival()
    }
    const slow = ask('/slow', LONG_TIMEOUT_MS)
    await arrived
    await failureOf(ask('/silent', 30))
    waiting.get('/slow')?.end('late')
    expect((await slow).text).to.equal('late')
  })

  it('rejects a call whose connection is lost within the answer', async () => {
    answer = (_req, res) => {
      res.writeHead(200, { 'content-length': '100' })
      res.write('half')
      setImmediate(() => res.destroy())
    }
    expect(await failureOf(ask('/', LONG_TIMEOUT_MS))).to.be.instanceOf(Error)
  })

  it('rejects calls in flight and those waiting for a connection when it is closed', async () => {
    let arrived = 0
    answer = () => { if (++arrived === LIMITS.connections) calls.close() }
    const failures = await Promise.all(Array.from({ length: LIMITS.connections + 1 }, () => failureOf(ask('/', LONG_TIMEOUT_MS))))
    for (const err of failures) expect(err).to.be.instanceOf(Error).and.not.instanceOf(CallTimeoutError)
  })

  it('does not send a call on a new connection when its process has stood still beyond the timeout meanwhile', async () => {
    const received: string[] = []
    answer = (req, res) => {
      received.push(String(req.url))
      res.end()
    }
    const { outcome } = await standStillAfter(() => failureOf(ask('/late', 20)))
    expect(await outcome).to.be.instanceOf(CallTimeoutError).with.property('wasSent', false)
    await ask('/next', LONG_TIMEOUT_MS)
    expect(received).to.deep.equal(['/next'])
  })

  it('does not send a call on a connection that becomes free when its process has stood still beyond the timeout meanwhile', async () => {
    const received: string[] = []
    const waiting: ServerResponse[] = []
    let onBothArrived = (): void => {}
    const bothArrived = new Promise<void>((resolve) => { onBothArrived = resolve })
    answer = (req, res) => {
      received.push(String(req.url))
      if (req.url !== '/first') res.end()
      else if (waiting.push(res) === LIMITS.connections) onBothArrived()
    }
    const first = Array.from({ length: LIMITS.connections }, () => ask('/first', LONG_TIMEOUT_MS))
    await bothArrived
    const { outcome } = await standStillAfter(() => {
      for (const res of waiting) res.end()
      return failureOf(ask('/late', 20))
    })
    expect(await outcome).to.be.instanceOf(CallTimeoutError).with.property('wasSent', false)
    await Promise.all(first)
    await ask('/next', LONG_TIMEOUT_MS)
    expect(received).to.deep.equal(['/first', '/first', '/next'])
  })

  /** Does something, and lets what follows from it at the connections wait behind a long turn of the event loop. */
  async function standStillAfter<T> (begin: () => T): Promise<{ readonly outcome: T }> {
    const other = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [accepted] = await Promise.all([once(server, 'connection').then(([socket]) => socket as Socket), once(other, 'connect')])
    return await new Promise((resolve) => {
      other.once('data', () => {
        blockEventLoop(60)
        other.destroy()
      })
      setImmediate(() => {
        accepted.write('x')
        resolve({ outcome: begin() })
      })
    })
  }
})
