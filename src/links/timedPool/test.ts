import { expect } from 'chai'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { CallTimeoutError } from '../callTimeoutError/index.js'
import { TimedPool } from './index.js'

const PORT = 18_474
const ADDRESS = `127.0.0.1:${PORT}`
const LIMITS = { connections: 4, connectMs: 1000, idleMs: 5000 }
const LONG_TIMEOUT_MS = 20_000

/** Long enough for all calls to be sent on a busy machine. */
const SENT_TIMEOUT_MS = 3000

describe('TimedPool', () => {
  const connections = new Set<Socket>()
  let answer: (req: IncomingMessage, res: ServerResponse) => void
  let server: Server
  let pool: TimedPool

  beforeEach((done) => {
    connections.clear()
    server = createServer((req, res) => { answer(req, res) })
    server.on('connection', (socket) => connections.add(socket))
    pool = new TimedPool(ADDRESS, LIMITS)
    server.listen(PORT, '127.0.0.1', done)
  })

  afterEach(() => {
    pool.close()
    server.closeAllConnections()
    server.close()
  })

  /** Waits one turn of the event loop after the answer, since only then is the connection free for the next call. */
  const ask = (path: string, timeoutMs: number) => pool.requestText({ path, method: 'POST', headers: {}, body: 'question' }, timeoutMs)
    .finally(() => new Promise((resolve) => setImmediate(resolve)))

  it('buffers the whole answer', async () => {
    answer = (_req, res) => {
      res.write('first, ')
      setImmediate(() => res.end('second'))
    }
    expect(await ask('/', LONG_TIMEOUT_MS)).to.deep.equal({ status: 200, text: 'first, second' })
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
    const err = await ask('/silent', 30).catch((err: unknown) => err)
    expect(err).to.be.instanceOf(CallTimeoutError)
    const before = new Set(connections)
    await ask('/', LONG_TIMEOUT_MS)
    expect(before.has(used.at(-1) as Socket)).to.equal(false)
  })

  it('keeps its connections after a timeout if other calls were answered meanwhile', async () => {
    const used: Socket[] = []
    answer = (req, res) => {
      used.push(req.socket)
      if (req.url !== '/silent') res.end()
    }
    const unanswered = ask('/silent', 60).catch((err: unknown) => err)
    await ask('/', LONG_TIMEOUT_MS)
    const kept = used.at(-1)
    expect(await unanswered).to.be.instanceOf(CallTimeoutError)
    await ask('/', LONG_TIMEOUT_MS)
    expect(used.at(-1)).to.equal(kept)
  })

  it('keeps the connection of a call that timed out for its late answer, so that a slow process need not accept another one', async () => {
    const slowPool = new TimedPool(ADDRESS, { ...LIMITS, connections: 2, lateAnswerMs: LONG_TIMEOUT_MS })
    const askSlowly = (path: string, timeoutMs: number) => slowPool.requestText({ path, method: 'POST', headers: {}, body: 'question' }, timeoutMs).finally(() => new Promise((resolve) => setImmediate(resolve)))
    const waiting: ServerResponse[] = []
    answer = (req, res) => {
      if (req.url === '/slow') waiting.push(res)
      else res.end('quick')
    }
    const late = askSlowly('/slow', 60).catch((err: unknown) => err)
    await askSlowly('/', LONG_TIMEOUT_MS)
    expect(await late).to.be.instanceOf(CallTimeoutError).with.property('wasSent', true)
    waiting[0]?.end('late')
    await Promise.all(Array.from({ length: 4 }, () => askSlowly('/', LONG_TIMEOUT_MS)))
    expect(connections.size).to.equal(2)
    slowPool.close()
  })

  it('does not send a call later that timed out while it waited for a connection, and keeps that connection', async () => {
    const narrowPool = new TimedPool(ADDRESS, { ...LIMITS, connections: 1, lateAnswerMs: LONG_TIMEOUT_MS })
    const paths: string[] = []
    const waiting: ServerResponse[] = []
    let onArrival = (): void => {}
    answer = (req, res) => {
      paths.push(req.url ?? '')
      if (req.url?.startsWith('/slow') === true) waiting.push(res)
      else res.end()
      onArrival()
    }
    const nextArrival = () => new Promise<void>((resolve) => { onArrival = resolve })
    const request = (path: string, timeoutMs: number) => narrowPool.requestText({ path, method: 'POST', headers: {}, body: 'question' }, timeoutMs)
    const firstArrived = nextArrival()
    const slow = [request('/slow1', LONG_TIMEOUT_MS), request('/slow2', LONG_TIMEOUT_MS)]
    const queued = request('/queued', 100).catch((err: unknown) => err)
    await firstArrived
    const secondArrived = nextArrival()
    waiting[0]?.end()
    await secondArrived
    expect(await queued).to.be.instanceOf(CallTimeoutError).with.property('wasSent', false)
    waiting[1]?.end()
    await Promise.all(slow)
    await request('/last', LONG_TIMEOUT_MS)
    expect(paths).to.deep.equal(['/slow1', '/slow2', '/last'])
    expect(connections.size).to.equal(1)
    narrowPool.close()
  })

  it('keeps a connection on which a call is still in flight when another one has timed out waiting for it', async () => {
    const narrowPool = new TimedPool(ADDRESS, { ...LIMITS, connections: 1 })
    let onArrival = (): void => {}
    const arrived = new Promise<void>((resolve) => { onArrival = resolve })
    let slowAnswer: ServerResponse | undefined
    answer = (req, res) => {
      if (req.url === '/slow') slowAnswer = res
      else res.end()
      onArrival()
    }
    const request = (path: string, timeoutMs: number) => narrowPool.requestText({ path, method: 'POST', headers: {}, body: 'question' }, timeoutMs)
    const slow = request('/slow', LONG_TIMEOUT_MS)
    await arrived
    expect(await request('/queued', 60).catch((err: unknown) => err)).to.be.instanceOf(CallTimeoutError).with.property('wasSent', false)
    slowAnswer?.end()
    await slow
    await request('/last', LONG_TIMEOUT_MS)
    expect(connections.size).to.equal(1)
    narrowPool.close()
  })

  it('tells whether a call that timed out had been sent or was still waiting for a connection', async () => {
    const whenAllSent = new Promise<void>((resolve) => {
      let count = 0
      answer = () => { if (++count === LIMITS.connections) resolve() }
    })
    const sent = Array.from({ length: LIMITS.connections }, () => ask('/silent', SENT_TIMEOUT_MS).catch((err: unknown) => err))
    await whenAllSent
    const waiting = await ask('/silent', 30).catch((err: unknown) => err)
    const calls = [...await Promise.all(sent), waiting]
    expect(calls.map((err) => (err as CallTimeoutError).wasSent)).to.deep.equal([...Array<boolean>(LIMITS.connections).fill(true), false])
  })

  it('lets other calls in flight finish after one has timed out', async () => {
    const waiting = new Map<string, ServerResponse>()
    answer = (req, res) => { waiting.set(req.url ?? '', res) }
    const slow = ask('/slow', LONG_TIMEOUT_MS)
    await ask('/silent', 30).catch(() => {})
    waiting.get('/slow')?.end('late')
    expect((await slow).text).to.equal('late')
  })

  it('rejects calls in flight when the pool is closed', async () => {
    answer = () => { pool.close() }
    const err = await ask('/', LONG_TIMEOUT_MS).catch((err: unknown) => err)
    expect(err).to.be.instanceOf(Error).and.not.instanceOf(CallTimeoutError)
  })
})
