// One HTTP request with a time-out, for the stand-ins of clients, the operator and workers.
import { request } from 'node:http'

export function send (address, { method = 'GET', path, host, headers = {}, body, timeoutMs = 1000 }) {
  const [hostname, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const bytes = body === undefined ? undefined : Buffer.isBuffer(body) ? body : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body))
    const req = request({ hostname, port, method, path, agent: false, headers: { ...(host === undefined ? {} : { host }), ...(bytes === undefined ? {} : { 'content-type': 'application/json', 'content-length': bytes.length }), ...headers } })
    const timer = setTimeout(() => { req.destroy(new Error('no answer in time')) }, timeoutMs)
    req.on('error', (err) => {
      clearTimeout(timer)
      reject(err)
    })
    req.on('response', (res) => {
      const chunks = []
      res.on('data', (chunk) => { chunks.push(chunk) })
      res.on('error', reject)
      res.on('end', () => {
        clearTimeout(timer)
        const bytes = Buffer.concat(chunks)
        let parsed = null
        try {
          parsed = JSON.parse(bytes.toString('utf8'))
        } catch {
          // Answers without a body.
        }
        resolve({ status: res.statusCode, body: parsed, bytes })
      })
    })
    req.end(bytes)
  })
}
