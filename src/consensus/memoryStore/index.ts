/** In-memory store for tests: keeps synced records across a simulated crash and loses all others. */
import type { Clock, Millis } from '../../clock/index.js'
import { replayRecords } from '../replayRecords/index.js'
import type { ListRecords, RecoveredState, Snapshot, Store, StoreRecord } from '../types.js'

/** A simulated disk that outlives the process that uses it. */
export class MemoryDisk {
  records: StoreRecord[] = []
  snapshot: Snapshot | null = null
  /** Whether writes fail because no space is left. */
  isFull = false

  /** @param instance - identity of the data folder */
  constructor (readonly instance: string) {}
}

/** Store of one simulated process on a {@link MemoryDisk}. */
export class MemoryStore implements Store {
  readonly #disk: MemoryDisk
  readonly #clock: Clock
  readonly #syncMs: Millis
  #lastOperation: Promise<void> = Promise.resolve()
  #isCrashed = false
  /** The first failure; all later writes fail with it. */
  #failure: Error | null = null

  /**
   * @param disk - the data that survives a crash
   * @param clock - source of time
   * @param syncMs - duration of a sync in milliseconds
   */
  constructor (disk: MemoryDisk, clock: Clock, syncMs: Millis) {
    this.#disk = disk
    this.#clock = clock
    this.#syncMs = syncMs
  }

  get instance (): string {
    return this.#disk.instance
  }

  recover (): Promise<RecoveredState> {
    const replayed = replayRecords(this.#disk.records)
    return Promise.resolve({ ...replayed, snapshot: this.#disk.snapshot, tornBytes: 0 })
  }

  append (records: readonly StoreRecord[]): Promise<void> {
    return this.#enqueue(() => { this.#disk.records.push(...records) })
  }

  compact (snapshot: Snapshot, listRecords: ListRecords): Promise<void> {
    return this.#enqueue(() => {
      const records = listRecords()
      if (records === null) return
      this.#disk.snapshot = snapshot
      this.#disk.records = [...records]
    })
  }

  close (): Promise<void> {
    this.crash()
    return Promise.resolve()
  }

  /** Simulates a crash: all writes that are not yet synced are lost. */
  crash (): void {
    this.#isCrashed = true
  }

  #enqueue (write: () => void): Promise<void> {
    const operation = this.#lastOperation.then(async () => {
      await this.#clock.sleep(this.#syncMs)
      // A crashed process never learns the outcome of its write.
      if (this.#isCrashed) await new Promise(() => {})
      if (this.#failure === null && this.#disk.isFull) this.#failure = new Error('no space left on device')
      if (this.#failure !== null) throw this.#failure
      write()
    })
    this.#lastOperation = operation.catch(() => {})
    return operation
  }
}
