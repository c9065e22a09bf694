/** Parsers of setting values. Each throws an Error that says what was expected. */

/**
 * Parses an address.
 *
 * @param text - host and port, for instance `10.0.0.1:7000`
 * @returns the text, unchanged
 */
export function parseAddress (text: string): string {
  const port = Number(/^[^\s:]+:(\d{1,5})$/.exec(text)?.[1] ?? Number.NaN)
  if (!(port >= 0 && port <= 65_535)) throw new Error(`expected an IP address and a port such as 10.0.0.1:7000, got "${text}"`)
  return text
}

/**
 * Parses a comma-separated list of addresses.
 *
 * @param text - for instance `10.0.0.1:7000,10.0.0.2:7000`
 */
export function parseAddresses (text: string): readonly string[] {
  return text.split(',').map((part) => parseAddress(part.trim()))
}

/**
 * Parses a name of letters, digits, dots and hyphens.
 *
 * @param text - name to check
 * @returns the text, unchanged
 */
export function parseName (text: string): string {
  if (!/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/.test(text)) throw new Error(`expected a name of letters, digits, dots and hyphens, got "${text}"`)
  return text
}

/**
 * Creates a parser of integers within a range.
 *
 * @param min - smallest valid value
 * @param max - largest valid value
 * @returns the parser
 */
export function integerBetween (min: number, max: number): (text: string) => number {
  return (text) => {
    const value = Number(text)
    if (!Number.isInteger(value) || value < min || value > max) throw new Error(`expected an integer from ${min} to ${max}, got "${text}"`)
    return value
  }
}

/**
 * Creates a parser of one of several words.
 *
 * @param words - valid words
 * @returns the parser
 */
export function oneOf<T extends string> (...words: readonly T[]): (text: string) => T {
  return (text) => {
    const word = words.find((candidate) => candidate === text)
    if (word === undefined) throw new Error(`expected one of ${words.join(', ')}, got "${text}"`)
    return word
  }
}

/**
 * Parses a path, which may be anything but empty.
 *
 * @param text - path to check
 * @returns the text, unchanged
 */
export function parsePath (text: string): string {
  if (text === '') throw new Error('expected a path, got an empty text')
  return text
}

/**
 * Splits an address into host and port.
 *
 * @param address - host and port
 */
export function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const [host = '', port = '0'] = address.split(':')
  return { host, port: Number(port) }
}
