/** Frames of the connections between processes: a length of four bytes, then a list of messages as MessagePack. */
import { Packr } from 'msgpackr/pack'

/** A chunk of a snapshot or a full batch of log entries stays below this size. */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024

const LENGTH_BYTES = 4

/** Call of another process: a number that its answer repeats, the name of the call and the input. */
export type CallMessage = readonly [id: number, name: string, input: unknown]

/** Answer to a call: the number of the call, and its result, or the reason why it failed. */
export type AnswerMessage = readonly [id: number, result: unknown] | readonly [id: number, result: null, failure: string]

/** Thrown when received bytes are not a frame of messages. The rest of the connection can't be read then. */
export class FrameError extends Error {
  override readonly name = 'FrameError'
}

const packr = new Packr({ useRecords: false, moreTypes: true })

/**
 * Encodes messages as one frame.
 *
 * @param messages - messages that MessagePack can encode
 * @throws FrameError when the frame is too large for the receiver
 */
export function encodeFrame (messages: ReadonlyArray<CallMessage | AnswerMessage>): Buffer {
  const body = packr.pack(messages)
  if (body.length > MAX_FRAME_BYTES) throw new FrameError(`Frame too large: expected at most ${MAX_FRAME_BYTES} bytes, got ${body.length}.`)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length)
  body.copy(frame, LENGTH_BYTES)
  return frame
}

/** Decodes the frames in a stream of bytes. */
export class FrameDecoder {
  #chunks: Buffer[] = []
  #bytes = 0
  /** Bytes of the next frame including its length, or the bytes of a length while that is not complete. */
  #expectedBytes = LENGTH_BYTES

  /**
   * Adds received bytes and returns the messages that are complete.
   *
   * @param chunk - bytes in the order in which they were received
   * @returns the elements of all complete frames; the caller checks their shape
   * @throws FrameError when the bytes are not a frame
   */
  push (chunk: Buffer): unknown[] {
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    const messages: unknown[] = []
    while (this.#bytes >= this.#expectedBytes) {
      const buffer = this.#joinChunks()
      const end = LENGTH_BYTES + buffer.readUInt32BE()
      if (end > LENGTH_BYTES + MAX_FRAME_BYTES) throw new FrameError(`Frame too large: expected at most ${MAX_FRAME_BYTES} bytes, got ${end - LENGTH_BYTES}.`)
      this.#expectedBytes = end
      if (buffer.length < end) break
      messages.push(...decodeMessages(buffer.subarray(LENGTH_BYTES, end)))
      this.#keep(buffer.subarray(end))
    }
    return messages
  }

  #joinChunks (): Buffer {
    const buffer = this.#chunks.length === 1 ? this.#chunks[0] as Buffer : Buffer.concat(this.#chunks)
    this.#chunks = [buffer]
    return buffer
  }

  #keep (rest: Buffer): void {
    this.#chunks = rest.length === 0 ? [] : [rest]
    this.#bytes = rest.length
    this.#expectedBytes = LENGTH_BYTES
  }
}

function decodeMessages (body: Buffer): unknown[] {
  let messages: unknown
  try {
    messages = packr.unpack(body)
  } catch (err) {
    throw new FrameError(`Malformed frame: ${(err as Error).message}`)
  }
  if (!Array.isArray(messages)) throw new FrameError('Malformed frame: expected a list of messages.')
  return messages
}
