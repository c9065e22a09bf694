import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { encodeFrame, FrameError } from '../frames/index.js'
import { MessageSocket } from './index.js'

const PORT = 18_483

describe('MessageSocket', () => {
  let server: Server
  let accepted: Socket
  let received: unknown[]
  let closed: Promise<Error | null>
  let messages: MessageSocket

  beforeEach(async () => {
    received = []
    server = createServer()
    server.listen(PORT, '127.0.0.1')
    await once(server, 'listening')
    const connection = once(server, 'connection')
    const socket = connect(PORT, '127.0.0.1')
    closed = new Promise((resolve) => {
      messages = new MessageSocket(socket, { onMessage: (message) => { received.push(message) }, onClose: resolve })
    })
    accepted = (await connection)[0] as Socket
    accepted.on('error', () => {})
  })

  afterEach(() => {
    messages.close()
    accepted.destroy()
    server.close()
  })

  it('writes the messages of one turn of the event loop as one frame', async () => {
    const chunk = once(accepted, 'data')
    messages.send([1, 'a', null])
    messages.send([2, 'b', { c: 1 }])
    expect((await chunk)[0]).to.deep.equal(encodeFrame([[1, 'a', null], [2, 'b', { c: 1 }]]))
  })

  it('passes on the messages of a frame that arrives in parts', async () => {
    const frame = encodeFrame([[1, 'x'.repeat(500)], [2, null, 'failed']])
    accepted.setNoDelay(true)
    accepted.write(frame.subarray(0, 3))
    await new Promise((resolve) => setTimeout(resolve, 20))
    accepted.write(frame.subarray(3))
    while (received.length < 2) await new Promise((resolve) => setTimeout(resolve, 5))
    expect(received).to.deep.equal([[1, 'x'.repeat(500)], [2, null, 'failed']])
  })

  it('closes the connection, and nothing else, for a message that can not be encoded', async () => {
    messages.send([1, 'a', { get broken (): never { throw new Error('no value') } }])
    expect(await closed).to.be.instanceOf(FrameError)
    messages.send([2, 'b', null])
  })

  it('reports that the other side has closed the connection', async () => {
    accepted.end()
    expect(await closed).to.equal(null)
  })
})
