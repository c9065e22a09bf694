/**
 * Stand-in for one life of a worker of the platform, as PROTOCOL.md describes it in "Running tasks" and "Service discovery". It runs each
 * task for a given time under leases and fencing tokens, and reports each start and end to an observer.
 */
import { createServer, request } from 'node:http'

const TICK_MS = 10
const MAX_ENDS_LISTED = 500

/** Startup of a task that lasts. */
export const STARTUP_MS = 300

/** A life of a worker. */
export class Worker {
  #options
  #server
  #timers = []
  #sockets = new Set()
  #running = new Map()
  #barred = new Map()
  #ended = []
  #lastSeq = 0
  #token = 0
  #leaseEnd = Number.NEGATIVE_INFINITY
  #sequence = 0
  #heartbeatTarget = null
  #isReporting = false
  #stoppedAt = null
  #startOrders = 0
  /** Clock of this life in milliseconds, which starts anew. */
  #bornAt = performance.now()
  born = Date.now()
  state = 'ready'
  drainUntil = 0

  /**
   * @param options - `id`, `host`, `port`, `service`, `zone`, `machine`, `labels`, `capacity`, `control` (addresses), `bounds`, `taskOf` (gives
   *   `{ ms, outcome }` for a task; `ms` infinite for one that lasts), `onStartOrder` (may decide that an order is refused, or that its answer is
   *   withheld), `isAnswerLost` (whether the answer to a poll is lost on its way), `observe` (receives events)
   */
  constructor (options) {
    this.#options = options
    this.#server = createServer((req, res) => { this.#onRequest(req, res).catch(() => { res.destroy() }) })
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
      socket.on('error', () => {})
    })
  }

  get id () { return this.#options.id }

  get service () { return this.#options.service }

  get machine () { return this.#options.machine }

  get isUp () { return this.#stoppedAt === null }

  get address () { return `${this.#options.host}:${this.#options.port}` }

  /** Tasks that are at work now. */
  get runningTasks () { return [...this.#running.values()] }

  async start () {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, resolve)
    })
    this.#timers.push(setInterval(() => { this.report().catch(() => {}) }, this.#options.bounds.heartbeatMs), setInterval(() => { this.#tick() }, TICK_MS))
    this.report().catch(() => {})
  }

  /** Ends this life at once: everything that runs on it ends, and nobody is told. */
  crash () {
    if (this.#stoppedAt !== null) return
    this.#stoppedAt = performance.now()
    for (const timer of this.#timers) clearInterval(timer)
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
    const running = [...this.#running.values()]
    this.#running.clear()
    this.#observe('worker.ended', { running: running.map(({ task, run }) => [task, run]) })
  }

  /** Makes a task that runs here fail. */
  fail (task) {
    const run = this.#running.get(task)
    if (run !== undefined) this.#end(run, 'failed')
  }

  /** Leaves as planned: deregisters and ends. */
  async leave () {
    for (const target of this.#options.control) {
      const answer = await call(target, 'DELETE', `/instances/${this.id}`, null, 1000)
      if (answer !== null && answer.status < 300) break
    }
    this.crash()
  }

  #now () { return Math.floor(performance.now() - this.#bornAt) + this.#options.clockStart }

  #observe (event, fields) { this.#options.observe({ event, worker: this.id, born: this.born, ...fields }) }

  #tick () {
    if (this.#now() > this.#leaseEnd) for (const run of [...this.#running.values()]) this.#end(run, 'lapsed')
    for (const run of [...this.#running.values()]) {
      if (run.stopAt !== undefined && performance.now() >= run.stopAt) this.#end(run, 'stopped')
      else if (performance.now() - run.startedAt >= run.ms) this.#end(run, run.outcome)
    }
  }

  #end ({ task, run }, how) {
    this.#running.delete(task)
    this.#bar(task, run)
    this.#ended.push([++this.#lastSeq, task, run, how, ''])
    this.#observe('run.ended', { task, run, how })
  }

  #bar (task, run) { this.#barred.set(task, Math.max(this.#barred.get(task) ?? 0, run)) }

  /** Sends a heartbeat to the address that was named last, or to the control processes in turn, until one acknowledges it. */
  async report () {
    if (this.#isReporting || !this.isUp) return
    this.#isReporting = true
    const { control, service, zone, machine, labels, capacity, id } = this.#options
    try {
      const targets = [...control]
      for (let i = targets.length - 1; i > 0; i--) {
        const j = Math.floor(Math.random() * (i + 1));
        [targets[i], targets[j]] = [targets[j], targets[i]]
      }
      if (this.#heartbeatTarget !== null) targets.unshift(this.#heartbeatTarget)
      for (const target of targets) {
        if (!this.isUp) return
        const state = this.state
        const drainLeftMs = state === 'draining' ? { drainLeftMs: Math.max(0, Math.floor(this.drainUntil - performance.now())) } : {}
        const body = { service, address: this.address, zone, version: 'v1', slots: 8, state, coldLeftMs: 0, capacity, labels, machine, born: this.born, clockMs: this.#now(), sequence: ++this.#sequence, ...drainLeftMs }
        const answer = await call(target, 'PUT', `/instances/${id}`, body, 1000)
        if (answer !== null && answer.status >= 200 && answer.status < 300) {
          this.#heartbeatTarget = answer.body.heartbeatAddr ?? this.#heartbeatTarget
          if (state === 'draining') this.#observe('drain.acknowledged', { by: target })
          return
        }
        this.#heartbeatTarget = null
      }
    } finally {
      this.#isReporting = false
    }
  }

  async #onRequest (req, res) {
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    if (!this.isUp) return
    if (req.method === 'GET') return this.#send(res, 200, {})
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const expected = req.headers['expected-instance']
    if (expected !== undefined && expected !== this.id) return this.#send(res, 421, {})
    if (req.url === '/run-start') {
      const verdict = this.#options.onStartOrder?.(this, body, ++this.#startOrders)
      if (verdict?.refuse !== undefined) {
        this.#observe('start.refused', { task: body.task, run: body.run, status: verdict.refuse })
        return this.#send(res, verdict.refuse, {})
      }
      if (verdict?.carryOutAfterMs !== undefined) {
        this.#observe('start.unanswered', { task: body.task, run: body.run, carryOutAfterMs: verdict.carryOutAfterMs })
        setTimeout(() => { if (this.isUp) this.#carryOut('/run-start', body, true) }, verdict.carryOutAfterMs)
        return
      }
    }
    if (req.url === '/hold') return await this.#hold(body, res)
    const { status, ...answer } = this.#carryOut(req.url, body, false)
    this.#send(res, status, answer)
  }

  #checkToken (body) {
    const token = body.fencingToken ?? 0
    if (token < this.#token) return false
    this.#token = token
    return true
  }

  #extendLease ({ expiresMs }) {
    if (expiresMs !== undefined) this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(expiresMs, this.#now() + this.#options.bounds.holdMaxMs))
  }

  #carryOut (path, body, isLate) {
    if (!this.#checkToken(body)) return { status: 409, reason: 'fence' }
    if (path === '/run-start') return this.#startRun(body, isLate)
    if (path === '/run-stop') return this.#stopRun(body)
    if (path === '/pace') return { status: 200 }
    return { status: 400 }
  }

  #startRun (body, isLate) {
    const { task, run, expiresMs, spec } = body
    if (expiresMs < this.#now()) return { status: 409, reason: 'late' }
    this.#extendLease(body)
    if (this.#running.get(task)?.run === run) return { status: 200 }
    if (run <= (this.#barred.get(task) ?? 0) || (this.#running.get(task)?.run ?? 0) > run) return { status: 409, reason: 'old' }
    const { ms, outcome = 'done' } = this.#options.taskOf(task, spec)
    this.#running.set(task, { task, run, startedAt: performance.now(), ms, outcome })
    this.#observe('run.started', { task, run, token: body.fencingToken, isLate })
    return { status: 200 }
  }

  #stopRun ({ task, run }) {
    const running = this.#running.get(task)
    if (running !== undefined && running.run <= run) running.stopAt ??= performance.now() + 20
    else this.#bar(task, run)
    return { status: 200 }
  }

  async #hold (body, res) {
    if (!this.#checkToken(body)) return this.#send(res, 409, { reason: 'fence' })
    this.#extendLease(body)
    const acknowledged = this.#ended.filter(([seq]) => seq <= body.ackSeq)
    for (const [, task, run, how] of acknowledged) this.#observe('end.acknowledged', { task, run, how })
    this.#ended = this.#ended.filter(([seq]) => seq > body.ackSeq)
    const until = performance.now() + Math.min(2000, body.waitMs ?? 0)
    while (this.#ended.length === 0 && performance.now() < until && this.isUp) await new Promise((resolve) => setTimeout(resolve, TICK_MS))
    if (!this.isUp) return
    if (this.#options.isAnswerLost?.(this) === true) {
      this.#observe('answer.lost', {})
      return
    }
    const running = [...this.#running.values()].map(({ task, run, startedAt, ms }) => {
      const spent = performance.now() - startedAt
      return [task, run, '', ms === Number.POSITIVE_INFINITY ? Math.min(100, Math.floor(spent / STARTUP_MS * 100)) : Math.min(99, Math.floor(spent / ms * 100)), 0]
    })
    this.#send(res, 200, { born: this.born, running, endedRuns: this.#ended.slice(0, MAX_ENDS_LISTED) })
  }

  #send (res, status, body) {
    if (res.destroyed) return
    const text = JSON.stringify({ clockMs: this.#now(), ...body })
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    res.end(text)
  }
}

/**
 * Sends a JSON request.
 *
 * @returns status, headers and parsed body, or null when there was no response in time
 */
export function call (address, method, path, body, timeoutMs, headers = {}) {
  const at = address.lastIndexOf(':')
  return new Promise((resolve) => {
    const text = body === null ? null : JSON.stringify(body)
    const req = request({ host: address.slice(0, at), port: Number(address.slice(at + 1)), method, path, agent: false, headers: text === null ? headers : { ...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } })
    const timer = setTimeout(() => { req.destroy(new Error('timeout')) }, timeoutMs)
    const settle = (answer) => {
      clearTimeout(timer)
      resolve(answer)
    }
    req.on('error', () => { settle(null) })
    req.on('response', (res) => {
      const chunks = []
      res.on('data', (chunk) => { chunks.push(chunk) })
      res.on('error', () => { settle(null) })
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8')
        let parsed = {}
        try {
          if (answer !== '') parsed = JSON.parse(answer)
        } catch {
          parsed = {}
        }
        settle({ status: res.statusCode, headers: res.headers, body: parsed })
      })
    })
    req.end(text ?? undefined)
  })
}
