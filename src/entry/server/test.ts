import { expect } from 'chai'
import { request } from 'undici'
import { SystemClock } from '../../clock/index.js'
import type { RequestRunner } from '../../callers/requests/index.js'
import { AnnouncementHandler } from '../../endpoints/announce/index.js'
import { JobRequestHandler } from '../../jobs/requestHandler/index.js'
import { ControlClient } from '../../links/controlClient/index.js'
import { ClientLimits, PRODUCT_LIMITS } from '../../links/clientLimits/index.js'
import { TokenGuard } from '../../links/tokens/index.js'
import { FleetView } from '../../machines/fleetView/index.js'
import { Metrics } from '../../metrics/index.js'
import { EntryServer } from './index.js'

/** Less than the largest body that an entry takes. */
const MAX_HELD_BYTES = 100_000

describe('EntryServer', () => {
  const clock = new SystemClock()
  const view = new FleetView(clock, 'adaptive')
  let server: EntryServer
  let run: RequestRunner['run']

  beforeEach(async () => {
    const metrics = new Metrics()
    server = new EntryServer({
      clock,
      view,
      runner: { run: (req: Parameters<RequestRunner['run']>[0]) => run(req) } as RequestRunner,
      announcementHandler: new AnnouncementHandler(view, clock, () => {}),
      jobs: new JobRequestHandler(new ControlClient([], undefined, clock)),
      guard: new TokenGuard({ endpoint: 'a token of endpoints' }),
      metrics,
      limits: new ClientLimits({ ...PRODUCT_LIMITS, maxHeldBytes: MAX_HELD_BYTES }, metrics)
    })
    await server.listen('127.0.0.1:0')
  })

  afterEach(async () => { await server.close() })

  it('reports an unknown outcome when the entry itself fails, since the request may have run', async () => {
    run = () => Promise.reject(new Error('a defect'))
    const res = await request(`http://${server.address}/v1/services/s/requests`)
    expect([res.statusCode, res.headers['oleanderward-outcome']]).to.deep.equal([500, 'unknown'])
  })

  it('forwards status, headers and body of an answer, but no hop-by-hop headers', async () => {
    run = () => Promise.resolve({ attempts: 2, result: { outcome: 'answered', status: 201, headers: { 'x-a': 'b', connection: 'close', 'content-length': '99' }, body: Buffer.from('whole') } })
    const res = await request(`http://${server.address}/v1/services/s/requests/x`, { method: 'PUT', body: 'y' })
    expect(await res.body.text()).to.equal('whole')
    expect(res.statusCode).to.equal(201)
    expect(res.headers).to.include({ 'x-a': 'b', 'oleanderward-attempts': '2', 'content-length': '5' })
  })

  it('records latencies by team and class', async () => {
    run = () => Promise.resolve({ attempts: 0, result: { outcome: 'notRun', reason: 'deadline', message: '', retryAfterMs: 1500 } })
    const refused = await request(`http://${server.address}/v1/services/s/requests`, { headers: { 'oleanderward-class': 'urgent' } })
    expect(refused.headers['retry-after']).to.equal('2')
    const metrics = await (await request(`http://${server.address}/metrics`)).body.text()
    expect(metrics).to.include('oleanderward_request_ms_count{team="other",class="urgent"} 1')
    expect(metrics).to.include('oleanderward_requests_total{service="unknown",outcome="notRun",reason="deadline"} 1')
  })

  for (const [what, bytes, status] of [['that is too large', 1024 * 1024 + 1, 413], ['for which there is no room', MAX_HELD_BYTES + 1, 503]] as const) {
    it(`rejects a body ${what} as not run, and goes on serving`, async () => {
      run = () => Promise.resolve({ attempts: 1, result: { outcome: 'answered', status: 200, headers: {}, body: Buffer.from('') } })
      const send = (size: number): ReturnType<typeof request> => request(`http://${server.address}/v1/services/s/requests`, { method: 'PUT', body: 'x'.repeat(size) })
      const refused = await send(bytes)
      expect([refused.statusCode, refused.headers['oleanderward-outcome']]).to.deep.equal([status, 'notRun'])
      expect((await send(1)).statusCode).to.equal(200)
    })
  }

  it('rejects announcements without the endpoint token', async () => {
    const res = await request(`http://${server.address}/v1/announce`, { method: 'POST', body: '{}' })
    expect(res.statusCode).to.equal(401)
  })

  it('is live but not ready without a view', async () => {
    expect((await request(`http://${server.address}/ready`)).statusCode).to.equal(503)
    expect((await request(`http://${server.address}/live`)).statusCode).to.equal(200)
  })
})
