/** In-memory log that begins after a snapshot. */
import { estimateBytes } from '../estimateBytes/index.js'
import type { LogEntry, Member } from '../types.js'

/** Log entries after a snapshot, with the membership that results from them. */
export class ReplicatedLog {
  #entries: LogEntry[] = []
  /** Estimated size of each entry, in bytes. */
  #sizes: number[] = []
  /** Membership entries of the log, kept separately so that a lookup needs no scan. */
  #memberEntries: LogEntry[] = []
  #baseIndex: number
  #baseTerm: number
  #baseMembers: readonly Member[]

  /**
   * @param baseIndex - index covered by the snapshot, 0 without one
   * @param baseTerm - term of that index
   * @param baseMembers - members as of that index
   */
  constructor (baseIndex = 0, baseTerm = 0, baseMembers: readonly Member[] = []) {
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
    this.#baseMembers = baseMembers
  }

  get baseIndex (): number {
    return this.#baseIndex
  }

  get lastIndex (): number {
    return this.#baseIndex + this.#entries.length
  }

  get lastTerm (): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm
  }

  /** Members according to the newest membership entry, committed or not. */
  get members (): readonly Member[] {
    return this.membersAt(this.lastIndex)
  }

  /** Index of the newest membership entry, or the base index. */
  get membersIndex (): number {
    return this.membersIndexAt(this.lastIndex)
  }

  /**
   * Returns the index of the newest membership entry up to an index, or the base index.
   *
   * @param index - at or above the base index
   */
  membersIndexAt (index: number): number {
    return this.#memberEntries.findLast((memberEntry) => memberEntry.index <= index)?.index ?? this.#baseIndex
  }

  /**
   * Returns the members as of an index.
   *
   * @param index - at or above the base index
   * @returns the members according to the newest membership entry up to that index
   */
  membersAt (index: number): readonly Member[] {
    const entry = this.#memberEntries.findLast((memberEntry) => memberEntry.index <= index)
    return entry === undefined ? this.#baseMembers : entry.data as readonly Member[]
  }

  /**
   * Returns the term of an index.
   *
   * @param index - position in the log
   * @returns the term, or undefined when the log does not reach the index or has dropped it
   */
  termAt (index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm
    return this.#entries[index - this.#baseIndex - 1]?.term
  }

  /**
   * Returns the entry at an index.
   *
   * @param index - position in the log
   * @returns the entry, or undefined when the log does not reach the index or has dropped it
   */
  at (index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1]
  }

  /**
   * Returns consecutive entries.
   *
   * @param firstIndex - index of the first entry to return
   * @param limit - maximum number of entries
   * @param maxBytes - maximum size of the entries together; a single entry may be larger
   */
  slice (firstIndex: number, limit: number, maxBytes = Number.POSITIVE_INFINITY): LogEntry[] {
    const start = firstIndex - this.#baseIndex - 1
    let end = Math.min(start + limit, this.#entries.length)
    if (maxBytes !== Number.POSITIVE_INFINITY) end = this.#findEnd(start, end, maxBytes)
    return this.#entries.slice(start, end)
  }

  /**
   * Returns the estimated size of consecutive entries, in bytes.
   *
   * @param firstIndex - index of the first entry
   * @param count - number of entries
   */
  bytesOf (firstIndex: number, count: number): number {
    const start = firstIndex - this.#baseIndex - 1
    let bytes = 0
    for (let i = start; i < start + count; i++) bytes += this.#sizes[i] ?? 0
    return bytes
  }

  /**
   * Returns the first of the last entries up to an index that fit into limits.
   *
   * @param lastIndex - index of the last entry
   * @param limit - maximum number of entries
   * @param maxBytes - maximum estimated size of the entries together
   * @returns the index of the first entry; one above `lastIndex` when none fits
   */
  findFirstWithin (lastIndex: number, limit: number, maxBytes: number): number {
    let bytes = 0
    let index = lastIndex
    while (index > this.#baseIndex && lastIndex - index < limit) {
      bytes += this.#sizes[index - this.#baseIndex - 1] as number
      if (bytes > maxBytes) break
      index -= 1
    }
    return index + 1
  }

  #findEnd (start: number, limit: number, maxBytes: number): number {
    let bytes = 0
    for (let i = start; i < limit; i++) {
      bytes += this.#sizes[i] as number
      if (bytes > maxBytes && i > start) return i
    }
    return limit
  }

  /**
   * Adds an entry and drops all entries at or above its index.
   *
   * @param entry - the entry; its index is at most one above the last
   */
  put (entry: LogEntry): void {
    this.#entries.length = entry.index - this.#baseIndex - 1
    this.#sizes.length = this.#entries.length
    this.#entries.push(entry)
    this.#sizes.push(estimateBytes(entry))
    while ((this.#memberEntries.at(-1)?.index ?? 0) >= entry.index) this.#memberEntries.pop()
    if (entry.kind === 'members') this.#memberEntries.push(entry)
  }

  /**
   * Drops entries that a snapshot covers.
   *
   * @param index - new base index, at or below the last index
   */
  dropUpTo (index: number): void {
    const term = this.termAt(index)
    if (term === undefined || index <= this.#baseIndex) return
    this.#baseMembers = this.membersAt(index)
    this.#memberEntries = this.#memberEntries.filter((entry) => entry.index > index)
    this.#entries = this.#entries.slice(index - this.#baseIndex)
    this.#sizes = this.#sizes.slice(index - this.#baseIndex)
    this.#baseTerm = term
    this.#baseIndex = index
  }
}
