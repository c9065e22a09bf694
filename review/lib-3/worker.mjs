// Stand-in for a worker: one life of a machine, which runs tasks under leases and fencing tokens as the users' page PROTOCOL says.
import { createServer } from 'node:http'
import { send } from './http.mjs'

const HEARTBEAT_MS = 1500
const TICK_MS = 10
const HOLD_MAX_MS = 6000
const STOP_GRACE_MS = 400
const ENDS_LISTED = 500

export class Worker {
  running = new Map()
  isDown = false
  #options
  #server
  #clockOrigin = performance.now()
  #born = Date.now()
  #barred = new Map()
  #ends = []
  #endCount = 0
  #token = 0
  #leaseEnd = 0
  #sequence = 0
  #heartbeatAddr = null
  #timers = []
  #hasAnnounced = false

  // id, address, service, machine, rack, control (addresses), taskMs and fails (of a task's spec), record (receives what happens)
  constructor (options) {
    this.#options = options
    this.#server = createServer((req, res) => {
      const chunks = []
      req.on('data', (chunk) => { chunks.push(chunk) })
      req.on('end', () => { this.#serve(req, res, Buffer.concat(chunks).toString('utf8')) })
    })
  }

  get id () { return this.#options.id }
  get born () { return this.#born }
  get machine () { return this.#options.machine }
  get address () { return this.#options.address }
  get hasAnnounced () { return this.#hasAnnounced }

  async start () {
    const [host, port] = this.#options.address.split(':')
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(Number(port), host, resolve)
    })
    this.#note('up', {})
    this.#timers.push(setInterval(() => { this.#settle() }, TICK_MS), setInterval(() => { this.#announce() }, HEARTBEAT_MS))
    this.#announce()
  }

  // Ends at once and says nothing, like a process that is killed.
  crash () {
    if (this.isDown) return
    this.isDown = true
    for (const timer of this.#timers) clearInterval(timer)
    this.#server.closeAllConnections()
    this.#server.close()
    this.#note('down', { lost: [...this.running.keys()] })
    this.running.clear()
  }

  get #clockMs () { return Math.floor(performance.now() - this.#clockOrigin) }

  #note (what, fields) {
    this.#options.record({ what: `worker.${what}`, worker: this.id, born: this.#born, ...fields })
  }

  async #announce () {
    const { id, address, service, machine, rack, control } = this.#options
    const body = { service, address, zone: 'z-a', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, capacity: { cpu: 16_000, memMb: 32_768, gpu: 0 }, labels: ['a', rack], machine, born: this.#born, clockMs: this.#clockMs, sequence: ++this.#sequence }
    for (const target of [...(this.#heartbeatAddr === null ? [] : [this.#heartbeatAddr]), ...control]) {
      if (this.isDown) return
      try {
        const answer = await send(target, { method: 'PUT', path: `/instances/${id}`, body })
        if (answer.status >= 200 && answer.status < 300) {
          this.#heartbeatAddr = answer.body?.heartbeatAddr ?? this.#heartbeatAddr
          this.#hasAnnounced = true
          return
        }
      } catch {
        // The next node is called.
      }
      if (target === this.#heartbeatAddr) this.#heartbeatAddr = null
    }
  }

  #settle () {
    const now = this.#clockMs
    for (const run of [...this.running.values()]) {
      if (now > this.#leaseEnd) this.#end(run, 'lapsed')
      else if (now >= Math.min(run.stopsAt, run.endsAt)) this.#end(run, run.stopsAt < run.endsAt ? 'stopped' : this.#options.fails?.(run.spec) === true ? 'failed' : 'done')
    }
  }

  #end (run, how) {
    this.running.delete(`${run.task}#${run.run}`)
    this.#bar(run.task, run.run)
    this.#ends.push([++this.#endCount, run.task, run.run, how, ''])
    this.#note('ended', { task: run.task, run: run.run, how, seq: this.#endCount })
  }

  #bar (task, run) {
    this.#barred.set(task, Math.max(this.#barred.get(task) ?? 0, run))
  }

  #renew (expiresMs) {
    if (typeof expiresMs === 'number') this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(expiresMs, this.#clockMs + HOLD_MAX_MS))
  }

  #serve (req, res, text) {
    if (this.isDown) return
    if (req.method === 'GET') {
      this.#answer(res, 200, {})
      return
    }
    if ((req.headers['expected-instance'] ?? this.id) !== this.id) {
      this.#answer(res, 421, {})
      return
    }
    const body = JSON.parse(text)
    this.#settle()
    const token = body.fencingToken ?? 0
    if (token < this.#token) {
      this.#answer(res, 409, { reason: 'fence' })
      return
    }
    this.#token = token
    if (req.url === '/run-start') this.#startRun(body, res)
    else if (req.url === '/run-stop') this.#stopRun(body, res)
    else if (req.url === '/hold') this.#hold(body, res)
    else if (req.url === '/pace') this.#answer(res, 200, {})
    else this.#answer(res, 400, {})
  }

  #startRun ({ task, run, spec, expiresMs }, res) {
    if (this.running.has(`${task}#${run}`)) {
      this.#renew(expiresMs)
      this.#answer(res, 200, {})
      return
    }
    if (expiresMs <= this.#clockMs) {
      this.#answer(res, 409, { reason: 'late' })
      return
    }
    this.#renew(expiresMs)
    if (run <= (this.#barred.get(task) ?? 0)) {
      this.#answer(res, 409, { reason: 'old' })
      return
    }
    const now = this.#clockMs
    const started = { task, run, spec, startedAt: now, endsAt: now + this.#options.taskMs(spec, task), stopsAt: Number.POSITIVE_INFINITY }
    this.running.set(`${task}#${run}`, started)
    this.#note('started', { task, run, spec })
    this.#answer(res, 200, {})
  }

  #stopRun ({ task, run }, res) {
    for (const each of this.running.values()) if (each.task === task && each.run <= run) each.stopsAt = Math.min(each.stopsAt, this.#clockMs + STOP_GRACE_MS / 4)
    this.#bar(task, run)
    this.#note('stop', { task, run })
    this.#answer(res, 200, {})
  }

  async #hold ({ expiresMs, ackSeq = 0, waitMs = 0 }, res) {
    this.#renew(expiresMs)
    for (const [seq, task, run, how] of this.#ends) if (seq <= ackSeq) this.#note('acked', { task, run, how })
    this.#ends = this.#ends.filter(([seq]) => seq > ackSeq)
    for (const end = this.#clockMs + waitMs; this.#ends.length === 0 && this.#clockMs < end && !this.isDown;) await new Promise((resolve) => { setTimeout(resolve, TICK_MS) })
    if (this.isDown) return
    this.#settle()
    const now = this.#clockMs
    const running = [...this.running.values()].map(({ task, run, startedAt, endsAt }) => [task, run, '', endsAt === Number.POSITIVE_INFINITY ? (now - startedAt > 500 ? 100 : 0) : Math.min(99, Math.floor((now - startedAt) / (endsAt - startedAt) * 100)), 0])
    this.#answer(res, 200, { running, endedRuns: this.#ends.slice(0, ENDS_LISTED) })
  }

  #answer (res, status, body) {
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ clockMs: this.#clockMs, born: this.#born, ...body }))
  }
}
