/** Reads the body of a request. */
import type { IncomingMessage } from 'node:http'
import type { HeldBytes, Holding } from './heldBytes.js'
import { RefusedError } from './types.js'

const FIRST_BUFFER_BYTES = 1024

/**
 * Reads the body of a request into one buffer, which grows with what has come and not with what was announced. Many small parts would
 * take far more memory than their bytes.
 *
 * @param req - request whose body nothing has read
 * @param maxBytes - maximum size of the body
 * @param held - bytes held over all connections
 * @param holding - holding of this request
 * @returns the body
 * @throws RefusedError when the body is over a limit, an Error when the connection ends before the body
 */
export function readBody (req: IncomingMessage, maxBytes: number, held: HeldBytes, holding: Holding): Promise<Buffer> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return Promise.reject(new RefusedError('bodyTooLarge', 413))
  return new Promise((resolve, reject) => {
    let buffer = Buffer.alloc(0)
    let used = 0
    const settle = (): void => {
      req.off('data', onData).off('end', onEnd).off('close', onClose)
      holding.giveUp = null
    }
    const refuse = (err: Error): void => {
      settle()
      held.release(holding)
      buffer = Buffer.alloc(0)
      reject(err)
    }
    const onData = (chunk: Buffer): void => {
      const needed = used + chunk.length
      if (needed > maxBytes) {
        refuse(new RefusedError('bodyTooLarge', 413))
        return
      }
      if (needed > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(Math.min(maxBytes, Math.max(FIRST_BUFFER_BYTES, needed, 2 * buffer.length)))
        buffer.copy(grown, 0, 0, used)
        const more = grown.length - buffer.length
        buffer = grown
        chunk.copy(buffer, used)
        used = needed
        held.add(holding, more)
        return
      }
      chunk.copy(buffer, used)
      used = needed
    }
    const onEnd = (): void => {
      settle()
      resolve(buffer.subarray(0, used))
    }
    const onClose = (): void => { refuse(new Error('the connection ended before the body')) }
    holding.giveUp = () => { refuse(new RefusedError('heldBytes', 503)) }
    req.on('data', onData).once('end', onEnd).once('close', onClose)
    req.on('error', () => {})
  })
}
