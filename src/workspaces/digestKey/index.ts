/** Digests the key of a call. */
import { createHash } from 'node:crypto'

/**
 * Returns the digest by which a key is stored and compared. Processes pass on and log digests only, and a comparison of
 * digests takes a time that tells nothing about the keys.
 *
 * @param key - key as sent by the caller
 * @returns SHA-256 of the key in base64url
 */
export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest('base64url')
}
