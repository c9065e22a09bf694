import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { SystemClock } from '../../clock/index.js'
import { EndpointLink, type AttemptResult } from './index.js'

const RECORD = { vm: 'vm', boot: 'b', bootedAt: 1, revision: 0, services: ['s'], slots: 8, connections: 8, state: 'ready' as const }

describe('EndpointLink', () => {
  let server: Server
  let sockets: Socket[]
  let respond: (socket: Socket, request: string) => void
  let link: EndpointLink
  let mayStart: boolean

  beforeEach(async () => {
    sockets = []
    mayStart = true
    server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', (data) => { respond(socket, data.toString()) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    link = new EndpointLink({ ...RECORD, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }, { sharing: 'adaptive', entries: () => 1 }, new SystemClock())
  })

  afterEach(() => {
    link.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  async function send (attempt: string, timeoutMs = 1000): Promise<AttemptResult> {
    link.acquire()
    const result = await link.send({ service: 's', attempt, method: 'POST', path: '/', headers: { 'oleanderward-attempt-id': attempt }, body: Buffer.from('x'), timeoutMs, mayStart: () => mayStart })
    link.release()
    return result
  }

  function answer (attempt: string, extra = '', body = 'whole'): string {
    return `HTTP/1.1 200 OK\r\noleanderward-attempt-id: ${attempt}\r\n${extra}\r\n${body}`
  }

  it('returns a complete answer to its own attempt', async () => {
    respond = (socket) => { socket.write(answer('a1', 'content-length: 5\r\n')) }
    const result = await send('a1')
    expect(result.kind).to.equal('answer')
    expect(result.kind === 'answer' && String(result.body)).to.equal('whole')
  })

  it('rejects an answer to another attempt and never reuses its connection', async () => {
    const used: Socket[] = []
    respond = (socket) => {
      used.push(socket)
      socket.write(answer('other', 'content-length: 5\r\n'))
    }
    expect((await send('a1')).kind).to.equal('unknown')
    respond = (socket) => {
      used.push(socket)
      socket.write(answer('a2', 'content-length: 5\r\n'))
    }
    expect((await send('a2')).kind).to.equal('answer')
    expect(used).to.have.length(2)
    expect(used[0]).not.to.equal(used[1])
  })

  it('rejects a truncated answer, and one whose end is not marked', async () => {
    respond = (socket) => { socket.end(answer('a1', 'content-length: 50\r\n')) }
    expect((await send('a1')).kind).to.equal('unknown')
    respond = (socket) => { socket.end(answer('a2', 'transfer-encoding: chunked\r\n', '5\r\nwhole\r\n')) }
    expect((await send('a2')).kind).to.equal('unknown')
    respond = (socket) => { socket.end(answer('a3')) }
    expect((await send('a3')).kind).to.equal('unknown')
  })

  it('never returns a late answer to a later attempt', async () => {
    respond = (socket) => { setTimeout(() => { socket.write(answer('a1', 'content-length: 5\r\n')) }, 120) }
    expect(await send('a1', 50)).to.include({ kind: 'unknown', isTimeout: true })
    respond = (socket) => { setTimeout(() => { socket.write(answer('a2', 'content-length: 6\r\n', 'second')) }, 150) }
    const result = await send('a2')
    expect(result.kind === 'answer' && String(result.body)).to.equal('second')
  })

  it('distinguishes a refusal by the endpoint from an answer', async () => {
    respond = (socket) => { socket.write('HTTP/1.1 503 No\r\noleanderward-attempt-id: a1\r\noleanderward-refused: full\r\ncontent-length: 0\r\n\r\n') }
    expect(await send('a1')).to.deep.equal({ kind: 'refused', reason: 'full' })
    expect(link.hasFreeSlot).to.equal(false)
  })

  it('reports that nothing was sent when the connection fails', async () => {
    server.close()
    expect((await send('a1')).kind).to.equal('notSent')
  })

  it('never sends an attempt that timed out while it waited for a connection', async () => {
    const single = new EndpointLink({ ...RECORD, connections: 1, address: link.record.address }, { sharing: 'adaptive', entries: () => 1 }, new SystemClock())
    const seen: string[] = []
    respond = (socket, request) => {
      const attempt = /attempt-id: (\w+)/.exec(request)?.[1] ?? ''
      seen.push(attempt)
      setTimeout(() => { socket.write(answer(attempt, 'content-length: 5\r\n')) }, 100)
    }
    const sendOn = (attempt: string, timeoutMs: number): Promise<AttemptResult> => single.send({ service: 's', attempt, method: 'POST', path: '/', headers: { 'oleanderward-attempt-id': attempt }, body: null, timeoutMs, mayStart: () => true })
    const [first, second] = await Promise.all([sendOn('a1', 1000), sendOn('a2', 30)])
    expect([first.kind, second.kind]).to.deep.equal(['answer', 'notSent'])
    await new Promise((resolve) => setTimeout(resolve, 150))
    expect(seen).to.deep.equal(['a1'])
    single.close()
  })

  it('sends nothing when the lease has expired during connection set-up', async () => {
    let requests = 0
    respond = () => { requests += 1 }
    mayStart = false
    expect((await send('a1')).kind).to.equal('notSent')
    expect(requests).to.equal(0)
  })

  it('has no free slot after consecutive failures until one success', async () => {
    for (let i = 0; i < 5; i += 1) link.ejection.recordFailure(true)
    expect(link.hasFreeSlot).to.equal(false)
    link.ejection.recordSuccess()
    expect(link.hasFreeSlot).to.equal(true)
  })
})
