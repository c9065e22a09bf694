import { expect } from 'chai'
import { appendFileSync, existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { open, type FileHandle } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { DataFolderError } from '../errors.js'
import type { LogEntry, StoreRecord } from '../types.js'
import { Wal, type WalOptions } from './index.js'

function entry (index: number, term = 1): StoreRecord {
  return { kind: 'entry', entry: { index, term, kind: 'command', data: `value ${index}` } }
}

describe('Wal', () => {
  let folder: string
  let openWals: Wal[]

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'wal-'))
    openWals = []
  })

  afterEach(async () => {
    await Promise.all(openWals.map((wal) => wal.close().catch(() => {})))
    rmSync(folder, { recursive: true })
  })

  async function start (): Promise<Wal> {
    const wal = await Wal.open(folder)
    openWals.push(wal)
    return wal
  }

  async function restart (wal: Wal): Promise<Wal> {
    await wal.close()
    openWals = openWals.filter((other) => other !== wal)
    return await start()
  }

  function logPath (): string {
    return join(folder, readdirSync(folder).find((name) => name.startsWith('log-')) ?? '')
  }

  function indexes (entries: readonly LogEntry[]): number[] {
    return entries.map((each) => each.index)
  }

  it('writes records appended during the recovery after the recovered ones', async () => {
    const first = await start()
    await first.recover()
    await first.append([entry(1), entry(2)])
    const second = await restart(first)
    const recovering = second.recover()
    await Promise.all([recovering, second.append([{ kind: 'vote', term: 7, votedFor: null }])])
    const third = await restart(second)
    const { term, entries } = await third.recover()
    expect(term).to.equal(7)
    expect(entries.map(({ index }) => index)).to.deep.equal([1, 2])
  })

  describe('on a full disk', () => {
    let prototype: FileHandle
    let write: FileHandle['write']

    beforeEach(async () => {
      const file = await open(join(folder, 'handle'), 'w')
      prototype = Object.getPrototypeOf(file) as FileHandle
      write = prototype.write
      await file.close()
    })

    afterEach(() => { prototype.write = write })

    /** Lets writes take only what a function allows: from the position in the file, the number of bytes. */
    function limitWrites (countAllowed: (position: number, length: number) => number): void {
      prototype.write = function (this: FileHandle, ...args: unknown[]) {
        const [buffer, offset, length, position] = args as [Buffer, number, number, number]
        const allowed = countAllowed(position, length)
        if (allowed <= 0) return Promise.reject(Object.assign(new Error('no space left on device'), { code: 'ENOSPC' }))
        return (write as (...args: unknown[]) => unknown).call(this, buffer, offset, allowed, position)
      } as unknown as FileHandle['write']
    }

    async function startWith (options: WalOptions): Promise<Wal> {
      const wal = await Wal.open(folder, options)
      openWals = [wal]
      return wal
    }

    it('waits for space when it recovers, and keeps what was stored', async () => {
      const first = await start()
      await first.recover()
      await first.append([entry(1), entry(2)])
      await first.close()
      const failures: Error[] = []
      const second = await startWith({ onFull: (err) => { if (failures.push(err) === 2) prototype.write = write } })
      limitWrites(() => 0)
      const [{ entries }] = await Promise.all([second.recover(), second.append([entry(3)])])
      expect(indexes(entries)).to.deep.equal([1, 2])
      expect(failures).to.have.length(2)
      const third = await restart(second)
      expect(indexes((await third.recover()).entries)).to.deep.equal([1, 2, 3])
    })

    it('waits for more space than the next write needs, so that it does not fail again at once', async () => {
      const first = await start()
      await first.recover()
      let failures = 0
      const append = async (wal: Wal): Promise<void> => { await wal.append([{ kind: 'entry', entry: { index: 1, term: 1, kind: 'command', data: 'x'.repeat(500) } }]).catch(() => { failures += 1 }) }
      limitWrites((position, length) => Math.min(length, 300 - position))
      await append(first)
      await first.close()
      for (let i = 0; i < 3; i++) {
        const wal = await startWith({ onFull: () => { prototype.write = write } })
        await wal.recover()
        await append(wal)
        await wal.close()
      }
      expect(failures).to.equal(1)
    })

    it('frees the space of a snapshot that it could not finish', async () => {
      const first = await start()
      await first.recover()
      await first.close()
      const leftover = join(folder, 'snapshot-00000009.tmp')
      writeFileSync(leftover, 'a part of a snapshot')
      let failures = 0
      const second = await startWith({ onFull: () => { if (++failures === 3) prototype.write = write } })
      limitWrites((_position, length) => existsSync(leftover) ? 0 : length)
      await second.recover()
      expect(failures).to.equal(0)
    })
  })

  it('recovers vote and entries after a restart', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([{ kind: 'vote', term: 3, votedFor: 'a' }, entry(1), entry(2)])
    const found = await (await restart(wal)).recover()
    expect(found).to.deep.include({ term: 3, votedFor: 'a', tornBytes: 0 })
    expect(indexes(found.entries)).to.deep.equal([1, 2])
  })

  it('replaces all entries at or above the index of a later entry', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([entry(1), entry(2), entry(3)])
    await wal.append([entry(2, 5)])
    const found = await (await restart(wal)).recover()
    expect(found.entries.map((each) => each.term)).to.deep.equal([1, 5])
  })

  it('shares one sync between all queued appends', async () => {
    let syncs = 0
    const wal = await Wal.open(folder, { onSync: () => { syncs += 1 } })
    openWals.push(wal)
    await wal.recover()
    await Promise.all(Array.from({ length: 50 }, (_each, order) => wal.append([entry(order + 1)])))
    expect(syncs).to.be.at.most(2)
    const found = await (await restart(wal)).recover()
    expect(found.entries).to.have.length(50)
  })

  it('truncates an incomplete write at the end and appends after it', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([entry(1)])
    await wal.append([entry(2)])
    const logBytes = readFileSync(logPath())
    await wal.close()
    openWals = []
    writeFileSync(logPath(), logBytes.subarray(0, logBytes.length - 3))
    const second = await start()
    const found = await second.recover()
    expect(indexes(found.entries)).to.deep.equal([1])
    expect(found.tornBytes).to.be.greaterThan(0)
    await second.append([entry(2, 7)])
    const third = await (await restart(second)).recover()
    expect(third.entries.map((each) => each.term)).to.deep.equal([1, 7])
  })

  it('truncates zeros that a crash has left at the end', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([entry(1)])
    await wal.close()
    openWals = []
    appendFileSync(logPath(), Buffer.alloc(100))
    const found = await (await start()).recover()
    expect(indexes(found.entries)).to.deep.equal([1])
    expect(found.tornBytes).to.equal(100)
  })

  it('rejects a log that is damaged in its middle and names the remedy', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([entry(1)])
    await wal.append([entry(2)])
    await wal.close()
    openWals = []
    const bytes = readFileSync(logPath())
    const offset = bytes.indexOf('value 1')
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 0xff, offset)
    writeFileSync(logPath(), bytes)
    const err = await (await start()).recover().then(() => null, (error: unknown) => error)
    expect(err).to.be.instanceOf(DataFolderError)
    expect((err as Error).message).to.match(/damaged in its middle.*members remove.*members add/s)
  })

  it('keeps only the snapshot and later entries after a compaction', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([entry(1), entry(2), entry(3)])
    await wal.compact({ index: 2, term: 1, members: [], data: Buffer.from('state') }, () => [entry(3)])
    await wal.append([entry(4)])
    const found = await (await restart(wal)).recover()
    expect(found.snapshot?.index).to.equal(2)
    expect(Buffer.from(found.snapshot?.data ?? []).toString()).to.equal('state')
    expect(indexes(found.entries)).to.deep.equal([3, 4])
    expect(readdirSync(folder)).to.have.length(3)
  })

  it('keeps records appended while a compaction is queued', async () => {
    const wal = await start()
    await wal.recover()
    const log = [entry(1), entry(2)]
    const list = (): StoreRecord[] => log.slice(1)
    await wal.append(log)
    const append = (index: number): Promise<void> => {
      log.push(entry(index))
      return wal.append([entry(index)])
    }
    const early = append(3)
    const compaction = wal.compact({ index: 1, term: 1, members: [], data: Buffer.from('state') }, list)
    await Promise.all([early, append(4), compaction, append(5)])
    const found = await (await restart(wal)).recover()
    expect(indexes(found.entries)).to.deep.equal([2, 3, 4, 5])
  })

  it('skips a queued compaction when a later snapshot has replaced the log', async () => {
    const wal = await start()
    await wal.recover()
    await wal.append([entry(1), entry(2)])
    await wal.compact({ index: 1, term: 1, members: [], data: Buffer.from('state') }, () => null)
    const found = await (await restart(wal)).recover()
    expect(found.snapshot).to.equal(null)
    expect(indexes(found.entries)).to.deep.equal([1, 2])
  })

  it('rejects a second process on the same folder', async () => {
    await start()
    const err = await Wal.open(folder).then(() => null, (error: unknown) => error)
    expect((err as Error).message).to.include('another process uses this data folder')
  })

  it('creates a new instance id for an emptied folder', async () => {
    const wal = await start()
    const before = wal.instance
    await wal.close()
    openWals = []
    for (const name of readdirSync(folder)) rmSync(join(folder, name))
    expect((await start()).instance).not.to.equal(before)
  })

  it('rejects all appends once a write has failed', async () => {
    const wal = await start()
    await wal.recover()
    await wal.close()
    for (const index of [1, 2]) {
      const outcome = await wal.append([entry(index)]).then(() => 'acknowledged', () => 'refused')
      expect(outcome).to.equal('refused')
    }
    openWals = []
  })
})
