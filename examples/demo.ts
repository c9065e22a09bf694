/** Demo of a small deployment: applies a configuration, sends requests, runs a job and a maintenance wave, and then exits. */
import { randomUUID } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { Deployment } from '../bench/harness/deployment.js'
import { FLEETS } from '../bench/harness/fleet.js'
import type { Wave } from '../src/state/types.js'

const FLEET_FOLDER = fileURLToPath(new URL('inla', import.meta.url))
const WAVE_TIMEOUT_MS = 90_000

/** Prints a line of the demo's output. */
function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

async function sendRequest (entry: string, method: 'GET' | 'POST', service: string, key: string): Promise<string> {
  const res = await request(`http://${entry}/v1/services/${service}/requests/chapters/7`, {
    method,
    headers: {
      'oleanderward-team': 'librarians',
      'oleanderward-class': 'urgent',
      'oleanderward-deadline-ms': '3000',
      'idempotency-key': key,
      'idempotency-key-created': String(Date.now())
    },
    body: method === 'POST' ? '{"chapter":7}' : null
  })
  const body = await res.body.text()
  return `${res.statusCode} ${String(res.headers['oleanderward-outcome'])}, ${String(res.headers['oleanderward-attempts'])} attempts: ${body.trim().slice(0, 60)}`
}

async function runJob (deployment: Deployment, entry: string): Promise<void> {
  const submitted = await request(`http://${entry}/v1/jobs`, {
    method: 'POST',
    body: JSON.stringify({ key: randomUUID(), service: 'mastering', team: 'editors', class: 'urgent', cores: 4, memoryGb: 8, runMs: 500, payload: { ranMs: 500 } })
  })
  const { job } = await submitted.body.json() as { job: string }
  let view = { state: '', reason: '', vm: '' }
  await deployment.waitFor(async () => {
    const res = await request(`http://${entry}/v1/jobs/${job}`)
    view = await res.body.json() as typeof view
    return view.state === 'done'
  }, 'the job')
  print(`  ${job}: ${view.state} on ${view.vm}; ${view.reason}`)
}

async function runWave (deployment: Deployment): Promise<void> {
  print((await deployment.ctlOrThrow(['wave', 'plan', '--pool', 'publish'])).trim())
  const { wave } = await deployment.ctlJson<{ wave: string }>(['wave', 'start', '--pool', 'publish'])
  const deadline = Date.now() + WAVE_TIMEOUT_MS
  while (Date.now() < deadline) {
    const waves = await deployment.ctlJson<Wave[]>(['wave', 'status'])
    const found = waves.find((each) => each.id === wave)
    print(`  ${wave} is ${found?.state ?? 'unknown'}: ${found?.done.length ?? 0} done, ${found?.active.length ?? 0} active, ${found?.pending.length ?? 0} pending`)
    if (found?.state === 'done') return
    await sleep(1000)
  }
  throw new Error(`wave ${wave} did not finish within ${WAVE_TIMEOUT_MS} ms`)
}

async function main (): Promise<void> {
  const deployment = new Deployment({
    fleet: FLEETS.inla,
    controls: 3,
    entries: 2,
    files: { inventory: `${FLEET_FOLDER}/inventory.csv`, rules: `${FLEET_FOLDER}/rules.yaml` }
  })
  try {
    print('Starting three control processes, two entries, 35 stand-in endpoints and a stand-in platform.')
    await deployment.start()
    print(await deployment.ctlOrThrow(['status']))
    const [firstEntry = '', secondEntry = ''] = deployment.entryAddresses
    const key = randomUUID()
    print('Requests:')
    print(`  a read:                       ${await sendRequest(firstEntry, 'GET', 'take-check', randomUUID())}`)
    print(`  a publish:                    ${await sendRequest(firstEntry, 'POST', 'publishing', key)}`)
    print(`  the same, at the other entry: ${await sendRequest(secondEntry, 'POST', 'publishing', key)}`)
    print(`  the publish ran ${deployment.oracle.countRuns(key)} time(s)`)
    print('An urgent job:')
    await runJob(deployment, firstEntry)
    print('A maintenance wave over one pool:')
    await runWave(deployment)
    print(await deployment.ctlOrThrow(['explain', 'service', 'publishing']))
    print(`Requests cut by the wave: ${deployment.oracle.cut}`)
  } finally {
    await deployment.stop()
  }
}

await main()
process.exit(0)
