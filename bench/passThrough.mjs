// Bare pass-through for the baseline scenario: receives a request with fastify, forwards it with undici and returns the answer.
import fastify from 'fastify'
import { Pool } from 'undici'

const [port, target] = process.argv.slice(2)
const pool = new Pool(`http://${target}`, { connections: 64, pipelining: 1 })
const app = fastify({ bodyLimit: 1024 * 1024 })
const UNFORWARDED_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'host'])

app.removeAllContentTypeParsers()
app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => { done(null, body) })
app.get('/live', (_req, res) => res.send('live'))
app.all('/v1/services/:service/requests/*', async (req, res) => {
  const headers = Object.fromEntries(Object.entries(req.headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)))
  const answer = await pool.request({ path: `/${req.params['*']}`, method: req.method, headers: { ...headers, 'oleanderward-attempt-id': 'bare' }, body: req.body ?? null })
  const body = Buffer.from(await answer.body.arrayBuffer())
  const forwardedHeaders = Object.fromEntries(Object.entries(answer.headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)))
  return res.code(answer.statusCode).headers({ ...forwardedHeaders, 'oleanderward-outcome': 'answered' }).send(body)
})
await app.listen({ port: Number(port), host: '127.0.0.1' })
