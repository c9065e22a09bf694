/** Reports each failure of a store, also where the caller only passes it on to a peer. */
import type { ListRecords, RecoveredState, Snapshot, Store, StoreRecord } from '../types.js'

/** A store whose failures end the process: what is on the disk is no longer known, and all later writes fail too. */
export class ReportingStore implements Store {
  readonly #store: Store
  readonly #onFailure: (err: unknown) => void

  /**
   * @param store - the store that does the work
   * @param onFailure - called with the error of each write that fails
   */
  constructor (store: Store, onFailure: (err: unknown) => void) {
    this.#store = store
    this.#onFailure = onFailure
  }

  get instance (): string {
    return this.#store.instance
  }

  recover (): Promise<RecoveredState> {
    return this.#store.recover()
  }

  append (records: readonly StoreRecord[]): Promise<void> {
    return this.#report(this.#store.append(records))
  }

  compact (snapshot: Snapshot, listRecords: ListRecords): Promise<void> {
    return this.#report(this.#store.compact(snapshot, listRecords))
  }

  close (): Promise<void> {
    return this.#store.close()
  }

  async #report (writing: Promise<void>): Promise<void> {
    try {
      await writing
    } catch (err) {
      this.#onFailure(err)
      throw err
    }
  }
}
