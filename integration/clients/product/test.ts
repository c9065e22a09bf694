import { expect } from 'chai'
import { request } from 'undici'
import { Deployment } from '../../../bench/harness/deployment.js'
import { FLEETS } from '../../../bench/harness/fleet.js'
import { waitUntil } from '../../jobs/deployment.js'
import { Crowd, type CrowdSpec } from '../crowd.js'
import { countDescriptors, readPeakMemoryMb } from '../usage.js'

/** The crowds and bounds were fixed on code without limits. Idle processes of the product take 75 to 110 MB in all. */
const CONNECTIONS = 150
const HEAP_MB = 64
const MAX_PEAK_MB = 190

/** Descriptors of an idle process, and some to spare. */
const OWN_DESCRIPTORS = 60

const MB = 1024 * 1024
const REQUESTS_BYTES = 4 * MB
const ENDLESS_BYTES = 4 * MB

/** Below what one body may have at an entry, and at control. */
const ENTRY_UNFINISHED_BYTES = 0.9 * MB
const CONTROL_UNFINISHED_BYTES = 3 * MB

const CHUNKED = 'transfer-encoding: chunked\r\n\r\n'
const CHUNK = `2000\r\n${'x'.repeat(0x2000)}\r\n`

const startOf = (method: string, path: string): string => `${method} ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\n`
const getOf = (path: string): string => `${startOf('GET', path)}\r\n`

interface CrowdCase {
  readonly what: string
  readonly at: 'entry' | 'control'
  readonly spec: Omit<CrowdSpec, 'address' | 'connections'>
  /** Sent once all connections have sent what is in `spec`. */
  readonly bytesLater?: number
}

const CASES: readonly CrowdCase[] = [
  { what: 'requests sent ahead at the path that says ready', at: 'entry', spec: { repeated: getOf('/ready'), bytes: REQUESTS_BYTES } },
  { what: 'requests sent ahead at a path that no route has', at: 'entry', spec: { repeated: getOf('/nowhere'), bytes: REQUESTS_BYTES } },
  { what: 'bodies without end', at: 'entry', spec: { head: `${startOf('POST', '/v1/jobs')}${CHUNKED}`, repeated: CHUNK, bytes: ENTRY_UNFINISHED_BYTES }, bytesLater: ENDLESS_BYTES },
  { what: 'requests sent ahead at the path that says ready', at: 'control', spec: { repeated: getOf('/ready'), bytes: REQUESTS_BYTES } },
  { what: 'bodies without end', at: 'control', spec: { head: `${startOf('POST', '/trpc/poll')}${CHUNKED}`, repeated: CHUNK, bytes: CONTROL_UNFINISHED_BYTES }, bytesLater: ENDLESS_BYTES }
]

describe('clients outside the limits of the product\'s own interface, with real processes', function () {
  this.timeout(180_000)
  let deployment: Deployment
  let crowd: Crowd

  beforeEach(async () => {
    deployment = new Deployment({ fleet: FLEETS.lindenhof, controls: 1, entries: 1, hasNoEndpoints: true, nodeArgs: [`--max-old-space-size=${HEAP_MB}`] })
    await deployment.start()
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed' && process.env.SHOW_LOGS !== undefined) console.log(deployment.logs())
    crowd.close()
    await deployment.stop()
  })

  for (const { what, at, spec, bytesLater } of CASES) {
    it(`stays within its memory and answers an ordinary caller: ${what} (${at})`, async () => {
      const [control, entry] = [deployment.controls[0], deployment.entries[0]]
      const address = at === 'entry' ? String(entry?.address) : `127.0.0.1:${control?.port}`
      const target = at === 'entry' ? entry : control
      crowd = new Crowd({ ...spec, address, connections: CONNECTIONS })
      await crowd.send()
      if (bytesLater !== undefined) await crowd.sendMore(bytesLater)
      expect(target?.process.isRunning, 'the process runs').to.equal(true)
      const pid = target?.process.pid as number
      await waitUntil(async () => {
        const res = await request(`http://${entry?.address}/v1/jobs?team=editors`, { reset: true })
        await res.body.dump()
        return res.statusCode === 200
      })
      if (process.env.SHOW_PEAKS !== undefined) console.log(`      ${at}: peak ${readPeakMemoryMb(pid).toFixed(0)} MB, ${countDescriptors(pid)} descriptors, ${crowd.openCount} connections left open`)
      expect(countDescriptors(pid), 'descriptors').to.be.at.most(OWN_DESCRIPTORS + CONNECTIONS)
      expect(readPeakMemoryMb(pid), 'peak memory in MB').to.be.below(MAX_PEAK_MB)
      expect(target?.process.isRunning, 'the process runs').to.equal(true)
    })
  }
})
