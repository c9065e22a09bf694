/** Small deployment that shows the whole path: configuration, requests, a job and a maintenance wave. It ends by itself. */
import { randomUUID } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { Deployment } from '../bench/harness/deployment.js'
import { FLEETS } from '../bench/harness/fleet.js'
import type { Wave } from '../src/state/types.js'

const FOLDER = fileURLToPath(new URL('inla', import.meta.url))
const WAVE_TIMEOUT_MS = 90_000

/** Prints a step of the demo. */
function say (text: string): void {
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
  say(`  ${job}: ${view.state} on ${view.vm}; ${view.reason}`)
}

async function runWave (deployment: Deployment): Promise<void> {
  say((await deployment.ctlOrThrow(['wave', 'plan', '--pool', 'publish'])).trim())
  const { wave } = await deployment.ctlJson<{ wave: string }>(['wave', 'start', '--pool', 'publish'])
  const end = Date.now() + WAVE_TIMEOUT_MS
  while (Date.now() < end) {
    const waves = await deployment.ctlJson<Wave[]>(['wave', 'status'])
    const found = waves.find((each) => each.id === wave)
    say(`  ${wave} is ${found?.state ?? 'unknown'}: ${found?.done.length ?? 0} done, ${found?.active.length ?? 0} active, ${found?.pending.length ?? 0} pending`)
    if (found?.state === 'done') return
    await sleep(1000)
  }
  throw new Error(`${wave} did not end in ${WAVE_TIMEOUT_MS} ms`)
}

async function main (): Promise<void> {
  const deployment = new Deployment({
    fleet: FLEETS.inla,
    controls: 3,
    entries: 2,
    files: { inventory: `${FOLDER}/inventory.csv`, rules: `${FOLDER}/rules.yaml` }
  })
  try {
    say('Starting three control processes, two entries, 35 stand-in endpoints and a stand-in platform.')
    await deployment.start()
    say(await deployment.ctlOrThrow(['status']))
    const [first = '', second = ''] = deployment.entryAddresses
    const key = randomUUID()
    say('Requests:')
    say(`  a read:                       ${await sendRequest(first, 'GET', 'take-check', randomUUID())}`)
    say(`  a publish:                    ${await sendRequest(first, 'POST', 'publishing', key)}`)
    say(`  the same, at the other entry: ${await sendRequest(second, 'POST', 'publishing', key)}`)
    say(`  the publish ran ${deployment.oracle.runsOf(key)} time(s)`)
    say('An urgent job:')
    await runJob(deployment, first)
    say('A maintenance wave over one pool:')
    await runWave(deployment)
    say(await deployment.ctlOrThrow(['explain', 'service', 'publishing']))
    say(`Requests cut by the wave: ${deployment.oracle.cut}`)
  } finally {
    await deployment.stop()
  }
}

await main()
process.exit(0)
