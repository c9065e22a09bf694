import { expect } from 'chai'
import { createSessionHarness } from '../fixtures/sessionHarness.js'
import { LEASE_MS, POLL_WAIT_MS, MAX_CONCURRENT_STARTS, MAX_CRASH_DELAY_MS, MAX_IDLE_POLL_WAIT_MS, SURVIVAL_PROBE_DELAYS_MS } from '../constants.js'

const TASK = '00000000000000aa.0.0.0'
const startOrder = { task: TASK, run: 1, payload: '', checkpoint: '', ticket: null, isTrial: false, isLasting: false }

describe('WorkerSession', () => {
  it('sends its fencing token and reads the worker clock before it renews a lease', async () => {
    const { clock, worker, session } = createSessionHarness()
    await clock.advance(50)
    expect(worker.polls[0]).to.deep.equal({ token: 7, acknowledgedSeq: 0, leaseEndMs: null, waitMs: 0 })
    expect(worker.polls[1]?.leaseEndMs).to.be.a('number')
    session.end()
  })

  it('treats the lease of an unresponsive worker as expired once its last renewal has run out', async () => {
    const { clock, worker, session } = createSessionHarness()
    await clock.advance(2000)
    worker.isUnresponsive = true
    await clock.advance(LEASE_MS)
    expect(session.isLive).to.equal(false)
    expect(session.isLeaseExpired).to.equal(false)
    await clock.advance(2 * POLL_WAIT_MS)
    expect(session.isLeaseExpired).to.equal(true)
    session.end()
  })

  it('renews the lease again when the worker answers again', async () => {
    const { clock, worker, session } = createSessionHarness()
    await clock.advance(1000)
    worker.isUnresponsive = true
    await clock.advance(2000)
    worker.isUnresponsive = false
    await clock.advance(2000)
    expect(session.isLive).to.equal(true)
    expect(worker.polls.at(-1)?.leaseEndMs).to.be.above(clock.now() + LEASE_MS / 2)
    session.end()
  })

  it('renews the lease of a worker that may be gone only once it has answered a poll that was sent since', async () => {
    const { clock, worker, session } = createSessionHarness()
    await clock.advance(1000)
    const before = worker.polls.length
    session.contact.requireNewAnswer()
    expect(session.isLive).to.equal(false)
    await clock.advance(POLL_WAIT_MS)
    expect(session.isLive).to.equal(true)
    expect(worker.polls[before]).to.include({ leaseEndMs: null, waitMs: 0 })
    expect(worker.polls[before + 1]?.leaseEndMs).to.be.a('number')
    session.end()
  })

  it('acknowledges no ends and grants no lease in its first poll after a pause, which the next incarnation may answer (TWICE)', async () => {
    const { clock, worker, lease, session } = createSessionHarness()
    await clock.advance(50)
    worker.ended = [{ seq: 1, task: TASK, run: 1, outcome: 'stopped', checkpoint: '' }]
    await clock.advance(POLL_WAIT_MS + 50)
    lease.mayOrder = false
    await clock.advance(4000)
    session.acknowledge(session.takeRunEnds().listedSeq)
    const before = worker.polls.length
    lease.mayOrder = true
    await clock.advance(100)
    expect(worker.polls[before]).to.include({ acknowledgedSeq: 0, leaseEndMs: null })
    expect(worker.polls[before + 1]).to.include({ acknowledgedSeq: 1 })
    session.end()
  })

  it('starts no run on a worker whose last poll has failed, which may have restarted (TWICE)', async () => {
    const { clock, session } = createSessionHarness()
    await clock.advance(100)
    expect(session).to.include({ isLive: true, mayStartRuns: true })
    session.contact.recordFailure()
    expect(session).to.include({ isLive: true, mayStartRuns: false })
    await clock.advance(POLL_WAIT_MS)
    expect(session.mayStartRuns).to.equal(true)
    session.end()
  })

  it('treats the lease of a worker that may be gone as valid until its last renewal has run out', async () => {
    const { clock, worker, session } = createSessionHarness()
    await clock.advance(1000)
    const expiryMs = worker.polls.at(-1)?.leaseEndMs as number
    session.contact.requireNewAnswer()
    worker.isUnresponsive = true
    await clock.advance(expiryMs - clock.now())
    expect(session).to.include({ isLive: false, isLeaseExpired: false })
    await clock.advance(POLL_WAIT_MS)
    expect(session.isLeaseExpired).to.equal(true)
    session.end()
  })

  it('returns a run end once, and acknowledges it only after it is committed', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    placed.set(TASK, { run: 1 })
    worker.ended = [{ seq: 1, task: TASK, run: 1, outcome: 'done', checkpoint: '' }]
    await clock.advance(100)
    const { ends, listedSeq } = session.takeRunEnds()
    expect(ends).to.deep.equal([{ task: TASK, run: 1, worker: 'w@1', outcome: 'done', checkpoint: '' }])
    expect(worker.polls.every(({ acknowledgedSeq }) => acknowledgedSeq === 0)).to.equal(true)
    placed.clear()
    session.acknowledge(listedSeq)
    await clock.advance(1000)
    const acknowledged = worker.polls.map(({ acknowledgedSeq }) => acknowledgedSeq).filter((seq) => seq > 0)
    expect(acknowledged, 'acknowledged once, since the worker has answered').to.deep.equal([1])
    expect(session.takeRunEnds().ends).to.deep.equal([])
    session.end()
  })

  it('revokes a run whose start was not answered and that is not listed, then records it as lost', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    worker.startRefusal = 'noAnswer'
    void session.start(startOrder)
    await clock.advance(3000)
    expect(worker.stops).to.include(TASK)
    expect(session.takeRunEnds().ends[0]).to.include({ task: TASK, outcome: 'lost' })
    session.end()
  })

  it('keeps a run whose start was not answered but that is listed', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    worker.startRefusal = 'noAnswer'
    worker.running = [{ task: TASK, run: 1, checkpoint: '', percent: 10, load: null }]
    void session.start(startOrder)
    await clock.advance(3000)
    expect(worker.stops).to.deep.equal([])
    expect(session.orders.get(TASK)?.phase).to.equal('started')
    session.end()
  })

  it('records a start that the worker refuses as refused', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    worker.startRefusal = 'noRoom'
    void session.start(startOrder)
    await clock.advance(10)
    expect(session.takeRunEnds().ends[0]).to.include({ task: TASK, run: 1, outcome: 'refused' })
    session.end()
  })

  it('does not take a run for lost whose end is beyond the ends that one answer lists (TWICE)', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    worker.maxListedEnds = 2
    const tasks = Array.from({ length: 5 }, (_, i) => `00000000000000aa.0.0.${i}`)
    for (const task of tasks) placed.set(task, { run: 1 })
    worker.ended = tasks.map((task, i) => ({ seq: i + 1, task, run: 1, outcome: 'done', checkpoint: '' }))
    const outcomes = new Map<string, string[]>()
    for (let i = 0; i < 20; i++) {
      await clock.advance(500)
      const { ends, listedSeq } = session.takeRunEnds()
      for (const { task, outcome } of ends) outcomes.set(task, [...outcomes.get(task) ?? [], outcome])
      for (const { task } of ends) placed.delete(task)
      session.acknowledge(listedSeq)
    }
    expect([...outcomes]).to.deep.equal(tasks.map((task) => [task, ['done']]))
    session.end()
  })

  // `stale` says that this run or a later one was stopped or has ended there: the first of two deliveries may have run the task.
  it('does not take a run for refused whose start was answered as stale (TWICE)', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    worker.startRefusal = 'stale'
    void session.start(startOrder)
    await clock.advance(10)
    expect(session.takeRunEnds().ends).to.deep.equal([])
    worker.ended = [{ seq: 1, task: TASK, run: 1, outcome: 'done', checkpoint: '' }]
    await clock.advance(1000)
    expect(session.takeRunEnds().ends).to.deep.equal([{ task: TASK, run: 1, worker: 'w@1', outcome: 'done', checkpoint: '' }])
    session.end()
  })

  it('revokes a run whose start was answered as stale and that is not listed', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    worker.startRefusal = 'stale'
    void session.start(startOrder)
    await clock.advance(3000)
    expect(worker.stops).to.include(TASK)
    expect(session.takeRunEnds().ends[0]).to.include({ task: TASK, outcome: 'lost' })
    session.end()
  })

  it('stops a run that was never placed', async () => {
    const { clock, worker, session } = createSessionHarness()
    worker.running = [{ task: TASK, run: 4, checkpoint: '', percent: 10, load: null }]
    await clock.advance(50)
    expect(worker.stops).to.include(TASK)
    session.end()
  })

  it('ends when a later incarnation of the worker answers', async () => {
    const { clock, worker, session } = createSessionHarness()
    await clock.advance(1000)
    worker.born = 2
    await clock.advance(1000)
    expect(session.goneReason).to.equal('the worker has started again')
    expect(session.isLeaseExpired).to.equal(true)
  })

  it('sends nothing while the leader lease is not confirmed', async () => {
    const { clock, worker, lease, session } = createSessionHarness()
    await clock.advance(1000)
    lease.mayOrder = false
    await clock.advance(1000)
    const before = worker.polls.length
    void session.stop(TASK, 1)
    await clock.advance(3000)
    expect(worker.polls.length).to.equal(before)
    expect(worker.stops).to.deep.equal([])
    session.end()
  })

  it('drops a start that is stopped before its turn comes', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(50)
    const tasks = Array.from({ length: MAX_CONCURRENT_STARTS + 1 }, (_, i) => `00000000000000aa.0.0.${i}`)
    for (const task of tasks) {
      placed.set(task, { run: 1 })
      void session.start({ ...startOrder, task })
    }
    const last = tasks.at(-1) as string
    void session.stop(last, 1)
    await clock.advance(50)
    expect(worker.starts).to.deep.equal(tasks.slice(0, -1))
    expect(session.takeRunEnds().ends).to.deep.include({ task: last, run: 1, worker: 'w@1', outcome: 'refused', checkpoint: '' })
  })

  it('renews the lease of a run that starts during the long poll of an idle worker before it expires', async () => {
    const { clock, worker, placed, session } = createSessionHarness(null, MAX_IDLE_POLL_WAIT_MS)
    await clock.advance(200)
    expect(worker.polls.at(-1)?.waitMs).to.equal(MAX_IDLE_POLL_WAIT_MS)
    const granted = worker.polls.at(-1)?.leaseEndMs as number
    await clock.advance(MAX_IDLE_POLL_WAIT_MS / 2)
    placed.set(TASK, { run: 1 })
    void session.start(startOrder)
    worker.running = [{ task: TASK, run: 1, checkpoint: '', percent: 10, load: null }]
    await clock.advance(MAX_IDLE_POLL_WAIT_MS)
    const renewal = worker.polls.at(-1)
    expect(clock.now()).to.be.below(granted)
    expect(renewal?.waitMs).to.equal(POLL_WAIT_MS)
    expect(renewal?.leaseEndMs).to.be.above(granted)
    expect(session.isLive).to.equal(true)
    session.end()
  })

  it('asks a worker beside the long poll whether it has survived the start of a suspected task', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    worker.running = [{ task: TASK, run: 1, checkpoint: '', percent: 10, load: null }]
    const before = worker.polls.length
    void session.start({ ...startOrder, isTrial: true })
    await clock.advance(MAX_CRASH_DELAY_MS)
    expect(worker.polls.slice(before)).to.deep.include({ token: 7, acknowledgedSeq: 0, leaseEndMs: null, waitMs: 0 })
    expect(session.orders.hasSurvived(TASK, 1)).to.equal(true)
    session.end()
  })

  it('knows that a worker which answers nothing after the start of a suspected task has crashed under it', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    void session.start({ ...startOrder, isTrial: true })
    await clock.advance(5)
    worker.isUnresponsive = true
    await clock.advance(2000)
    expect(session.orders.wasRunningAtCrash(TASK, 1, session.crashedBy)).to.equal(true)
    session.end()
  })

  it('does not take a run for one that has crashed the worker when a single answer to the probes is missing (LOST)', async () => {
    const { clock, worker, placed, session } = createSessionHarness()
    await clock.advance(100)
    placed.set(TASK, { run: 1 })
    void session.start({ ...startOrder, isTrial: true })
    await clock.advance(SURVIVAL_PROBE_DELAYS_MS[0] - 1)
    worker.isUnresponsive = true
    await clock.advance(10)
    worker.isUnresponsive = false
    await clock.advance(100)
    worker.isUnresponsive = true
    await clock.advance(4000)
    expect(session.orders.wasRunningAtCrash(TASK, 1, session.crashedBy)).to.equal(false)
    session.end()
  })

  it('records a run end for the earlier incarnation when the start was sent to that one', async () => {
    const { clock, worker, session } = createSessionHarness('w@0')
    worker.ended = [{ seq: 1, task: TASK, run: 1, outcome: 'done', checkpoint: '' }]
    await clock.advance(50)
    expect(session.takeRunEnds().ends).to.deep.equal([{ task: TASK, run: 1, worker: 'w@0', outcome: 'done', checkpoint: '' }])
  })
})
