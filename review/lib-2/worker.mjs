/**
 * Stand-in for workers, as PROTOCOL.md describes them ("Running tasks" and "Service discovery"). One process is one life of its workers.
 *
 * Started with a JSON list as its only argument, an object for each worker: id, host, port, service, machine, labels, zone, controls, heartbeatMs,
 * holdMaxMs, stopGraceMs; ticket, which every start must carry, where the queue has advice; reportedAddress, where a proxy stands before the worker;
 * heartbeatsAfterMs, while its heartbeats do not get through. A task's `spec` is JSON: `ms` is its run time, or
 * its startup where `lasts` says that it runs until it is stopped. Prints one JSON line for each start, end and acknowledged end.
 */
import { createServer, request } from 'node:http'
import { performance } from 'node:perf_hooks'

const MAX_ENDS = 500

function runWorker (options) {
  const { id, host, port, service, machine, labels, zone, heartbeatMs, holdMaxMs, stopGraceMs, ticket } = options
  const born = Date.now()
  const origin = performance.now()
  const clock = () => Math.floor(performance.now() - origin)

  const running = new Map()
  /** Highest run that was stopped or has ended, by task. */
  const barred = new Map()
  let ends = []
  let lastEnd = 0
  let fence = 0
  let leaseEnd = 0
  let sequence = 0
  let heartbeatAddress = null
  let wakeHolds = new Set()

  const report = (event, fields) => { process.stdout.write(JSON.stringify({ at: Date.now(), worker: id, born, event, ...fields }) + '\n') }

  const key = (task, run) => `${task}#${run}`

  function bar (task, run) {
    barred.set(task, Math.max(barred.get(task) ?? 0, run))
  }

  function endRun (entry, how) {
    running.delete(key(entry.task, entry.run))
    bar(entry.task, entry.run)
    ends.push([++lastEnd, entry.task, entry.run, how, ''])
    report('end', { task: entry.task, run: entry.run, how })
    for (const wake of wakeHolds) wake()
    wakeHolds = new Set()
  }

  /** Ends what is due: a lease that has expired kills everything. */
  function settle () {
    const now = clock()
    for (const entry of [...running.values()]) {
      const dueAt = Math.min(entry.endsAt, entry.stopsAt)
      if (dueAt <= Math.min(now, leaseEnd)) endRun(entry, entry.stopsAt <= entry.endsAt ? 'stopped' : 'done')
      else if (now > leaseEnd) endRun(entry, 'lapsed')
    }
  }

  function renew (expiresMs) {
    leaseEnd = Math.max(leaseEnd, Math.min(expiresMs, clock() + holdMaxMs))
  }

  function startRun ({ task, run, spec, expiresMs, ticket: sentTicket }) {
    const now = clock()
    if (expiresMs <= now) return [409, { reason: 'late' }]
    renew(expiresMs)
    if (ticket !== undefined && sentTicket !== ticket) return [409, { reason: 'ticket' }]
    if (running.has(key(task, run))) return [200, {}]
    if (run <= (barred.get(task) ?? 0)) return [409, { reason: 'old' }]
    const { ms, lasts = false } = JSON.parse(spec)
    running.set(key(task, run), { task, run, ms, lasts, startedAt: now, endsAt: lasts ? Infinity : now + ms, stopsAt: Infinity })
    report('start', { task, run })
    return [200, {}]
  }

  function stopRun ({ task, run }) {
    for (const entry of running.values()) if (entry.task === task && entry.run <= run) entry.stopsAt = Math.min(entry.stopsAt, clock() + stopGraceMs / 2)
    bar(task, run)
    return [200, {}]
  }

  async function hold ({ ackSeq = 0, expiresMs, waitMs = 0 }) {
    if (expiresMs !== undefined) renew(expiresMs)
    for (const [seq, task, run, how] of ends) if (seq <= ackSeq) report('noted', { task, run, how })
    ends = ends.filter(([seq]) => seq > ackSeq)
    if (ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        wakeHolds.add(resolve)
        setTimeout(resolve, waitMs)
      })
    }
    settle()
    const rows = [...running.values()].map(({ task, run, ms, lasts, startedAt }) => [task, run, '', lasts ? (clock() - startedAt >= ms ? 100 : 0) : Math.min(99, Math.floor((clock() - startedAt) / ms * 100)), 0])
    return [200, { born, running: rows, endedRuns: ends.slice(0, MAX_ENDS) }]
  }

  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => { chunks.push(chunk) })
    req.on('error', () => {})
    req.on('end', () => { answer(req, res, Buffer.concat(chunks).toString('utf8')) })
  })

  async function answer (req, res, text) {
    const send = (status, body) => {
      if (res.destroyed) return
      res.writeHead(status, { 'content-type': 'application/json' })
      res.end(JSON.stringify({ clockMs: clock(), ...body }))
    }
    if (req.method === 'GET') return send(200, {})
    if (req.headers['expected-instance'] !== id) return send(421, {})
    let body
    try {
      body = JSON.parse(text)
    } catch {
      return send(400, {})
    }
    settle()
    const token = body.fencingToken ?? 0
    if (token < fence) return send(409, { reason: 'fence' })
    fence = token
    if (req.url === '/run-start') return send(...startRun(body))
    if (req.url === '/run-stop') return send(...stopRun(body))
    if (req.url === '/hold') return send(...await hold(body))
    if (req.url === '/pace') return send(200, {})
    send(404, {})
  }

  /** Sends a heartbeat; resolves to whether it was acknowledged. */
  function beat (address, body) {
    return new Promise((resolve) => {
      const [targetHost, targetPort] = address.split(':')
      const req = request({ host: targetHost, port: Number(targetPort), method: 'PUT', path: `/instances/${id}`, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }, timeout: 1000 }, (res) => {
        let text = ''
        res.on('data', (chunk) => { text += chunk })
        res.on('end', () => {
          const isAcknowledged = res.statusCode >= 200 && res.statusCode < 300
          if (isAcknowledged) {
            try {
              heartbeatAddress = JSON.parse(text).heartbeatAddr ?? heartbeatAddress
            } catch {}
          }
          resolve(isAcknowledged)
        })
      })
      req.on('timeout', () => { req.destroy() })
      req.on('error', () => { resolve(false) })
      req.end(body)
    })
  }

  async function sendHeartbeat () {
    const body = JSON.stringify({ service, address: options.reportedAddress ?? `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, capacity: { cpu: 64_000, memMb: 262_144, gpu: 0 }, labels, machine, born, clockMs: clock(), sequence: ++sequence })
    const targets = heartbeatAddress === null ? options.controls : [heartbeatAddress, ...options.controls.filter((address) => address !== heartbeatAddress)]
    for (const address of targets) {
      if (await beat(address, body)) return
      if (address === heartbeatAddress) heartbeatAddress = null
    }
  }

  server.listen(port, host, () => {
    report('up', {})
    setInterval(settle, 5)
    setTimeout(() => {
      sendHeartbeat()
      setInterval(() => { sendHeartbeat() }, heartbeatMs)
    }, options.heartbeatsAfterMs ?? 0)
  })
}

// The worker ends with the test that started it.
process.stdout.on('error', () => { process.exit(1) })

for (const options of JSON.parse(process.argv[2])) runWorker(options)
