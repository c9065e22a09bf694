import { expect } from 'chai'
import fc from 'fast-check'
import { encodeFrame, FrameDecoder, FrameError, MAX_FRAME_BYTES, type CallMessage } from './index.js'

const CALLS: readonly CallMessage[] = [[1, 'ask', { kind: 'show', path: '/a/1' }], [2, 'append', { entries: new Array(300).fill('x') }], [3, 'ping', null]]

describe('frames', () => {
  it('returns the messages of all frames, however the bytes are split', () => {
    const bytes = Buffer.concat([encodeFrame(CALLS.slice(0, 2)), encodeFrame([]), encodeFrame(CALLS.slice(2))])
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (sizes) => {
      const decoder = new FrameDecoder()
      const received: unknown[] = []
      for (let offset = 0, i = 0; offset < bytes.length; i++) {
        const size = sizes[i % sizes.length] as number
        received.push(...decoder.push(bytes.subarray(offset, offset + size)))
        offset += size
      }
      expect(received).to.deep.equal(CALLS)
    }))
  })

  it('rejects a frame that is too large before its bytes have arrived', () => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(MAX_FRAME_BYTES + 1)
    expect(() => new FrameDecoder().push(length)).to.throw(FrameError)
  })

  it('throws nothing but a FrameError for arbitrary bytes', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), (body) => {
      const length = Buffer.alloc(4)
      length.writeUInt32BE(body.length)
      try {
        new FrameDecoder().push(Buffer.concat([length, body]))
      } catch (err) {
        expect(err).to.be.instanceOf(FrameError)
      }
    }))
  })
})
