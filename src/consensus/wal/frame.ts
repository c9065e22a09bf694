/** Encodes and reads the frames of a log file. Each write is one frame, so that only the last frame can be incomplete. */
import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr/pack'
import { DataFolderError } from '../errors.js'

const packr = new Packr({ useRecords: false })

/** Magic number in the first four bytes of each frame. */
const FRAME_MAGIC = 0x4f4c4452

/** Size of a frame header: magic number, payload length, header checksum and payload checksum. */
const HEADER_BYTES = 16

/** Longest plausible payload; a header with a greater length is treated as damaged. */
const MAX_PAYLOAD_BYTES = 256 * 1024 * 1024

/** Result of {@link readFrames}. */
export interface FrameScan {
  readonly payloads: readonly unknown[]
  /** Length of the file up to the end of the last complete frame, in bytes. */
  readonly validBytes: number
}

/**
 * Encodes a value as one frame.
 *
 * @param value - any value that MessagePack can encode
 * @returns header and payload
 */
export function encodeFrame (value: unknown): Buffer {
  const payload = packr.pack(value)
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  frame.writeUInt32LE(FRAME_MAGIC, 0)
  frame.writeUInt32LE(payload.length, 4)
  frame.writeUInt32LE(crc32(frame.subarray(0, 8)), 8)
  frame.writeUInt32LE(crc32(payload), 12)
  frame.set(payload, HEADER_BYTES)
  return frame
}

/**
 * Reads frames up to the end of the file or to an incomplete last write.
 *
 * @param bytes - content of the file
 * @param path - path of the file, for error messages
 * @returns the payloads and the length of the valid part
 * @throws DataFolderError when a complete frame follows a damaged one, which an incomplete write can't cause
 */
export function readFrames (bytes: Buffer, path: string): FrameScan {
  const payloads: unknown[] = []
  let offset = 0
  while (offset < bytes.length) {
    const payload = readPayload(bytes, offset)
    if (payload === undefined) {
      throwIfFrameFollows(bytes, offset, path)
      break
    }
    payloads.push(packr.unpack(payload))
    offset += HEADER_BYTES + payload.length
  }
  return { payloads, validBytes: offset }
}

function readPayload (bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined
  if (bytes.readUInt32LE(offset) !== FRAME_MAGIC) return undefined
  if (crc32(bytes.subarray(offset, offset + 8)) !== bytes.readUInt32LE(offset + 8)) return undefined
  const length = bytes.readUInt32LE(offset + 4)
  const start = offset + HEADER_BYTES
  if (length > MAX_PAYLOAD_BYTES || start + length > bytes.length) return undefined
  const payload = bytes.subarray(start, start + length)
  return crc32(payload) === bytes.readUInt32LE(offset + 12) ? payload : undefined
}

function throwIfFrameFollows (bytes: Buffer, offset: number, path: string): void {
  const magic = Buffer.alloc(4)
  magic.writeUInt32LE(FRAME_MAGIC)
  let next = bytes.indexOf(magic, offset + 1)
  while (next !== -1) {
    if (readPayload(bytes, next) !== undefined) {
      throw new DataFolderError(`${path}: byte ${offset}: the log is damaged in its middle. Move the data folder away, remove this member with "oleanderctl members remove", start it with an empty folder and add it with "oleanderctl members add".`)
    }
    next = bytes.indexOf(magic, next + 1)
  }
}
