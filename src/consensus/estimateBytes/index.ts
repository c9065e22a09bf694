/** Estimates how many bytes a value takes as MessagePack, without encoding it. */

/** A number, a boolean, null or the header of a short string, an array or an object. */
const SMALL_VALUE_BYTES = 5

/**
 * Estimates the encoded size of a value. Texts that are not ASCII take up to three times as much.
 *
 * @param value - a value that MessagePack can encode
 * @returns the size in bytes
 */
export function estimateBytes (value: unknown): number {
  if (typeof value === 'string') return SMALL_VALUE_BYTES + value.length
  if (typeof value !== 'object' || value === null) return SMALL_VALUE_BYTES
  if (value instanceof Uint8Array) return SMALL_VALUE_BYTES + value.length
  let bytes = SMALL_VALUE_BYTES
  if (Array.isArray(value)) {
    for (const element of value) bytes += estimateBytes(element)
    return bytes
  }
  for (const [name, field] of Object.entries(value)) bytes += name.length + 1 + estimateBytes(field)
  return bytes
}
