/** Compares the time of a commit with that of a disk sync and a round trip, and measures recovery of the log. */
import { mkdtempSync, rmSync } from 'node:fs'
import { open } from 'node:fs/promises'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Pool } from 'undici'
import { Wal } from '../../src/consensus/wal/index.js'
import { TrpcLink } from '../../src/links/trpcLink/index.js'
import { Deployment } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import type { Scenario } from './types.js'

const WRITER_COUNTS = [1, 10, 100] as const
const PROBE_COUNT = 200
const RECOVERED_COMMAND_COUNT = 10_000

function median (values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN
}

async function measureMs (run: () => Promise<unknown>): Promise<number> {
  const startedAt = performance.now()
  await run()
  return performance.now() - startedAt
}

/** Returns the median time of one small write with a disk sync, in milliseconds. */
async function measureSync (folder: string): Promise<number> {
  const file = await open(join(folder, 'probe'), 'w')
  const times: number[] = []
  for (let i = 0; i < PROBE_COUNT; i += 1) {
    times.push(await measureMs(async () => {
      await file.write(Buffer.alloc(200), 0, 200, i * 200)
      await file.datasync()
    }))
  }
  await file.close()
  return median(times)
}

/** Returns the median time of one bare HTTP round trip over loopback, in milliseconds. */
async function measureRoundTrip (): Promise<number> {
  const server = createServer((req, res) => { req.resume().on('end', () => { res.end('{}') }) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: 1 })
  const times: number[] = []
  for (let i = 0; i < PROBE_COUNT; i += 1) times.push(await measureMs(async () => { await (await pool.request({ path: '/', method: 'POST', body: 'x'.repeat(200) })).body.text() }))
  await pool.destroy()
  server.close()
  return median(times)
}

/** Returns the time to recover a log of many commands, in milliseconds. */
async function measureRecovery (folder: string): Promise<number> {
  const path = join(folder, 'recovery')
  const wal = await Wal.open(path)
  await wal.recover()
  const data = { type: 'claim', at: 1, service: 'publishing', key: 'k'.repeat(36), created: 1, request: 'r'.repeat(36), entry: 'e1#12345678' }
  for (let start = 1; start <= RECOVERED_COMMAND_COUNT; start += 100) {
    await wal.append(Array.from({ length: 100 }, (_each, index) => ({ kind: 'entry', entry: { index: start + index, term: 1, kind: 'command', data } }) as const))
  }
  await wal.close()
  const reopened = await Wal.open(path)
  const ms = await measureMs(() => reopened.recover())
  await reopened.close()
  return ms
}

/** Commits claims by concurrent writers and returns the time of each commit, in milliseconds. */
async function measureCommits (link: TrpcLink, writers: number, seconds: number): Promise<number[]> {
  const times: number[] = []
  const until = Date.now() + seconds * 1000
  await Promise.all(Array.from({ length: writers }, async (_each, writer) => {
    for (let i = 0; Date.now() < until; i += 1) {
      const key = `${writers}-${writer}-${i}`
      times.push(await measureMs(() => link.call((calls, signal) => calls.claim.mutate({ service: 'publishing', key, created: Date.now(), request: key, entry: 'bench' }, { signal }), 5000)))
    }
  }))
  return times
}

/** Commits through the leader by 1, 10 and 100 concurrent writers. */
export const commits: Scenario = {
  name: 'commits',
  description: 'time of a commit by 1, 10 and 100 writers, compared with a disk sync and a round trip; time of recovery',
  run: async (options) => {
    const folder = mkdtempSync(join(tmpdir(), 'oleanderward-commits-'))
    const deployment = new Deployment({ fleet: FLEETS[options.deployment], controls: 5, entries: 1 })
    try {
      await deployment.start()
      const extra: Record<string, number> = { syncMs: await measureSync(folder), roundTripMs: await measureRoundTrip(), recoveryMs: await measureRecovery(folder) }
      const link = new TrpcLink(`127.0.0.1:${(await deployment.leader()).port}`, undefined)
      for (const writers of WRITER_COUNTS) {
        const times = await measureCommits(link, writers, options.seconds / WRITER_COUNTS.length)
        extra[`commitMs${writers}`] = median(times)
        extra[`perSecond${writers}`] = times.length / (options.seconds / WRITER_COUNTS.length)
      }
      link.close()
      const recoveryViolations = (extra['recoveryMs'] ?? 0) > 1000 ? ['recovery of 10,000 commands took longer than 1 s'] : []
      return { extra, violations: recoveryViolations }
    } finally {
      await deployment.stop()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
