import { expect } from 'chai'
import { encodeConfig, encodeJob } from '../../platform/standin/caller.js'
import { JobDeployment, waitUntil } from '../jobs/deployment.js'

/** The platform's bound from the return of the machines to service. */
const RECOVERY_MS = 12_000

const READ_INTERVAL_MS = 20
const CONTROL_INDEXES = [0, 1, 2] as const

/** What one process answered to reads of the configuration: its version, or the status of a failed read. */
type Reading = { readonly version: number } | { readonly status: number }

async function readConfig (address: string): Promise<Reading | null> {
  try {
    const res = await fetch(`http://${address}/config`, { signal: AbortSignal.timeout(1000) })
    return res.ok ? { version: (await res.json() as { version: number }).version } : { status: res.status }
  } catch {
    return null
  }
}

describe('recovery after the loss of all machines', () => {
  let deployment: JobDeployment
  let version = 0

  /** Sends a change to one process and resolves as soon as it is acknowledged. */
  async function change (index: number): Promise<void> {
    version += 1
    const body = encodeConfig(version, deployment.queueHost, '/queue/', 'pool')
    await waitUntil(async () => (await fetch(`http://${deployment.controlAddresses[index] as string}/config`, { method: 'PUT', body })).status === 200)
  }

  /** Reads from a process until it shows a configuration; all earlier answers must be refusals. */
  async function waitForConfig (address: string): Promise<number> {
    const startedAt = Date.now()
    for (;;) {
      const reading = await readConfig(address)
      if (reading !== null && 'version' in reading) {
        expect(reading.version, address).to.equal(version)
        return Date.now() - startedAt
      }
      if (reading !== null) expect(reading.status, address).to.equal(503)
      expect(Date.now() - startedAt, `${address} shows no configuration`).to.be.below(RECOVERY_MS)
      await new Promise((resolve) => setTimeout(resolve, READ_INTERVAL_MS))
    }
  }

  /** Asks the entry until a job is accepted, and returns the status of each answer. */
  async function submitUntilAccepted (id: string): Promise<readonly number[]> {
    const statuses: number[] = []
    await waitUntil(async () => {
      const { status } = await deployment.ask('POST', `/queue/${id}`, encodeJob(1, 100))
      statuses.push(status)
      return status === 200
    })
    return statuses
  }

  before(async () => {
    deployment = new JobDeployment()
    await deployment.start()
    await change(0)
  })

  after(async () => { await deployment.stop() })

  for (const [name, lostDisk] of [['all processes are killed', null], ['one disk is lost and all other processes are killed', 1], ['another disk is lost and all other processes are killed', 2]] as const) {
    it(`reads the change back that was acknowledged right before ${name}, from every process`, async function () {
      this.timeout(120_000)
      await change((version + 1) % CONTROL_INDEXES.length)
      await Promise.all(CONTROL_INDEXES.map((i) => deployment.end(`control-${i}`, 'SIGKILL', i === lostDisk)).concat(deployment.end('entry')))
      for (const i of CONTROL_INDEXES) deployment.startControl(i, false)
      deployment.startEntry()
      const submitted = submitUntilAccepted(version.toString(16).padStart(16, '0'))
      await Promise.all(deployment.controlAddresses.map(waitForConfig))
      // An entry that does not know the configuration yet must not say that a configured queue does not exist.
      for (const status of await submitted) expect(status).to.be.oneOf([200, 503, 504])
      // The next case may lose another disk only once the member with the new disk votes in place of the old one.
      if (lostDisk !== null) await waitUntil(() => deployment.lines.some(({ event, member }) => event === 'group.removed' && String(member).startsWith(`control-${lostDisk}`)))
    })
  }
})
