/** A proxy before one worker. It can keep orders back and hand them on late, without an answer, and cut the worker off from all others. */
import { createServer, request } from 'node:http'

export class WorkerProxy {
  /** Whether the worker is cut off: nothing that arrives is handed on or answered. */
  isCut = false
  /** For how long a start is kept back; 0 for not at all. */
  keepStartsMs = 0
  /** Whether the worker is cut off once the next start has been handed on. */
  cutsAfterStart = false
  #target
  #record
  #server

  constructor (target, record) {
    this.#target = target
    this.#record = record
    this.#server = createServer((req, res) => {
      const chunks = []
      req.on('data', (chunk) => { chunks.push(chunk) })
      req.on('error', () => {})
      req.on('end', () => { this.#onRequest(req, res, Buffer.concat(chunks)) })
    })
  }

  async listen (address) {
    const [host, port] = address.split(':')
    await new Promise((resolve) => { this.#server.listen(Number(port), host, resolve) })
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #onRequest (req, res, body) {
    if (this.isCut) return
    if (req.url === '/run-start' && this.keepStartsMs > 0) {
      this.#record(`proxy keeps back ${req.url} ${body}`)
      setTimeout(() => {
        this.#record(`proxy hands on ${req.url} ${body}`)
        this.#send(req, body, (status, text) => { this.#record(`proxy: the worker answers ${status} ${text}, which is lost`) })
      }, this.keepStartsMs)
      return
    }
    if (req.url === '/run-start' && this.cutsAfterStart) {
      this.#record(`proxy hands on ${req.url} ${body}, then the worker is cut off`)
      this.isCut = true
    }
    this.#send(req, body, (status, text) => {
      if (this.isCut || res.destroyed) return
      res.writeHead(status, { 'content-type': 'application/json' })
      res.end(text)
    }, () => { if (!this.isCut) res.destroy() })
  }

  #send ({ method, url, headers }, body, onAnswer, onError = () => {}) {
    const [host, port] = this.#target.split(':')
    const req = request({ host, port: Number(port), method, path: url, headers: { ...headers, connection: 'close' } }, (res) => {
      let text = ''
      res.on('data', (chunk) => { text += chunk })
      res.on('end', () => { onAnswer(res.statusCode, text) })
    })
    req.on('error', onError)
    req.end(body)
  }
}
