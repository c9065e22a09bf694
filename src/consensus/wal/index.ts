/** Durable storage in a data folder: a write-ahead log of frames, and a snapshot. */
import { mkdir, open, readdir, readFile, rename, unlink, type FileHandle } from 'node:fs/promises'
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { DataFolderError } from '../errors.js'
import { replayRecords } from '../replayRecords/index.js'
import type { ListRecords, RecoveredState, Snapshot, Store, StoreRecord } from '../types.js'
import { encodeFrame, readFrames } from './frame.js'
import { FolderLock } from './lock.js'

const INSTANCE_FILE = 'instance'
const GENERATION_PATTERN = /^log-(\d{8})$/

/** Interval between attempts to recover while no space is left. */
const FULL_RETRY_MS = 200

/** Space that must be left when a log is recovered, so that the first writes don't end the process again. */
const RESERVE_BYTES = 256 * 1024
const RESERVE_FILE = 'reserve.tmp'

/** Content of the first frame of each log file. */
interface LogHeader {
  readonly instance: string
  /** Last index of the snapshot that precedes the log; 0 when there is none. */
  readonly snapshotIndex: number
}

/** An append that waits to be written. */
interface QueuedAppend {
  readonly records: readonly StoreRecord[]
  readonly resolve: () => void
  readonly reject: (err: unknown) => void
}

/** Options of {@link Wal.open}. */
export interface WalOptions {
  /** Called after each sync. */
  readonly onSync?: () => void
  /** Called with each failed attempt to recover while no space is left. */
  readonly onFull?: (err: Error) => void
  /** Whether to lock the folder, which is the default; false where the environment ensures that no second process uses it. */
  readonly shouldLock?: boolean
}

/** Store on a disk. After a failed write or sync all later calls fail, because the content of the disk is no longer known. */
export class Wal implements Store {
  readonly #folder: string
  readonly #lock: FolderLock | null
  readonly #onSync: () => void
  readonly #onFull: (err: Error) => void
  #isClosed = false
  #instance = ''
  /** Number of the current log file; a compaction starts the next one. */
  #generation = 0
  #file: FileHandle | null = null
  #queuedAppends: QueuedAppend[] = []
  #lastOperation: Promise<void> = Promise.resolve()
  #isWriteScheduled = false
  #failure: unknown = null
  /** Length of the log file, in bytes. */
  #endOffset = 0

  private constructor (folder: string, lock: FolderLock | null, { onSync = () => {}, onFull = () => {} }: WalOptions) {
    this.#folder = folder
    this.#lock = lock
    this.#onSync = onSync
    this.#onFull = onFull
  }

  /**
   * Opens a data folder and creates it if it is missing.
   *
   * @param folder - path of the folder
   * @param options - callbacks and locking
   * @throws DataFolderError when another process uses it
   */
  static async open (folder: string, options: WalOptions = {}): Promise<Wal> {
    await mkdir(folder, { recursive: true })
    const lock = options.shouldLock === false ? null : await FolderLock.acquire(folder)
    const wal = new Wal(folder, lock, options)
    await wal.#loadInstance()
    return wal
  }

  get instance (): string {
    return this.#instance
  }

  /** Recovers the stored state, once there is space to write. Appends made in the meantime are written after the recovery. */
  recover (): Promise<RecoveredState> {
    const operation = this.#lastOperation.then(() => this.#recoverOnceWritable())
    this.#lastOperation = operation.then(() => {}, (err: unknown) => { this.#failure = err })
    return operation
  }

  /** Waits for space instead of failing, since the process would only start and fail again. */
  async #recoverOnceWritable (): Promise<RecoveredState> {
    for (;;) {
      try {
        return await this.#recoverNow()
      } catch (err) {
        if ((err as NodeJS.ErrnoException).code !== 'ENOSPC' || this.#isClosed) throw err
        this.#onFull(err as Error)
        await this.#file?.close()
        this.#file = null
        await delay(FULL_RETRY_MS)
      }
    }
  }

  async #recoverNow (): Promise<RecoveredState> {
    const generations = await this.#listGenerations()
    const newest = generations.at(-1)
    if (newest === undefined) {
      await this.#startGeneration(1, { instance: this.#instance, snapshotIndex: 0 }, [])
      return { term: 0, votedFor: null, snapshot: null, entries: [], tornBytes: 0 }
    }
    const path = this.#logPath(newest)
    const bytes = await readFile(path)
    const scan = readFrames(bytes, path)
    const [header, ...frames] = scan.payloads as [LogHeader | undefined, ...StoreRecord[][]]
    if (header === undefined) throw new DataFolderError(`${path}: byte 0: the log has no header.`)
    if (header.instance !== this.#instance) throw new DataFolderError(`${path}: the log belongs to another data folder (${header.instance}).`)
    this.#generation = newest
    this.#file = await open(path, 'r+')
    await this.#file.truncate(scan.validBytes)
    await this.#file.datasync()
    const snapshot = header.snapshotIndex === 0 ? null : await this.#readSnapshot(header.snapshotIndex)
    this.#endOffset = scan.validBytes
    await this.#removeStaleFiles(newest, header.snapshotIndex)
    await this.#checkSpace()
    return { ...replayRecords(frames.flat()), snapshot, tornBytes: bytes.length - scan.validBytes }
  }

  append (records: readonly StoreRecord[]): Promise<void> {
    if (this.#failure !== null) return Promise.reject(this.#failure)
    return new Promise((resolve, reject) => {
      this.#queuedAppends.push({ records, resolve, reject })
      this.#scheduleWrite()
    })
  }

  async compact (snapshot: Snapshot, listRecords: ListRecords): Promise<void> {
    const operation = this.#lastOperation.then(() => this.#compactNow(snapshot, listRecords))
    this.#lastOperation = operation.catch(() => {})
    try {
      await operation
    } catch (err) {
      this.#failure = err
      throw err
    }
  }

  async close (): Promise<void> {
    this.#isClosed = true
    await this.#lastOperation
    await this.#file?.close()
    this.#file = null
    await this.#lock?.release()
  }

  /** Schedules a write unless one is scheduled already; all appends that are queued when it starts go into it. */
  #scheduleWrite (): void {
    if (this.#isWriteScheduled) return
    this.#isWriteScheduled = true
    this.#lastOperation = this.#lastOperation.then(() => this.#writeQueuedAppends())
  }

  async #writeQueuedAppends (): Promise<void> {
    const batch = this.#queuedAppends
    this.#queuedAppends = []
    this.#isWriteScheduled = false
    if (batch.length === 0) return
    try {
      if (this.#failure !== null) throw this.#failure
      const frame = encodeFrame(batch.flatMap((queued) => queued.records))
      await this.#write(frame)
      for (const queued of batch) queued.resolve()
    } catch (err) {
      this.#failure = err
      for (const queued of batch) queued.reject(err)
    }
  }

  async #write (frame: Buffer): Promise<void> {
    const file = this.#file
    if (file === null) throw new DataFolderError(`${this.#folder}: the log is closed.`)
    await writeFully(file, frame, this.#endOffset)
    await file.datasync()
    this.#endOffset += frame.length
    this.#onSync()
  }

  /** Fails when less space than the reserve is left. */
  async #checkSpace (): Promise<void> {
    const path = join(this.#folder, RESERVE_FILE)
    const file = await open(path, 'w')
    try {
      await writeFully(file, Buffer.alloc(RESERVE_BYTES), 0)
      await file.datasync()
    } finally {
      await file.close()
      await unlink(path)
    }
  }

  async #compactNow (snapshot: Snapshot, listRecords: ListRecords): Promise<void> {
    const previousGeneration = this.#generation
    await this.#writeFileAtomically(this.#snapshotPath(snapshot.index), [encodeFrame(snapshot)])
    await this.#readSnapshot(snapshot.index)
    const records = listRecords()
    if (records === null) return
    const previousFile = this.#file
    await this.#startGeneration(previousGeneration + 1, { instance: this.#instance, snapshotIndex: snapshot.index }, records)
    await previousFile?.close()
    await this.#removeStaleFiles(this.#generation, snapshot.index)
  }

  async #startGeneration (generation: number, header: LogHeader, records: readonly StoreRecord[]): Promise<void> {
    const frames = [encodeFrame(header)]
    if (records.length > 0) frames.push(encodeFrame(records))
    await this.#writeFileAtomically(this.#logPath(generation), frames)
    this.#file = await open(this.#logPath(generation), 'r+')
    this.#generation = generation
    this.#endOffset = frames.reduce((sum, frame) => sum + frame.length, 0)
  }

  /** Writes a file atomically and durably: after a crash it exists either completely or not at all. */
  async #writeFileAtomically (path: string, parts: readonly Buffer[]): Promise<void> {
    const temporary = `${path}.tmp`
    const file = await open(temporary, 'w')
    try {
      for (const part of parts) await file.writeFile(part)
      await file.sync()
    } finally {
      await file.close()
    }
    await rename(temporary, path)
    await this.#syncFolder()
  }

  async #syncFolder (): Promise<void> {
    const folder = await open(this.#folder, 'r')
    try {
      await folder.sync()
    } finally {
      await folder.close()
    }
  }

  async #readSnapshot (index: number): Promise<Snapshot> {
    const path = this.#snapshotPath(index)
    const bytes = await readFile(path)
    const scan = readFrames(bytes, path)
    const [snapshot] = scan.payloads
    if (snapshot === undefined || scan.validBytes !== bytes.length) {
      throw new DataFolderError(`${path}: the snapshot is damaged. Remove this member, empty its data folder and add it again.`)
    }
    return snapshot as Snapshot
  }

  async #loadInstance (): Promise<void> {
    const path = join(this.#folder, INSTANCE_FILE)
    try {
      this.#instance = (await readFile(path, 'utf8')).trim()
    } catch {
      if ((await this.#listGenerations()).length > 0) throw new DataFolderError(`${path}: the file is missing although the folder holds a log.`)
      this.#instance = randomUUID()
      await this.#writeFileAtomically(path, [Buffer.from(`${this.#instance}\n`)])
    }
  }

  async #listGenerations (): Promise<number[]> {
    const names = await readdir(this.#folder)
    const found = names.map((name) => GENERATION_PATTERN.exec(name)?.[1]).filter((digits) => digits !== undefined)
    return found.map(Number).sort((a, b) => a - b)
  }

  async #removeStaleFiles (generation: number, snapshotIndex: number): Promise<void> {
    const keep = new Set([INSTANCE_FILE, `log-${padNumber(generation)}`, `snapshot-${padNumber(snapshotIndex)}`])
    const names = await readdir(this.#folder)
    const stale = names.filter((name) => /^(log|snapshot)-/.test(name) && !keep.has(name))
    await Promise.all(stale.map((name) => unlink(join(this.#folder, name))))
  }

  #logPath (generation: number): string {
    return join(this.#folder, `log-${padNumber(generation)}`)
  }

  #snapshotPath (index: number): string {
    return join(this.#folder, `snapshot-${padNumber(index)}`)
  }
}

async function writeFully (file: FileHandle, bytes: Buffer, position: number): Promise<void> {
  let written = 0
  while (written < bytes.length) {
    const res = await file.write(bytes, written, bytes.length - written, position + written)
    written += res.bytesWritten
  }
}

function padNumber (value: number): string {
  return String(value).padStart(8, '0')
}
