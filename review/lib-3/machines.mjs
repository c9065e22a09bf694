// Stand-in for the platform's machine service: lists the machines and carries out upkeeps. The cases have one pool, so that no machine moves.
import { createServer } from 'node:http'

const MAINTENANCE_MS = 2000

export class Machines {
  // Replaces the row of a machine in the list, or returns it as it is.
  rewriteRow = (row) => row
  #server
  #host
  #rows = new Map()
  #tokens = new Map()
  // By wave, the machines whose upkeep has begun.
  #begun = new Map()

  // host: the pool's name, the machines of a wave, the worker on a machine, and how to end and begin one
  constructor (host, record) {
    this.#host = host
    this.#server = createServer((req, res) => {
      const chunks = []
      req.on('data', (chunk) => { chunks.push(chunk) })
      req.on('end', () => {
        const { status, body } = req.method === 'GET' ? this.#list() : this.#order(req.url, JSON.parse(Buffer.concat(chunks).toString('utf8')), req.headers)
        if (req.method !== 'GET') record({ what: 'platform.order', path: req.url, status, ...body })
        res.writeHead(status, { 'content-type': 'application/json' })
        res.end(JSON.stringify(body))
      })
    })
    this.record = record
  }

  // Whether the upkeep of a machine has begun for a wave.
  hasBegun (wave, machine) {
    return this.#begun.get(wave)?.has(machine) === true
  }

  add (machine) {
    this.#rows.set(machine, { state: 'up' })
  }

  #list () {
    const machines = [...this.#rows].map(([machine, { state }]) => {
      const worker = this.#host.workerOn(machine)
      return this.rewriteRow({ machine, pool: this.#host.pool, state: state === 'up' && worker === undefined ? 'down' : state, zone: 'z-a', labels: ['a', 'r1'], capacity: { cpu: 16_000, memMb: 32_768, gpu: 0 }, id: worker?.id ?? '' })
    })
    return { status: 200, body: { machines, nextToken: '' } }
  }

  #order (path, { machine, wave }, headers) {
    const row = this.#rows.get(machine)
    if (row === undefined) return { status: 400, body: { machine } }
    const token = Number(headers['fencing-token'])
    if (token < (this.#tokens.get(machine) ?? 0)) return { status: 409, body: { machine, reason: 'fence' } }
    this.#tokens.set(machine, token)
    if (path !== '/machine-upkeep') return { status: 409, body: { machine, reason: 'busy' } }
    if (!this.#host.machinesOf(wave).includes(machine)) return { status: 409, body: { machine, reason: 'wave' } }
    if (this.hasBegun(wave, machine)) return { status: 200, body: { machine } }
    if (row.state !== 'up' || this.#host.workerOn(machine) === undefined) return { status: 409, body: { machine, reason: 'busy' } }
    const begun = this.#begun.get(wave) ?? new Set()
    this.#begun.set(wave, begun.add(machine))
    row.state = 'upkeep'
    this.#host.endWorkerOn(machine)
    setTimeout(() => {
      row.state = 'up'
      this.#host.beginWorkerOn(machine)
    }, MAINTENANCE_MS)
    return { status: 200, body: { machine } }
  }

  async listen (address) {
    const [host, port] = address.split(':')
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(Number(port), host, resolve)
    })
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }
}
