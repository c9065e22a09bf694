/** Replays stored records in order. */
import { DataFolderError } from '../errors.js'
import type { LogEntry, RecoveredState, StoreRecord } from '../types.js'

/**
 * Reduces stored records to term, vote and entries.
 *
 * @param records - records in the order in which they were appended; an entry replaces all at or above its index
 * @returns term, vote and entries after the last record
 * @throws DataFolderError when an entry is missing between two records
 */
export function replayRecords (records: readonly StoreRecord[]): Pick<RecoveredState, 'term' | 'votedFor' | 'entries'> {
  let term = 0
  let votedFor: string | null = null
  const entries: LogEntry[] = []
  for (const record of records) {
    if (record.kind === 'vote') {
      term = record.term
      votedFor = record.votedFor
      continue
    }
    const first = entries[0]
    if (first !== undefined) {
      const keptCount = record.entry.index - first.index
      if (keptCount > entries.length) throw new DataFolderError(`The log lacks entry ${first.index + entries.length} but holds entry ${record.entry.index}. Remove this member, empty its data folder and add it again.`)
      entries.length = Math.max(0, keptCount)
    }
    entries.push(record.entry)
  }
  return { term, votedFor, entries }
}
