/** Stand-in for the platform's machine service, as PROTOCOL.md describes it in "Machines". */
import { createServer } from 'node:http'

/** Machines with their workers; moves and upkeeps end the worker and bring a new one later. */
export class Machines {
  #server
  #machines = new Map()
  #replace
  #bounds
  #observe
  /** How long each answer takes; a call is carried out as it arrives. */
  answerMs = 0
  /** Pool whose machines are off. */
  standby = null

  /** @param options - `bounds`, `replace` (starts a new worker of a machine in a pool), `observe` */
  constructor ({ bounds, replace, observe }) {
    this.#bounds = bounds
    this.#replace = replace
    this.#observe = observe
    this.#server = createServer((req, res) => { this.#onRequest(req, res).catch(() => { res.destroy() }) })
  }

  listen (host, port) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Registers a machine and its worker. */
  add (machine, pool, worker, facts) {
    this.#machines.set(machine, { machine, pool, worker, state: 'up', token: 0, waves: new Set(), ...facts })
  }

  /** Records that a machine's worker has started again. */
  setWorker (machine, worker) {
    this.#machines.get(machine).worker = worker
  }

  async #onRequest (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const send = async (status, body) => {
      const text = JSON.stringify(body)
      if (this.answerMs > 0) await new Promise((resolve) => setTimeout(resolve, this.answerMs))
      if (res.destroyed) return
      res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      res.end(text)
    }
    if (req.method === 'GET') {
      const machines = [...this.#machines.values()].map(({ machine, pool, state, zone, labels, capacity, worker }) => ({ machine, pool, state: state === 'up' && worker !== null && !worker.isUp ? 'down' : state, zone, labels, capacity, id: worker === null ? '' : worker.id }))
      return send(200, { machines, nextToken: '' })
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const entry = this.#machines.get(body.machine)
    if (entry === undefined) return send(400, {})
    const token = Number(req.headers['fencing-token'] ?? 0)
    if (token < entry.token) return send(409, { reason: 'fence' })
    entry.token = token
    const isMove = req.url === '/machine-move'
    if (isMove ? entry.pool === body.pool : entry.waves.has(body.wave)) return send(200, {})
    if (entry.state !== 'up') return send(409, { reason: 'busy' })
    if (isMove) entry.pool = body.pool
    else entry.waves.add(body.wave)
    entry.state = isMove ? 'moving' : 'upkeep'
    const ended = entry.worker?.isUp === true ? entry.worker.runningTasks.map(({ task, startedAt }) => [task, Math.round(performance.now() - startedAt)]) : []
    this.#observe({ event: isMove ? 'machine.moved' : 'machine.upkeep', machine: body.machine, pool: entry.pool, holder: req.headers['lease-holder'], token, ended })
    entry.worker?.crash()
    setTimeout(() => {
      entry.state = 'up'
      entry.worker = null
      if (entry.pool !== this.standby) this.#replace(body.machine, entry.pool).then((worker) => { entry.worker = worker }, (err) => { this.#observe({ event: 'machine.failed', machine: body.machine, reason: err.message }) })
    }, isMove ? this.#bounds.migrationMs : this.#bounds.maintenanceMs)
    send(200, {})
  }
}
