/** Starts the project's programs with the commands of the deploy file, and the stand-ins, on loopback addresses. */
import { spawn } from 'node:child_process'
import { appendFileSync, createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const LIB = dirname(fileURLToPath(import.meta.url))
export const ROOT = resolve(LIB, '..', '..')

/** Bounds of the site lths-ow, as its page lists them. */
export const BOUNDS = { seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, maxStretchMs: 5000, recoveryS: 12, holdMaxMs: 6000, stopGraceMs: 400, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remotePenalty: 1.5, checkpointS: 1, restoreMs: 100, noticeMs: 4500, migrationS: 1.5, maintenanceS: 2, requireFencing: true, leaseMs: 3000, thawSlackMs: 300, paceMs: 100, interferenceMs: 4000 }

const HEARTBEAT_MS = 1500

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Waits until a function returns something other than null, undefined or false, and returns that; throws after a time-out. */
export async function waitFor (what, find, timeoutMs = 20_000) {
  for (const end = Date.now() + timeoutMs; ;) {
    const found = await find()
    if (found) return found
    if (Date.now() > end) throw new Error(`${what}: not seen within ${timeoutMs} ms`)
    await sleep(5)
  }
}

/** Fills a template of the deploy file as DEPLOY.md says, as far as the project's templates need it. */
function fill (template, fields) {
  const find = (name) => name.split('.').reduce((value, part) => value?.[part], fields)
  const isSet = (value) => value !== undefined && value !== null && value !== false && value !== ''
  return template
    .replace(/\{\{\^([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, text) => isSet(find(name)) ? '' : text)
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(find(name) ?? null))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
      const value = find(name)
      return value === undefined || value === null ? '' : String(value)
    })
}

/** Reads command and template of each role. */
function readRoles () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const roles = {}
  for (const block of text.split(/^\[roles\./m).slice(1)) {
    const name = block.slice(0, block.indexOf(']'))
    const get = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(block)?.[1]
    roles[name] = { run: get('run'), template: readFileSync(join(ROOT, get('template')), 'utf8') }
  }
  return roles
}

function isFree (host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

export class Deployment {
  /** Events of the workers, in the order in which they were read. */
  events = []
  folder = mkdtempSync(join(tmpdir(), 'review-2-'))
  #children = new Map()
  #roles = readRoles()
  #servers = []
  #recordPath
  #startedAt = Date.now()
  #machines = new Map()

  constructor (recordPath) {
    this.#recordPath = recordPath
    writeFileSync(recordPath, '')
  }

  record (text) {
    appendFileSync(this.#recordPath, `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}\n`)
  }

  /** Picks addresses that are free: each deployment has a network of its own in 127/8. */
  async #pickNetwork () {
    for (let tries = 0; tries < 50; tries++) {
      this.network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
      this.port = 20_000 + Math.floor(Math.random() * 10_000)
      const hosts = [1, 2, 3, 11, 12, 99].map((last) => `${this.network}.${last}`)
      const free = await Promise.all(hosts.flatMap((host) => [0, 1, 2, 3, 4, 5].map((offset) => isFree(host, this.port + offset))))
      if (free.every(Boolean)) return
    }
    throw new Error('no free addresses')
  }

  /** Starts the platform's stand-ins, three core machines and two edge machines, and sends the first configuration, if there is one. */
  async start (config) {
    if (this.network === undefined) await this.#pickNetwork()
    this.controls = [1, 2, 3].map((last) => `${this.network}.${last}:${this.port + 1}`)
    this.entries = [11, 12].map((last) => `${this.network}.${last}:${this.port + 2}`)
    this.cloud = `${this.network}.99:${this.port + 4}`
    await this.#serveMachines()
    for (const last of [1, 2, 3]) this.startControl(last, true)
    for (const last of [11, 12]) this.#startEntry(last)
    if (config !== null) await this.configure(config)
  }

  #fields (last, role) {
    const ip = `${this.network}.${last}`
    return { node: `${role}-${last}`, role, ip, zone: 'wien-a', region: 'at-east', internalPorts: [this.port, this.port + 5], seeds: this.controls, bounds: BOUNDS, advice: this.advisor ?? '', cloudApi: { address: this.cloud, ratePerS: 64, dutyPerS: 64 }, dataDir: null, bootstrap: false }
  }

  #startRole (name, role, fields) {
    const { run, template } = this.#roles[role]
    const path = join(this.folder, `${name}.json`)
    writeFileSync(path, fill(template, fields))
    const [program, ...args] = run.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, { cwd: ROOT, env: { PATH, HOME, LANG, OLEANDERWARD_BOOT: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = join(this.folder, `${name}.log`)
    for (const stream of [child.stdout, child.stderr]) stream.pipe(createWriteStream(log, { flags: 'a' }).on('error', () => {}))
    this.#children.set(name, child)
  }

  startControl (last, bootstrap) {
    const dataDir = join(this.folder, `data-${last}`)
    mkdirSync(dataDir, { recursive: true })
    this.#startRole(`control-${last}`, 'control', { ...this.#fields(last, 'control'), bindAddrs: { control: `${this.network}.${last}:${this.port + 1}` }, dataDir, bootstrap })
  }

  #startEntry (last) {
    this.#startRole(`entry-${last}`, 'entry', { ...this.#fields(last, 'entry'), bindAddrs: { front: `${this.network}.${last}:${this.port + 2}`, healthAddr: `${this.network}.${last}:${this.port + 3}` } })
  }

  /** Starts one life of a worker. */
  startWorker (name, options) {
    return this.startWorkers(name, [{ name, ...options }])[0]
  }

  /** Starts one life each of several workers in one process. */
  startWorkers (processName, list) {
    const all = list.map((options) => this.#describeWorker(options))
    const child = spawn(process.execPath, [join(LIB, 'worker.mjs'), JSON.stringify(all)], { stdio: ['ignore', 'pipe', 'inherit'] })
    let rest = ''
    child.stdout.on('data', (chunk) => {
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      for (const line of lines) {
        const event = JSON.parse(line)
        this.events.push({ ...event, name: processName })
        this.record(`worker ${event.worker} born ${event.born} ${event.event} ${event.task ?? ''} ${event.run ?? ''} ${event.how ?? ''}`.trimEnd())
      }
    })
    this.#children.set(processName, child)
    return all
  }

  #describeWorker ({ name, last, ...changes }) {
    const settings = { id: `i-${name}`, host: `${this.network}.${last}`, port: this.port + 20, service: 'pool', machine: `m-${name}`, labels: ['a', 'r1-1'], zone: 'wien-a', controls: this.controls, heartbeatMs: HEARTBEAT_MS, holdMaxMs: BOUNDS.holdMaxMs, stopGraceMs: BOUNDS.stopGraceMs, ...changes }
    this.#machines.set(settings.machine, { machine: settings.machine, pool: settings.service, state: 'up', zone: settings.zone, labels: settings.labels, capacity: { cpu: 64_000, memMb: 262_144, gpu: 0 }, id: settings.id })
    return settings
  }

  /** Sends a signal to a process that this deployment started. SIGKILL resolves once it has ended. */
  async signal (name, signal) {
    const child = this.#children.get(name)
    this.record(`signal ${signal} to ${name}`)
    if (signal !== 'SIGKILL') {
      child.kill(signal)
      return
    }
    if (child.exitCode === null && child.signalCode === null) {
      const ended = new Promise((resolve) => { child.once('exit', resolve) })
      child.kill(signal)
      await ended
    }
    this.#children.delete(name)
  }

  /**
   * Serves `POST /advise`, one call at a time for each calling machine, in turn. To be called before `start`.
   *
   * @param tickets - tickets by worker id, for the workers that may run each step
   * @param times - the queue's `advice`
   */
  async serveAdvice (tickets, { decisionMs, perWorkerMs, validityMs }) {
    await this.#pickNetwork()
    this.advisor = `${this.network}.99:${this.port + 3}`
    let turn = Promise.resolve()
    let waiting = 0
    const server = createServer((req, res) => {
      let text = ''
      req.on('data', (chunk) => { text += chunk })
      req.on('end', () => {
        if (waiting >= 32) {
          res.writeHead(429)
          res.end()
          return
        }
        const { step, workers } = JSON.parse(text)
        waiting += 1
        turn = turn.then(() => sleep(decisionMs + perWorkerMs * workers.length)).then(() => {
          waiting -= 1
          const good = workers.filter((id) => tickets.has(id)).map((id) => [id, tickets.get(id)])
          this.record(`advisor: step ${step}, ${workers.length} workers named, ${good.length} good`)
          res.setHeader('content-type', 'application/json')
          res.end(JSON.stringify(workers.length > 100 ? { good: [] } : { good, validityMs }))
        })
      })
    })
    this.#servers.push(server)
    const [host, port] = this.advisor.split(':')
    await new Promise((resolve) => { server.listen(Number(port), host, resolve) })
  }

  /** The platform's machine service. It carries out no order in these cases: the workers' machines stay where they are. */
  async #serveMachines () {
    const server = createServer((req, res) => {
      req.resume().on('end', () => {
        res.setHeader('content-type', 'application/json')
        if (req.method === 'GET') res.end(JSON.stringify({ machines: [...this.#machines.values()] }))
        else {
          this.record(`platform refuses ${req.url}`)
          res.writeHead(409)
          res.end(JSON.stringify({ reason: 'busy' }))
        }
      })
    })
    this.#servers.push(server)
    const [host, port] = this.cloud.split(':')
    await new Promise((resolve) => { server.listen(Number(port), host, resolve) })
  }

  call (address, method, path, { headers = {}, body, timeoutMs = 3000 } = {}) {
    return new Promise((resolve) => {
      const [host, port] = address.split(':')
      const req = request({ host, port: Number(port), method, path, timeout: timeoutMs, headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }) } }, (res) => {
        let text = ''
        res.on('data', (chunk) => { text += chunk })
        res.on('end', () => { resolve({ status: res.statusCode, text }) })
        res.on('error', () => { resolve({ status: 0, text: '' }) })
      })
      req.on('timeout', () => { req.destroy() })
      req.on('error', () => { resolve({ status: 0, text: '' }) })
      req.end(body)
    })
  }

  /** The operator sends a configuration until it is acknowledged. */
  async configure (config, timeoutMs = 20_000) {
    const body = JSON.stringify(config)
    let turn = 0
    await waitFor('the acknowledgement of the configuration', async () => {
      const { status } = await this.call(this.controls[turn++ % 3], 'PUT', '/config', { body })
      if (status !== 200) await sleep(100)
      return status === 200
    }, timeoutMs)
    this.record(`operator: configuration ${config.version} acknowledged`)
  }

  /** A client's call; each goes to the next entry. */
  async client (method, path, body) {
    this.turn = (this.turn ?? 0) + 1
    const { status, text } = await this.call(this.entries[this.turn % 2], method, path, { headers: { host: HOST, 'deadline-ms': '3000' }, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })
    this.record(`client ${method} ${path} -> ${status} ${text}`)
    return { status, body: text === '' ? {} : JSON.parse(text) }
  }

  /** Hands a job in until it is accepted. */
  async submit (id, job, queue = QUEUE) {
    await waitFor(`job ${id} accepted`, async () => {
      const { status } = await this.client('POST', queue + id, job)
      if (status !== 200) await sleep(200)
      return status === 200
    })
  }

  /** Ends all processes and servers. */
  async stop () {
    await Promise.all([...this.#children.keys()].map((name) => this.signal(name, 'SIGKILL').catch(() => {})))
    for (const server of this.#servers) {
      server.closeAllConnections?.()
      server.close()
    }
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.error(this.folder)
  }
}

export const HOST = 'jobs.example'
export const QUEUE = '/queue/'

/** Configuration with one queue, in the form of the example in PROTOCOL.md. */
export function createConfig (version, { maxAttempts = 3, services = ['pool'], advice } = {}) {
  const route = { name: 'r-queue', host: HOST, pathPrefix: QUEUE, kind: 'unsafe', timeoutMs: 3000, targetLatencyMs: 600, priority: 0, service: 'pool', maxAttempts, slackFactor: 1.6, ...(advice === undefined ? {} : { advice }) }
  return {
    version,
    routes: [route],
    services: services.map((name) => ({ name, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false })),
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
  }
}

export function createJob ({ ms, lasts = false, count = 1, cpu = 4000 }) {
  return { spec: JSON.stringify({ ms, lasts }), steps: [{ count, cpu, memMb: 16_000, estRuntimeMs: ms, ...(lasts ? { longRunning: true } : {}) }] }
}

export function createId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}

/**
 * Plays a case: exits with 1 if its rule was broken, 0 if it held and 2 if the case could not run.
 *
 * @param url - import.meta.url of the case
 * @param play - plays the case; resolves to how the rule was broken, or null when it held
 */
export async function playCase (url, play) {
  const folder = dirname(fileURLToPath(url))
  const deployment = new Deployment(join(folder, 'record.txt'))
  const hasTrouble = process.env.TROUBLE !== '0'
  let code = 2
  process.on('uncaughtException', (err) => {
    console.log(`the case could not run: ${err.message}`)
    deployment.stop().finally(() => { process.exit(2) })
  })
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { deployment.stop().finally(() => { process.exit(2) }) })
  const timeout = new Promise((resolve, reject) => { setTimeout(() => { reject(new Error('the case took too long')) }, 105_000).unref() })
  try {
    const broken = await Promise.race([play(deployment, hasTrouble), timeout])
    deployment.record(broken === null ? 'HELD' : `BROKEN ${broken}`)
    console.log(broken === null ? 'the rule held' : `the rule was broken: ${broken}`)
    code = broken === null ? 0 : 1
  } catch (err) {
    deployment.record(`COULD NOT RUN ${err.message}`)
    console.log(`the case could not run: ${err.message}`)
  }
  await deployment.stop()
  process.exit(code)
}

/** Returns the spans in which each run of a task was running, from the workers' events; `to` is infinite while it runs. */
export function listRuns (events, task) {
  const runs = []
  for (const { worker, born, name, event, task: other, run, at, how } of events) {
    if (other !== task) continue
    if (event === 'start') runs.push({ worker, born, name, run, from: at, to: Infinity, how: null })
    if (event !== 'end') continue
    const ended = runs.find((entry) => entry.worker === worker && entry.born === born && entry.run === run && entry.how === null)
    if (ended !== undefined) Object.assign(ended, { to: at, how })
  }
  return runs
}
