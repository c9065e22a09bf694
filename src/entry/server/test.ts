import { expect } from 'chai'
import { request } from 'undici'
import { SystemClock } from '../../clock/index.js'
import type { RequestRunner } from '../../callers/requests/index.js'
import { AnnouncementHandler } from '../../endpoints/announce/index.js'
import { JobRequestHandler } from '../../jobs/requestHandler/index.js'
import { ControlClient } from '../../links/controlClient/index.js'
import { TokenGuard } from '../../links/tokens/index.js'
import { FleetView } from '../../machines/fleetView/index.js'
import { Metrics } from '../../metrics/index.js'
import { EntryServer } from './index.js'

describe('EntryServer', () => {
  const clock = new SystemClock()
  const view = new FleetView(clock, 'adaptive')
  let server: EntryServer
  let run: RequestRunner['run']

  beforeEach(async () => {
    server = new EntryServer({
      clock,
      view,
      runner: { run: (req: Parameters<RequestRunner['run']>[0]) => run(req) } as RequestRunner,
      announcementHandler: new AnnouncementHandler(view, clock, () => {}),
      jobs: new JobRequestHandler(new ControlClient([], undefined, clock)),
      guard: new TokenGuard({ endpoint: 'a token of endpoints' }),
      metrics: new Metrics()
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

  it('rejects announcements without the endpoint token', async () => {
    const res = await request(`http://${server.address}/v1/announce`, { method: 'POST', body: '{}' })
    expect(res.statusCode).to.equal(401)
  })

  it('is live but not ready without a view', async () => {
    expect((await request(`http://${server.address}/ready`)).statusCode).to.equal(503)
    expect((await request(`http://${server.address}/live`)).statusCode).to.equal(200)
  })
})
