/**
 * Starts the project's own programs as deploy/system.toml says, with settings like those of a small deployment, on free ports of loopback
 * addresses, and stand-ins for the platform, the workers, the operator and the clients.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Machines } from './platform.mjs'
import { call, Worker } from './worker.mjs'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** Bounds of the site lths-ow, in milliseconds. */
export const BOUNDS = { heartbeatMs: 1500, holdMaxMs: 6000, drainMs: 2000, migrationMs: 1500, maintenanceMs: 2000, visibleMs: 3000, contactMs: 3000, graceMs: 6000 }

const MAX_RUN_MS = 115_000

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** A small deployment: three control processes, two entries, a platform and workers. */
export class Deployment {
  hasTrouble = process.env.TROUBLE !== '0'
  workers = []
  events = []
  #folder = mkdtempSync(join(tmpdir(), 'oleanderward-review-'))
  #recordPath
  #children = new Map()
  #beganAt = performance.now()
  #net = `127.${60 + Math.floor(Math.random() * 60)}.${Math.floor(Math.random() * 250)}`
  #port = 0
  #workerPort = 0
  #nextWorker = 0
  #nextEntry = 0
  #machines
  #facts = new Map()

  /** @param caseFolder - folder of the case, which receives `record.txt` */
  constructor (caseFolder) {
    this.#recordPath = join(caseFolder, 'record.txt')
    writeFileSync(this.#recordPath, '')
    this.#machines = new Machines({ bounds: BOUNDS, replace: (machine, pool) => this.#replace(machine, pool), observe: (event) => { this.record(event) } })
  }

  /** Milliseconds since the beginning. */
  get now () { return Math.round(performance.now() - this.#beganAt) }

  /** Writes one line to the record and keeps it. */
  record (fields) {
    const line = { at: this.now, ...fields }
    this.events.push(line)
    appendFileSync(this.#recordPath, `${JSON.stringify(line)}\n`)
    return line
  }

  get controlHosts () { return [1, 2, 3].map((i) => `${this.#net}.${i}`) }

  get control () { return this.controlHosts.map((host) => `${host}:${this.#port + 1}`) }

  get entries () { return [11, 12].map((i) => `${this.#net}.${i}:${this.#port + 1}`) }

  async start () {
    const hosts = [...this.controlHosts, `${this.#net}.11`, `${this.#net}.12`, `${this.#net}.21`]
    this.#port = await findFreePorts(hosts, 4)
    await this.#machines.listen(`${this.#net}.21`, this.#port)
    for (const i of [0, 1, 2]) this.startControl(i, true)
    for (const i of [0, 1]) {
      const host = `${this.#net}.${11 + i}`
      this.#spawn(`entry-${i}`, 'entry', { node: `entry-${i}`, zone: `z${i}`, internalAddress: `${host}:${this.#port}`, internalPort: this.#port, callerAddress: `${host}:${this.#port + 1}`, healthAddress: `${host}:${this.#port + 2}`, metricsAddress: `${host}:${this.#port + 3}`, seeds: this.control, stopGraceMs: BOUNDS.graceMs })
    }
  }

  startControl (i, isFirstStart) {
    const host = this.controlHosts[i]
    this.#spawn(`control-${i}`, 'control', { node: `control-${i}`, zone: `z${i}`, internalAddress: `${host}:${this.#port}`, internalPort: this.#port, controlAddress: `${host}:${this.#port + 1}`, metricsAddress: `${host}:${this.#port + 3}`, seeds: this.control, dataFolder: join(this.#folder, `data-${i}`), isFirstStart, advisorAddress: '', machinesAddress: `${this.#net}.21:${this.#port}`, machineOrdersPerSecond: 64, retentionSeconds: 120 })
  }

  #spawn (name, role, settings) {
    const toml = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
    const command = new RegExp(`\\[roles\\.${role}\\]\\s*\\nrun = "([^"]+)"`).exec(toml)?.[1]
    if (command === undefined) throw new Error(`no command for ${role} in the deploy file`)
    const path = join(this.#folder, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings))
    const [program, ...args] = command.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, { cwd: ROOT, env: { PATH, HOME, LANG, OLEANDERWARD_BOOT: path }, stdio: ['ignore', 'pipe', 'inherit'] })
    const lines = []
    let rest = ''
    child.stdout.on('data', (chunk) => {
      const parts = (rest + chunk.toString('utf8')).split('\n')
      rest = parts.pop()
      lines.push(...parts)
    })
    child.on('exit', (code, signal) => { if (this.#children.get(name)?.child === child) this.record({ event: 'process.ended', name, code, signal }) })
    this.#children.set(name, { child, lines })
  }

  /** The platform's machine service. */
  get machines () { return this.#machines }

  /** Sends an order of the operator until it is acknowledged. */
  async startWave (wave) {
    for (let i = 0; ; i++) {
      const answer = await call(this.control[i % 3], 'POST', '/wave-start', wave, 1000)
      if (answer?.status === 200) return this.record({ event: 'wave.acknowledged', ...wave })
      await sleep(100)
    }
  }

  /** Lines that a process has logged. */
  logOf (name) { return this.#children.get(name)?.lines ?? [] }

  get processNames () { return [...this.#children.keys()] }

  signal (name, signal) { this.#children.get(name)?.child.kill(signal) }

  /** Sends a configuration, as the operator does, until it is acknowledged. */
  async configure (config) {
    for (let i = 0; ; i++) {
      const target = this.control[i % 3]
      const answer = await call(target, 'PUT', '/config', config, 3000)
      if (answer?.status === 200) return this.record({ event: 'config.acknowledged', version: config.version, by: target })
      await sleep(100)
    }
  }

  /** Starts a worker on a machine of its own. */
  async addWorker (options) {
    const n = this.#nextWorker++
    const facts = { zone: options.zone ?? `z${n % 3}`, labels: options.labels ?? ['a', `r1-${Math.floor(n / 4)}`], capacity: options.capacity ?? { cpu: 64_000, memMb: 262_144, gpu: 0 } }
    const machine = options.machine ?? `m-${n}`
    this.#facts.set(machine, { ...facts, ...options, machine })
    // The machines of the standby pool are off.
    const worker = options.service === this.#machines.standby ? null : await this.startLife({ id: `i-${n}`, host: `${this.#net}.${30 + n}`, ...this.#facts.get(machine) })
    this.#machines.add(machine, options.service, worker, facts)
    return worker
  }

  /** Starts one life of a worker. */
  async startLife (options) {
    if (this.#workerPort === 0) this.#workerPort = this.#port + 2
    const worker = new Worker({ port: this.#workerPort, clockStart: 1000 + Math.floor(Math.random() * 400_000), control: this.control, bounds: BOUNDS, observe: (event) => { this.record(event) }, ...options })
    worker.options = options
    this.workers.push(worker)
    await worker.start()
    this.record({ event: 'worker.began', worker: worker.id, machine: worker.machine, service: worker.service, born: worker.born })
    return worker
  }

  /** Starts a worker that has crashed again, under the id that it had. */
  async restart (worker) {
    const next = await this.startLife(worker.options)
    this.#machines.setWorker(worker.machine, next)
    return next
  }

  async #replace (machine, pool) {
    const n = this.#nextWorker++
    return await this.startLife({ ...this.#facts.get(machine), id: `i-${n}`, host: `${this.#net}.${30 + n}`, service: pool })
  }

  /**
   * Sends a client's request, and repeats it at the other entry while it has no clear answer.
   *
   * @returns the last answer; null when there was none
   */
  async ask (host, method, path, body = null, attempts = 5) {
    let answer = null
    for (let i = 0; i < attempts; i++) {
      const target = this.entries[this.#nextEntry++ % 2]
      answer = await call(target, method, path, body, 3000, { host, 'deadline-ms': '3000' })
      if (answer !== null && answer.status !== 502 && answer.status !== 504 && answer.status !== 503 && answer.status !== 429) break
      await sleep(200)
    }
    this.record({ event: 'client.answered', method, path, status: answer?.status ?? null, body: answer?.body })
    return answer
  }

  /** Ends everything that was started. */
  async stop () {
    for (const worker of this.workers) worker.crash()
    this.#machines.close()
    await Promise.all([...this.#children.values()].map(({ child }) => new Promise((resolve) => {
      if (child.exitCode !== null || child.signalCode !== null) return resolve()
      child.once('exit', resolve)
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    })))
    if (process.env.KEEP_LOGS !== undefined) for (const [name, { lines }] of this.#children) writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), lines.join('\n'))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/**
 * Runs a case and ends the process with its exit code.
 *
 * @param caseFolder - folder of the case
 * @param play - plays the case on a started deployment, and returns HELD, BROKEN or NOT_RUN
 */
export async function runCase (caseFolder, play) {
  const deployment = new Deployment(caseFolder)
  let code = NOT_RUN
  const timer = setTimeout(() => {
    deployment.record({ event: 'case.timeout' })
    deployment.stop().finally(() => process.exit(NOT_RUN))
  }, MAX_RUN_MS)
  try {
    await deployment.start()
    code = await play(deployment)
  } catch (err) {
    deployment.record({ event: 'case.failed', reason: err.stack })
  }
  clearTimeout(timer)
  deployment.record({ event: 'case.ended', hasTrouble: deployment.hasTrouble, result: ['held', 'broken', 'not run'][code] })
  await deployment.stop()
  process.exit(code)
}

/** Finds consecutive ports that are free at all hosts. */
async function findFreePorts (hosts, count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const port = 20_000 + Math.floor(Math.random() * 10_000)
    const checks = hosts.flatMap((host) => Array.from({ length: count }, (_, i) => isFree(host, port + i)))
    if ((await Promise.all(checks)).every(Boolean)) return port
  }
  throw new Error('no free ports')
}

function isFree (host, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** Route of a configuration. */
export function route (name, host, pathPrefix, service, changes = {}) {
  return { name, host, pathPrefix, kind: 'unsafe', timeoutMs: 3000, targetLatencyMs: 600, priority: 0, service, maxAttempts: 3, slackFactor: 2.2, ...changes }
}

/** Service of a configuration. */
export function service (name, changes = {}) {
  return { name, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false, ...changes }
}

/** Configuration. */
export function config (version, routes, services) {
  return { version, routes, services, limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 } }
}

/** New id of a job. */
export function newId () {
  return [...crypto.getRandomValues(new Uint8Array(8))].map((byte) => byte.toString(16).padStart(2, '0')).join('')
}

/** Waits until a condition holds; returns whether it did in time. */
export async function until (condition, timeoutMs) {
  const end = performance.now() + timeoutMs
  while (performance.now() < end) {
    if (await condition()) return true
    await sleep(50)
  }
  return false
}
