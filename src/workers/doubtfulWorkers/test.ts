/** Tests of what becomes of runs while an incarnation of a worker, or its end, is in doubt; from the registry down to the calls. */
import { expect } from 'chai'
import { createWorker } from '../../batch/fixtures/index.js'
import { MAX_LATE_CALL_MS, MAX_WORKER_LEASE_MS } from '../constants.js'
import { createTerm, JOB, TASK } from '../fixtures/takenOverTerm.js'
import type { WorkerPollRequest } from '../types.js'

const RUNNING = { task: TASK, run: 1, checkpoint: '', percent: 10, load: null }
const ANSWER_MS = 5
const STOP_GRACE_MS = 900
/** Reading of the clock of the first incarnation when the test begins. */
const UPTIME_MS = 500_000

describe('runs of workers whose incarnation or end is in doubt', () => {
  // The session with the earlier incarnation was refused for its lower token, and took that for silence.
  it('frees no run of an earlier incarnation that the next one still runs (TWICE)', async () => {
    let seenToken = 0
    let isFirst = true
    const { waitForLoss, sessionOf, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@1', (record, clock) => ({
      poll: async (req: WorkerPollRequest) => {
        await clock.sleep(ANSWER_MS)
        if (record.born === 1 && isFirst) {
          isFirst = false
          throw new Error('lost')
        }
        if (req.token < seenToken) return { refusal: 'fenced' as const }
        seenToken = req.token
        await clock.sleep(req.waitMs)
        return { refusal: null, clockMs: clock.now(), born: 2, running: [RUNNING], ended: [], hasMoreEnds: false }
      },
      stop: async (_req, timeoutMs) => {
        await clock.sleep(timeoutMs)
        throw new Error('no answer')
      }
    }))
    expect(await waitForLoss('w@1', 6000)).to.equal(null)
    expect(sessionOf('w@1').goneReason).to.be.a('string')
    stop()
  })

  it('frees no run that the next incarnation goes on with after it has confirmed the stop (TWICE)', async () => {
    let stoppedAt = Number.POSITIVE_INFINITY
    const { clock, registry, waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@1', (_record, clock) => ({
      poll: async (req: WorkerPollRequest) => {
        await clock.sleep(ANSWER_MS)
        const isEnded = clock.now() - stoppedAt >= STOP_GRACE_MS
        if (!isEnded) await clock.sleep(Math.min(req.waitMs, STOP_GRACE_MS))
        const ended = [{ seq: 1, task: TASK, run: 1, outcome: 'stopped' as const, checkpoint: '' }]
        return { refusal: null, clockMs: clock.now(), born: 2, running: isEnded ? [] : [RUNNING], ended: isEnded ? ended : [], hasMoreEnds: false }
      },
      stop: async () => {
        await clock.sleep(ANSWER_MS)
        stoppedAt = Math.min(stoppedAt, clock.now())
        return { refusal: null, clockMs: clock.now() }
      }
    }))
    await clock.advance(100)
    expect(stoppedAt).to.be.below(clock.now())
    expect(await waitForLoss('w@1', STOP_GRACE_MS - 100)).to.equal(null)
    await clock.advance(STOP_GRACE_MS)
    const ends = [...registry.takeSessionsWithEnds()].flatMap((session) => session.takeRunEnds().ends)
    expect(ends).to.deep.include({ task: TASK, run: 1, worker: 'w@1', outcome: 'stopped', checkpoint: '' })
    stop()
  })

  // Such a worker was taken to hold the longest lease, although it had been called for hours.
  it('frees the runs of a silent worker that restarted long ago after a lease', async () => {
    let isUp = true
    const { clock, waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@2', (_record, clock) => ({
      poll: async (req: WorkerPollRequest, timeoutMs: number) => {
        await clock.sleep(isUp ? ANSWER_MS + req.waitMs : timeoutMs)
        if (!isUp) throw new Error('no answer')
        return { refusal: null, clockMs: clock.now(), born: 2, running: [RUNNING], ended: [], hasMoreEnds: false }
      }
    }), 60_000)
    await clock.advance(1000)
    isUp = false
    expect(await waitForLoss('w@2', 20_000)).to.be.within(2000, 4000)
    stop()
  })

  it('waits for the longest lease when the worker has just restarted under its id', async () => {
    const { waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@2', (_record, clock) => {
      let isFirst = true
      return {
        poll: async (_req: WorkerPollRequest, timeoutMs: number) => {
          await clock.sleep(isFirst ? ANSWER_MS : timeoutMs)
          if (!isFirst) throw new Error('no answer')
          isFirst = false
          return { refusal: null, clockMs: clock.now(), born: 2, running: [RUNNING], ended: [], hasMoreEnds: false }
        }
      }
    }, 1000)
    expect(await waitForLoss('w@2', 20_000)).to.be.above(MAX_WORKER_LEASE_MS)
    stop()
  })

  /** A worker that has answered once, after which it takes a start and is silent. */
  const createCutOffWorker = (startClockMs: (now: number) => number | null) => createTerm([createWorker('w')], null, (_record, clock) => {
    let isFirst = true
    return {
      poll: async (_req: WorkerPollRequest, timeoutMs: number) => {
        await clock.sleep(isFirst ? ANSWER_MS : timeoutMs)
        if (!isFirst) throw new Error('no answer')
        isFirst = false
        return { refusal: null, clockMs: UPTIME_MS + clock.now(), born: 1, running: [], ended: [], hasMoreEnds: false }
      },
      start: async (_req, timeoutMs) => {
        const clockMs = startClockMs(clock.now())
        await clock.sleep(clockMs === null ? timeoutMs : ANSWER_MS)
        if (clockMs === null) throw new Error('no answer')
        return { refusal: null, clockMs }
      }
    }
  })

  it('waits for the longest lease when a next incarnation that nobody has heard of may have taken the start (TWICE)', async () => {
    const { clock, start, waitForLoss, stop } = createCutOffWorker(() => null)
    await clock.advance(100)
    start('w@1')
    expect(await waitForLoss('w@1', 30_000)).to.be.within(MAX_WORKER_LEASE_MS, MAX_WORKER_LEASE_MS + 2000)
    stop()
  })

  it('takes an answer to a start whose clock has begun anew for that of the next incarnation (TWICE)', async () => {
    const { clock, start, waitForLoss, sessionOf, stop } = createCutOffWorker(() => 300)
    await clock.advance(100)
    start('w@1')
    await clock.advance(100)
    expect(sessionOf('w@1')).to.include({ isReincarnated: true, isLive: false })
    expect(await waitForLoss('w@1', 30_000)).to.be.above(MAX_WORKER_LEASE_MS)
    stop()
  })

  it('frees the run of a silent worker after a lease when the worker itself has answered the start', async () => {
    const { clock, start, waitForLoss, stop } = createCutOffWorker((now) => UPTIME_MS + now)
    await clock.advance(100)
    start('w@1')
    expect(await waitForLoss('w@1', 20_000)).to.be.within(2000, 4000)
    stop()
  })

  for (const stepMs of [0, 15_000]) {
    it(`waits for the longest lease of a worker that was lost with the leader that had just placed the run there (TWICE)${stepMs === 0 ? '' : ', also when the wall clock of the next leader is ahead'}`, async () => {
      const { waitForLoss, stop } = createTerm([createWorker('w')], 'w@1', (_record, clock) => ({
        poll: async (_req: WorkerPollRequest, timeoutMs: number) => {
          await clock.sleep(timeoutMs)
          throw new Error('no answer')
        }
      }), 500, stepMs)
      expect(await waitForLoss('w@1', 30_000)).to.be.within(MAX_WORKER_LEASE_MS, MAX_WORKER_LEASE_MS + 3000)
      stop()
    })
  }

  it('frees the runs of an incarnation at once when another worker refuses a stop, whatever its clock reads', async () => {
    const { clock, sessionOf, start, waitForLoss, stop } = createTerm([createWorker('w')], null, (_record, clock) => ({
      poll: async (req: WorkerPollRequest) => {
        await clock.sleep(ANSWER_MS + req.waitMs)
        return { refusal: null, clockMs: UPTIME_MS + clock.now(), born: 1, running: [], ended: [], hasMoreEnds: false }
      },
      start: async (_req, timeoutMs) => {
        await clock.sleep(timeoutMs)
        throw new Error('no answer')
      },
      stop: async () => ({ refusal: 'wrongWorker' as const, clockMs: 300 })
    }))
    await clock.advance(100)
    start('w@1')
    await clock.advance(1000)
    await sessionOf('w@1').stop(TASK, 1)
    expect(sessionOf('w@1').isReincarnated).to.equal(false)
    expect(await waitForLoss('w@1', 30_000)).to.equal(100)
    stop()
  })

  it('waits for a late call and the lease that it grants while the next incarnation has never answered (TWICE)', async () => {
    const { waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@1', (_record, clock) => ({
      poll: async (_req: WorkerPollRequest, timeoutMs: number) => {
        await clock.sleep(timeoutMs)
        throw new Error('no answer')
      }
    }))
    expect(await waitForLoss('w@1', 30_000)).to.be.within(MAX_LATE_CALL_MS + MAX_WORKER_LEASE_MS, MAX_LATE_CALL_MS + MAX_WORKER_LEASE_MS * 1.05)
    stop()
  })

  it('keeps a run that may have reached the incarnation after next once that has ended the next one (TWICE)', async () => {
    const { waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@1', (_record, clock) => ({
      poll: async () => {
        await clock.sleep(ANSWER_MS)
        return { refusal: null, clockMs: clock.now(), born: 3, running: [RUNNING], ended: [], hasMoreEnds: false }
      }
    }))
    expect(await waitForLoss('w@1', 6000)).to.equal(null)
    stop()
  })

  it('frees a run at once when the next incarnation has ended as planned before it answered (LOST, a task waited 22 s)', async () => {
    const { clock, sessionOf, waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@1', (_record, clock) => ({
      poll: async (_req: WorkerPollRequest, timeoutMs: number) => {
        await clock.sleep(timeoutMs)
        throw new Error('no answer')
      }
    }))
    await clock.advance(1000)
    sessionOf('w@2').markGone('an order to the platform has ended it', true)
    expect(await waitForLoss('w@1', 30_000)).to.equal(100)
    stop()
  })

  it('keeps a run that the next incarnation goes on listing since its stops get lost (TWICE)', async () => {
    const { waitForLoss, stop } = createTerm([createWorker('w', { born: 1 }), createWorker('w', { born: 2 })], 'w@1', (_record, clock) => ({
      poll: async (req: WorkerPollRequest) => {
        await clock.sleep(ANSWER_MS + req.waitMs)
        return { refusal: null, clockMs: clock.now(), born: 2, running: [RUNNING], ended: [], hasMoreEnds: false }
      },
      stop: async (_req, timeoutMs) => {
        await clock.sleep(timeoutMs)
        throw new Error('no answer')
      }
    }))
    expect(await waitForLoss('w@1', 30_000)).to.equal(null)
    stop()
  })

  // The numbers of ends begin anew with each incarnation, which may answer the calls that are meant for the last one.
  it('acknowledges no ends to the next incarnation that only the earlier one has listed (TWICE)', async () => {
    let born = 1
    let isUp = true
    const acknowledged: number[] = []
    const { clock, registry, stop } = createTerm([createWorker('w', { born: 1 })], 'w@1', (_record, clock) => ({
      poll: async (req: WorkerPollRequest, timeoutMs: number) => {
        await clock.sleep(isUp ? ANSWER_MS : timeoutMs)
        if (!isUp) throw new Error('no answer')
        if (born === 2) acknowledged.push(req.acknowledgedSeq)
        else if (req.acknowledgedSeq >= 1) await clock.sleep(req.waitMs)
        const ended = born === 1 && req.acknowledgedSeq < 1 ? [{ seq: 1, task: `${JOB}.0.0.9`, run: 1, outcome: 'stopped' as const, checkpoint: '' }] : []
        return { refusal: null, clockMs: clock.now(), born, running: born === 1 ? [RUNNING] : [], ended, hasMoreEnds: false }
      }
    }))
    await clock.advance(50)
    for (const session of registry.takeSessionsWithEnds()) session.acknowledge(session.takeRunEnds().listedSeq)
    await clock.advance(1000)
    isUp = false
    await clock.advance(2000)
    born = 2
    isUp = true
    await clock.advance(2000)
    expect(acknowledged[0]).to.equal(0)
    stop()
  })

  it('keeps the runs of a draining worker that has deregistered, goes on working and answers (TWICE)', async () => {
    const { clock, registry, sessionOf, waitForLoss, stop } = createTerm([createWorker('w', { isDraining: true })], 'w@1', (_record, clock) => ({
      poll: async (req: WorkerPollRequest) => {
        await clock.sleep(ANSWER_MS + req.waitMs)
        return { refusal: null, clockMs: clock.now(), born: 1, running: [RUNNING], ended: [], hasMoreEnds: false }
      }
    }))
    await clock.advance(1000)
    registry.leave('w')
    expect(await waitForLoss('w@1', 6000)).to.equal(null)
    expect(sessionOf('w@1').isLive).to.equal(true)
    stop()
  })
})
