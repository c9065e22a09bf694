import { expect } from 'chai'
import { ClientDeployment, type ProcessName } from './deployment.js'
import { Crowd, type CrowdSpec } from './crowd.js'
import { waitUntil } from '../jobs/deployment.js'

/** The crowds and bounds were fixed on code without limits. Processes have a heap of 64 MB here; idle ones take 60 to 90 MB in all. */
const CONNECTIONS = 40
const MAX_PEAK_MB: Readonly<Record<ProcessName, number>> = { entry: 160, control: 180 }

/** Descriptors of an idle process, and some to spare. */
const OWN_DESCRIPTORS = 40

const MB = 1024 * 1024

/** Just below what one body may have at control. */
const UNFINISHED_BYTES = 3.8 * MB

/** What each connection sends beyond a body's limit, and what it sends ahead. */
const ENDLESS_BYTES = 12 * MB
const REQUESTS_BYTES = 4 * MB

const MAX_CONNECTIONS = 60
const LEFT_CONNECTIONS = 200

const ANNOUNCED = `content-length: ${1024 * MB}\r\n\r\n`
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n'
const CHUNK = `2000\r\n${'x'.repeat(0x2000)}\r\n`

const startOf = (method: string, path: string): string => `${method} ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\n`
const getOf = (path: string): string => `${startOf('GET', path)}\r\n`

interface CrowdCase {
  readonly what: string
  readonly at: string
  readonly process: ProcessName
  readonly spec: Omit<CrowdSpec, 'address' | 'connections'>
  /** Sent once all connections have sent what is in `spec`. */
  readonly bytesLater?: number
}

const CASES: readonly CrowdCase[] = [
  { what: 'bodies announced far over the limit', at: 'caller', process: 'entry', spec: { head: `${startOf('POST', '/queue/00000000000000aa')}${ANNOUNCED}`, repeated: 'x', bytes: UNFINISHED_BYTES }, bytesLater: ENDLESS_BYTES },
  { what: 'bodies without end', at: 'caller', process: 'entry', spec: { head: `${startOf('POST', '/queue/00000000000000aa')}${CHUNKED}`, repeated: CHUNK, bytes: UNFINISHED_BYTES }, bytesLater: ENDLESS_BYTES },
  { what: 'bodies without end on a GET', at: 'caller', process: 'entry', spec: { head: `${startOf('GET', '/queue/00000000000000aa')}${CHUNKED}`, repeated: CHUNK, bytes: ENDLESS_BYTES } },
  { what: 'requests sent ahead at the path that says ready', at: 'health', process: 'entry', spec: { repeated: getOf('/ready'), bytes: REQUESTS_BYTES } },
  { what: 'requests sent ahead at a path that no route has', at: 'caller', process: 'entry', spec: { repeated: getOf('/nowhere/00000000000000aa'), bytes: REQUESTS_BYTES } },
  { what: 'requests sent ahead for the metrics', at: 'entryMetrics', process: 'entry', spec: { repeated: getOf('/metrics'), bytes: REQUESTS_BYTES } },
  { what: 'bodies announced far over the limit', at: 'control', process: 'control', spec: { head: `${startOf('PUT', '/config')}${ANNOUNCED}`, repeated: 'x', bytes: UNFINISHED_BYTES }, bytesLater: ENDLESS_BYTES },
  { what: 'bodies without end', at: 'control', process: 'control', spec: { head: `${startOf('PUT', '/instances/i-1')}${CHUNKED}`, repeated: CHUNK, bytes: UNFINISHED_BYTES }, bytesLater: ENDLESS_BYTES },
  { what: 'requests sent ahead for the configuration', at: 'control', process: 'control', spec: { repeated: getOf('/config'), bytes: REQUESTS_BYTES } },
  { what: 'requests sent ahead at a path that no route has', at: 'control', process: 'control', spec: { repeated: getOf('/nowhere'), bytes: REQUESTS_BYTES } }
]

describe('clients outside the limits, with real processes', function () {
  this.timeout(180_000)
  let deployment: ClientDeployment
  let crowd: Crowd

  beforeEach(() => { deployment = new ClientDeployment() })

  afterEach(async function () {
    crowd.close()
    await deployment.stop()
    if (this.currentTest?.state === 'failed' && process.env.SHOW_LOGS !== undefined) console.log(deployment.output)
  })

  function expectAlive (): void {
    for (const name of ['entry', 'control'] as const) {
      expect(deployment.isAlive(name), `${name} runs`).to.equal(true)
      if (process.env.SHOW_PEAKS !== undefined) console.log(`      ${name}: peak ${deployment.peakMemoryMb(name).toFixed(0)} MB, ${deployment.countDescriptors(name)} descriptors, ${crowd.openCount} connections left open`)
      expect(deployment.peakMemoryMb(name), `peak memory of ${name} in MB`).to.be.below(MAX_PEAK_MB[name])
    }
  }

  for (const { what, at, process: target, spec, bytesLater } of CASES) {
    it(`stays within its memory and answers an ordinary caller: ${what} (${at})`, async () => {
      await deployment.start()
      crowd = new Crowd({ ...spec, address: deployment.address(at), connections: CONNECTIONS })
      await crowd.send()
      if (bytesLater !== undefined) await crowd.sendMore(bytesLater)
      expect(deployment.isAlive(target), `${target} runs`).to.equal(true)
      expect(deployment.countDescriptors(target), 'descriptors').to.be.at.most(OWN_DESCRIPTORS + CONNECTIONS)
      await deployment.submitJob()
      expectAlive()
    })
  }

  it('keeps the number of open connections below the limit, and serves an ordinary caller beside connections that are left open', async () => {
    await deployment.start({ entry: { clientLimits: { maxConnections: MAX_CONNECTIONS } } })
    crowd = new Crowd({ address: deployment.address('caller'), connections: LEFT_CONNECTIONS })
    await crowd.send()
    await deployment.submitJob()
    expect(deployment.countDescriptors('entry')).to.be.at.most(OWN_DESCRIPTORS + MAX_CONNECTIONS)
    expectAlive()
  })

  for (const [what, head] of Object.entries({
    'half a header': 'GET /queue/00000000000000aa HTTP/1.1\r\nhost: 127.0',
    'half a body': `${startOf('POST', '/queue/00000000000000aa')}content-length: 100\r\n\r\n{"spec`
  })) {
    it(`closes connections that stay at ${what}`, async () => {
      await deployment.start({ entry: { clientLimits: { headersTimeoutMs: 1000, requestTimeoutMs: 1000 } } })
      crowd = new Crowd({ address: deployment.address('caller'), connections: CONNECTIONS, head, reads: true })
      await crowd.send()
      await waitUntil(() => crowd.openCount === 0)
      expect(deployment.countDescriptors('entry'), 'descriptors').to.be.at.most(OWN_DESCRIPTORS)
      await deployment.submitJob()
      expectAlive()
    })
  }
})
