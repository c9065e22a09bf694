import { expect } from 'chai'
import { request } from 'undici'
import { Deployment } from '../../bench/harness/deployment.js'
import { FLEETS } from '../../bench/harness/fleet.js'
import type { Wave } from '../../src/state/types.js'
import { call, createKey } from '../call.js'

describe('requests, jobs and maintenance with real processes', function () {
  this.timeout(180_000)
  let deployment: Deployment
  let firstEntry: string
  let secondEntry: string

  before(async () => {
    deployment = new Deployment({ fleet: FLEETS.inla, controls: 3, entries: 3, rebootMs: () => 500, serviceMs: (req) => Number(req.headers['x-service-ms'] ?? 5), ruleOverrides: { attemptTimeoutMs: 500 } })
    await deployment.start()
    ;[firstEntry = '', secondEntry = ''] = deployment.entryAddresses
  })

  after(async () => { await deployment.stop() })

  function setEndpointFault (fault: 'none' | 'crossesAnswers' | 'truncates' | 'resets' | 'failsAll'): void {
    for (const endpoint of deployment.endpoints.values()) endpoint.fault = fault
  }

  async function getJobState (id: string): Promise<{ state: string, vm: string | null }> {
    const res = await request(`http://${firstEntry}/v1/jobs/${id}`)
    return await res.body.json() as { state: string, vm: string | null }
  }

  async function submitJob (fields: object): Promise<string> {
    const res = await request(`http://${firstEntry}/v1/jobs`, { method: 'POST', body: JSON.stringify({ key: createKey(), service: 'mastering', team: 'editors', runMs: 100, payload: { ranMs: 100 }, ...fields }) })
    return (await res.body.json() as { job: string }).job
  }

  it('returns to each caller the answer to its own request', async () => {
    const keys = Array.from({ length: 50 }, createKey)
    const answers = await Promise.all(keys.map((key, index) => call(index % 2 === 0 ? firstEntry : secondEntry, { key })))
    for (const [index, answer] of answers.entries()) {
      expect(answer).to.include({ status: 200, outcome: 'answered' })
      expect(answer.body.startsWith(`${keys[index] ?? ''} GET /work?q=1 `)).to.equal(true)
    }
  })

  it('runs a write once even if it is sent several times through several entries', async () => {
    const key = createKey()
    const answers = await Promise.all([firstEntry, secondEntry, firstEntry, secondEntry].map((entry) => call(entry, { method: 'POST', key })))
    expect(answers.map((answer) => answer.outcome)).to.deep.equal(['answered', 'answered', 'answered', 'answered'])
    expect(new Set(answers.map((answer) => answer.body)).size).to.equal(1)
    expect(deployment.oracle.countRuns(key)).to.equal(1)
  })

  it('rejects invalid requests and names the invalid headers', async () => {
    const bad = await call(firstEntry, { headers: { 'oleanderward-class': 'fast', 'oleanderward-deadline-ms': 'soon' } })
    expect(bad).to.include({ status: 400, outcome: 'notRun' })
    expect(bad.body).to.include('oleanderward-class').and.to.include('oleanderward-deadline-ms')
    expect(await call(firstEntry, { service: 'nothing' })).to.include({ status: 404, outcome: 'notRun' })
    expect(await call(firstEntry, { method: 'POST', body: Buffer.alloc(2 * 1024 * 1024) })).to.include({ status: 413, outcome: 'notRun' })
    const old = await call(firstEntry, { method: 'POST', headers: { 'idempotency-key-created': String(Date.now() - 3_600_000) } })
    expect(old).to.include({ status: 409, outcome: 'unknown' })
    const early = await call(firstEntry, { method: 'POST', headers: { 'idempotency-key-created': String(Date.now() + 3_600_000) } })
    expect(early).to.include({ status: 400, outcome: 'notRun' })
  })

  it('rejects malformed announcements and jobs, and names the invalid fields', async () => {
    const announced = await request(`http://${firstEntry}/v1/announce`, { method: 'POST', body: '{"vm":"publish-1"}' })
    expect(announced.statusCode).to.equal(400)
    expect(await announced.body.text()).to.include('boot: ').and.to.include('slots: ')
    const broken = await request(`http://${firstEntry}/v1/jobs`, { method: 'POST', body: '{' })
    expect(broken.statusCode).to.equal(400)
    const large = await request(`http://${firstEntry}/v1/jobs`, { method: 'POST', body: JSON.stringify({ key: createKey(), service: 'mastering', team: 'editors', runMs: 1, cores: 1000 }) })
    expect(large.statusCode).to.equal(422)
    expect(await large.body.text()).to.include('no VM of')
  })

  for (const fault of ['crossesAnswers', 'truncates', 'resets'] as const) {
    it(`reports the outcome of a write as unknown when an endpoint ${fault}`, async () => {
      setEndpointFault(fault)
      const keys = Array.from({ length: 6 }, createKey)
      const answers = await Promise.all(keys.map((key) => call(firstEntry, { method: 'POST', key })))
      setEndpointFault('none')
      expect(answers.map((answer) => answer.outcome)).to.deep.equal(keys.map(() => 'unknown'))
      for (const key of keys) expect(deployment.oracle.countRuns(key)).to.equal(1)
      expect((await call(secondEntry, { method: 'POST', key: keys[0] ?? '' })).outcome).to.equal('unknown')
      expect(deployment.oracle.countRuns(keys[0] ?? '')).to.equal(1)
    })
  }

  it('streams a large answer completely', async () => {
    for (const endpoint of deployment.endpoints.values()) endpoint.fault = 'oversized'
    const answer = await call(firstEntry)
    setEndpointFault('none')
    expect(answer.outcome).to.equal('answered')
    expect(answer.body).to.have.length(6 * 1024 * 1024)
  })

  it('runs a job once and reports its result', async () => {
    const id = await submitJob({ class: 'urgent' })
    await deployment.waitFor(async () => (await getJobState(id)).state === 'done', 'the job')
    expect(deployment.oracle.countTaskRuns(id)).to.equal(1)
  })

  it('restarts a lost worker\'s job elsewhere once its lease has expired, unless the job is not repeatable', async () => {
    const jobs = await Promise.all([true, false].map((repeatable) => submitJob({ repeatable, runMs: 4000, payload: { ranMs: 4000 } })))
    const [repeatableId = '', unrepeatableId = ''] = jobs
    await deployment.waitFor(async () => (await getJobState(repeatableId)).state === 'running' && (await getJobState(unrepeatableId)).state === 'running', 'both jobs to run')
    const vms = await Promise.all(jobs.map(async (id) => (await getJobState(id)).vm ?? ''))
    for (const vm of vms) deployment.endpoints.get(vm)?.stop(false)
    await deployment.waitFor(async () => (await getJobState(repeatableId)).state === 'done', 'the repeatable job to run elsewhere', 60_000)
    await deployment.waitFor(async () => (await getJobState(unrepeatableId)).state === 'unknown', 'the outcome of the other job to be unknown', 60_000)
    expect(deployment.oracle.countTaskRuns(unrepeatableId)).to.equal(1)
    expect(deployment.oracle.overlappingTaskStarts).to.equal(0)
    for (const vm of new Set(vms)) await deployment.endpoints.get(vm)?.start()
    await deployment.waitForAllUp()
  })

  it('reboots a whole pool under load without cutting off a request', async () => {
    const { wave } = await deployment.ctlJson<{ wave: string }>(['wave', 'start', '--pool', 'publish'])
    const outcomes: string[] = []
    let state = ''
    while (state !== 'done') {
      const answers = await Promise.all(Array.from({ length: 10 }, (_each, index) => call(index % 2 === 0 ? firstEntry : secondEntry, { headers: { 'x-service-ms': '100' } })))
      outcomes.push(...answers.map((answer) => answer.outcome))
      state = (await deployment.ctlJson<Wave[]>(['wave', 'status'])).find((each) => each.id === wave)?.state ?? ''
    }
    expect(new Set(outcomes)).to.deep.equal(new Set(['answered']))
    expect(deployment.oracle.cut).to.equal(0)
    expect(deployment.oracle.lateAfterLeaving).to.equal(0)
    expect(deployment.platform.rebootCount).to.equal(6)
  })

  it('moves a VM to another pool, and explains where it is', async () => {
    await deployment.ctlOrThrow(['move', 'spare-1', 'publish'])
    await deployment.waitFor(async () => (await deployment.show()).vms.find((vm) => vm.id === 'spare-1')?.pool === 'publish', 'the move')
    await deployment.waitForAllUp()
    expect(await deployment.ctlOrThrow(['explain', 'vm', 'spare-1'])).to.include('is in pool publish')
  })

  it('finishes requests in flight when an entry shuts down', async () => {
    const entry = deployment.entries[2]
    const slow = call(entry?.address ?? '', { headers: { 'x-service-ms': '400' } })
    await new Promise((resolve) => setTimeout(resolve, 150))
    const code = entry?.process.stop()
    expect((await slow).outcome).to.equal('answered')
    expect(await code).to.equal(0)
  })
})
