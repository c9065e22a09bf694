// Runs one case: writes its record, ends what it started, and exits with 0 (held), 1 (broken) or 2 (could not run).
import { openSync, writeSync, closeSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment, sleep, waitFor } from './deployment.mjs'
import { send } from './http.mjs'
import { Machines } from './machines.mjs'
import { Worker } from './worker.mjs'

const MAX_MS = 115_000
export const HOST = 'jobs.example'
export const PREFIX = '/q/'
export const SERVICE = 'pool'

// Whether the disruption happens.
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

// A configuration like that of a site, with one queue.
export function encodeConfig (version, extra = {}) {
  const route = { name: 'r-1', host: HOST, pathPrefix: PREFIX, kind: 'unsafe', timeoutMs: 3000, targetLatencyMs: 600, priority: 0, service: SERVICE, maxAttempts: 3, slackFactor: 1.6, ...extra }
  return { version, routes: [route], services: [{ name: SERVICE, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false }], limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 } }
}

export function createId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}

export async function runCase (url, play) {
  const began = performance.now()
  const file = openSync(join(dirname(fileURLToPath(url)), 'record.txt'), 'w')
  const events = []
  const record = (event) => {
    const line = { ms: Math.round(performance.now() - began), ...event }
    events.push(line)
    writeSync(file, `${JSON.stringify(line)}\n`)
  }
  record({ what: 'case', trouble: HAS_TROUBLE })
  const workers = []
  let deployment = null
  let machines = null
  const cleanUp = async () => {
    for (const worker of workers) worker.crash()
    machines?.close()
    await deployment?.stop()
  }
  const finish = async (code) => {
    await cleanUp()
    closeSync(file)
    process.exit(code)
  }
  const watchdog = setTimeout(() => {
    record({ what: 'verdict', broken: null, reason: 'the case took too long' })
    finish(2)
  }, MAX_MS)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => { finish(2) })
  try {
    deployment = await Deployment.create()
    const world = new World({ deployment, workers, events, record })
    machines = new Machines(world, record)
    world.machines = machines
    await machines.listen(deployment.machinesAddress)
    deployment.start()
    const broken = await play(world)
    for (const reason of broken) record({ what: 'broken', reason })
    record({ what: 'verdict', broken: broken.length > 0 })
    process.stdout.write(`${broken.length > 0 ? `BROKEN: ${broken.join('; ')}` : 'held'}\n`)
    clearTimeout(watchdog)
    await finish(broken.length > 0 ? 1 : 0)
  } catch (err) {
    record({ what: 'verdict', broken: null, reason: err.stack })
    process.stderr.write(`${err.stack}\n`)
    await finish(2)
  }
}

// What a case acts on: the deployment, its workers, a client and the operator.
class World {
  constructor ({ deployment, workers, events, record }) {
    Object.assign(this, { deployment, workers, events, record })
  }

  pool = SERVICE
  waves = new Map()
  #options = new Map()
  #lives = 0

  // Adds a worker on machine N, in a rack of four. A later life of a machine has another id, unless one is given.
  async addWorker (n, options) {
    const machine = `m-${n}`
    this.#options.set(machine, options)
    this.machines.add(machine)
    this.#lives += 1
    const worker = new Worker({ id: `i-${n}-${this.#lives}`, address: `${this.deployment.network}.1.${n}:18080`, service: SERVICE, machine, rack: `r${Math.ceil(n / 4)}`, control: this.deployment.control, record: this.record, ...options })
    this.workers.push(worker)
    await worker.start()
    return worker
  }

  workerOn (machine) {
    return this.workers.find((worker) => worker.machine === machine && !worker.isDown)
  }

  machinesOf (wave) {
    return this.waves.get(wave) ?? []
  }

  endWorkerOn (machine) {
    this.workerOn(machine)?.crash()
  }

  beginWorkerOn (machine) {
    this.addWorker(Number(machine.slice(2)), this.#options.get(machine))
  }

  async startWave (wave, machines, cap) {
    this.waves.set(wave, machines)
    await this.order({ method: 'POST', path: '/wave-start', body: { wave, machines, deadlineS: 26, cap } }, ({ status }) => status === 200)
    this.record({ what: 'operator.wave', wave, machines, cap })
  }

  async showWave (wave) {
    return (await this.order({ path: `/wave-get/${wave}` }, ({ status }) => status === 200)).body.state
  }

  // Sends an order of the operator until it is answered as expected by one of the nodes, as the operator does.
  async order (request, isDone) {
    let last = null
    await waitFor(`${request.method} ${request.path}`, async () => {
      for (const address of this.deployment.control) {
        try {
          last = await send(address, { timeoutMs: 3000, ...request })
          if (isDone(last)) return true
        } catch {
          // The next node is called.
        }
      }
      return false
    })
    return last
  }

  async configure (config) {
    await this.order({ method: 'PUT', path: '/config', body: config }, ({ status }) => status === 200)
    this.record({ what: 'operator.configured', version: config.version })
  }

  // Sends a client's request through the entries in turn, until one gives an answer other than 502, 503 or 504.
  async ask (method, path, body) {
    for (let attempt = 0; attempt < 20; attempt++) {
      const entry = this.deployment.entries[attempt % this.deployment.entries.length]
      try {
        const answer = await send(entry, { method, path, host: HOST, headers: { 'deadline-ms': '3000' }, body, timeoutMs: 3500 })
        if (![502, 503, 504].includes(answer.status)) return answer
      } catch {
        // The client retries at the next entry.
      }
      await sleep(200)
    }
    return { status: 0, body: null }
  }

  async submit (job) {
    const id = createId()
    const { status } = await this.ask('POST', PREFIX + id, job)
    this.record({ what: 'client.submitted', id, status, job })
    return { id, isAccepted: status >= 200 && status < 300 }
  }

  async show (id) {
    const { status, body } = await this.ask('GET', PREFIX + id)
    return status === 200 ? body.state : `HTTP ${status}`
  }

  // Starts some workers, configures the deployment and waits until it runs a job.
  async settle () {
    await this.configure(encodeConfig(1))
    await waitFor('the workers are announced', () => this.workers.every(({ hasAnnounced }) => hasAnnounced))
    const { id } = await this.submit({ spec: 'first', steps: [{ count: 2, cpu: 1000, memMb: 100, estRuntimeMs: 300 }] })
    await waitFor('the first job is completed', async () => await this.show(id) === 'completed')
    await sleep(1500)
  }
}

const FINISH_MS = 14_000
const IDLE_MS = 3000
const SAMPLE_MS = 250

// Waits for finish_s after the end of the traffic and lists the jobs that are not completed and have nothing running for 3 s, while there is room for
// a task of theirs twice over and under half of the pool is in use. cpuOf: what a task needs, by its spec.
export async function findIdleJobs (world, jobs, { cpuOf, taskCpu, workerCpu }) {
  world.record({ what: 'client.trafficEnds', accepted: jobs.length })
  await sleep(FINISH_MS)
  const idle = new Map(jobs.map((id) => [id, 0]))
  const samples = Math.ceil(IDLE_MS / SAMPLE_MS) + 1
  for (let i = 0; i < samples; i++) {
    const running = world.workers.filter(({ isDown }) => !isDown).flatMap((worker) => [...worker.running.values()])
    const used = running.reduce((sum, { spec }) => sum + cpuOf(spec), 0)
    const all = world.workers.filter(({ isDown }) => !isDown).length * workerCpu
    const hasRoom = all - used >= 2 * taskCpu && used < all / 2
    for (const id of jobs) if (hasRoom && !running.some(({ task }) => task.startsWith(id))) idle.set(id, idle.get(id) + 1)
    world.record({ what: 'workers.load', used, of: all })
    await sleep(SAMPLE_MS)
  }
  const found = []
  for (const id of jobs) {
    const state = await world.show(id)
    world.record({ what: 'client.shown', id, state })
    if (state !== 'completed' && idle.get(id) === samples) found.push(`job ${id} is shown as ${state} and had nothing running for ${IDLE_MS} ms, with room for it`)
  }
  return found
}
