import { expect } from 'chai'
import fc from 'fast-check'
import { planStarts, type PlannedStart, type PoolWorker, type StartGroup } from '../planStarts/index.js'
import type { Step } from '../types.js'
import { createPlaceWaitFixture, type FixtureOptions } from './fixture.js'
import { MAX_PLACE_WAIT_MS } from './index.js'

/** Runs near its data for 390 ms, and three times as long elsewhere. */
const NEAR: Partial<Step> = { dataRack: 'r1', estimateMs: 300 }

type Fixture = ReturnType<typeof createPlaceWaitFixture>

function plan ({ placeWait, listWorkers }: Fixture, groups: readonly StartGroup[], workers: PoolWorker[] = listWorkers()): PlannedStart[] {
  return planStarts(workers, groups, undefined, placeWait.beginCycle('booth'))
}

/** A term in which the near workers are full until `leftMs` from now. */
async function createBusyRack (leftMs: readonly [number, number], options: FixtureOptions = {}): Promise<Fixture> {
  const fixture = createPlaceWaitFixture(options)
  await fixture.begin()
  fixture.occupy('n0', leftMs[0])
  fixture.occupy('n1', leftMs[1])
  return fixture
}

describe('PlaceWait', () => {
  it('waits while a place near the data is expected before a start elsewhere would catch up', async () => {
    const fixture = await createBusyRack([200, 5000])
    expect(plan(fixture, fixture.listGroups(fixture.accept(NEAR)))).to.deep.equal([])
  })

  it('starts elsewhere at once when no near place comes free in time', async () => {
    const fixture = await createBusyRack([4000, 5000])
    const starts = plan(fixture, fixture.listGroups(fixture.accept(NEAR)))
    expect(starts.map(({ worker }) => worker[0])).to.deep.equal(['f'])
    expect(fixture.placeWait.waitOf('0000000000000003.0.0.0')).to.equal(null)
  })

  it('takes a near place that is free without a wait', async () => {
    const fixture = createPlaceWaitFixture()
    await fixture.begin()
    expect(plan(fixture, fixture.listGroups(fixture.accept(NEAR))).map(({ worker }) => worker[0])).to.deep.equal(['n'])
  })

  it('tells what a task waits for and until when, and no more once the time is over', async () => {
    const fixture = await createBusyRack([200, 5000])
    const id = fixture.accept(NEAR)
    plan(fixture, fixture.listGroups(id))
    const wall = fixture.clock.wall()
    expect(fixture.placeWait.waitOf(`${id}.0.0.0`)).to.include({ rack: 'r1', sinceWall: wall, untilWall: wall + 780 })
    expect(fixture.placeWait.waitOf('no task')).to.equal(null)
    await fixture.clock.advance(800)
    expect(fixture.placeWait.waitOf(`${id}.0.0.0`)).to.equal(null)
  })

  it('ends a wait at once when the run that it counted on is overdue, and does not wait again before the next run', async () => {
    const fixture = createPlaceWaitFixture()
    await fixture.begin()
    fixture.occupy('n1', 60_000, { estimateMs: 60_000 })
    // Expected after 13 s; with its spread, overdue after 19.5 s.
    const overdue = fixture.occupy('n0', -6400)
    const [id, later] = [fixture.accept(NEAR), fixture.accept(NEAR)]
    expect(plan(fixture, fixture.listGroups(id))).to.deep.equal([])
    await fixture.clock.advance(200)
    expect(plan(fixture, fixture.listGroups(id)).map(({ worker }) => worker[0])).to.deep.equal(['f'])
    fixture.state.apply(6, { type: 'end', at: fixture.clock.wall(), ends: [{ task: overdue, run: 1, worker: 'n0@1', outcome: 'done', checkpoint: '' }] })
    fixture.occupy('n0', 100)
    expect(plan(fixture, [...fixture.listGroups(id), ...fixture.listGroups(later)]).map(({ task }) => task)).to.deep.equal([`${id}.0.0.0`])
  })

  const FORBIDDEN: ReadonlyArray<readonly [string, FixtureOptions, Partial<Step>, Partial<PoolWorker>]> = [
    ['for a long-running task', {}, { isLasting: true }, {}],
    ['for a filler task', {}, { isFiller: true }, {}],
    ['at the start of a term, when nothing is known of earlier waits', { termMs: 2900 }, {}, {}],
    ['when a far run takes no longer', { penalty: 1 }, {}, {}],
    ['past the objective of the job', { queue: { targetLatencyMs: 0, slackFactor: 1 } }, {}, {}],
    ['for a slow worker', {}, {}, { slowdown: 1.6 }],
    ['for a worker on probation', {}, {}, { startsLeft: 1 }],
    ['for a worker with a task on trial', {}, {}, { trialJob: 'other' }],
    ['for a worker without the required label', {}, { label: 'r2' }, {}],
    ['for a rack without workers', {}, { dataRack: 'r9' }, {}]
  ]
  for (const [name, options, step, changes] of FORBIDDEN) {
    it(`never waits ${name}`, async () => {
      const fixture = await createBusyRack([100, 100], options)
      expect(plan(fixture, fixture.listGroups(fixture.accept({ ...NEAR, ...step })), fixture.listWorkers(changes))).to.have.length(1)
    })
  }

  it('never waits for a worker on which the task has failed, nor with a suspected task', async () => {
    const fixture = await createBusyRack([100, 5000])
    const id = fixture.accept(NEAR)
    expect(plan(fixture, fixture.listGroups(id, null, ['n0@1']))).to.have.length(1)
    expect(plan(fixture, fixture.listGroups(id, id))).to.have.length(1)
  })

  it('does not count on a long-running task to end', async () => {
    const fixture = createPlaceWaitFixture()
    await fixture.begin()
    for (const worker of ['n0', 'n1']) fixture.occupy(worker, 100, { isLasting: true })
    expect(plan(fixture, fixture.listGroups(fixture.accept(NEAR)))).to.have.length(1)
  })

  it('starts elsewhere as soon as the rack is drained', async () => {
    const fixture = await createBusyRack([200, 200])
    const id = fixture.accept(NEAR)
    expect(plan(fixture, fixture.listGroups(id))).to.deep.equal([])
    expect(plan(fixture, fixture.listGroups(id), fixture.listWorkers().slice(2))).to.have.length(1)
  })

  it('lets only as many tasks wait for a hot rack as find a place there in time', async () => {
    const fixture = await createBusyRack([200, 5000])
    const starts = plan(fixture, fixture.listGroups(fixture.accept({ ...NEAR, count: 10 })))
    // One worker has 4 places after 200 ms, the same again after 590 ms, and then after 980 ms, when a start elsewhere has long caught up.
    expect(starts).to.have.length(2)
    expect(starts.every(({ worker }) => worker.startsWith('f'))).to.equal(true)
  })

  it('reserves nothing: others take what a task waits for, and start as if it were not there', async () => {
    const fixture = createPlaceWaitFixture()
    await fixture.begin()
    fixture.occupy('n0', 200, { cpu: 2000, memory: 100 })
    fixture.occupy('n1', 5000)
    const waiting = fixture.listGroups(fixture.accept({ ...NEAR, cpu: 4000 }))
    const others = fixture.listGroups(fixture.accept({ count: 10, memory: 10 }))
    expect(plan(fixture, [...waiting, ...others])).to.have.length(10)
  })

  it('is not asked about tasks that prefer no rack', async () => {
    const fixture = await createBusyRack([200, 200])
    let asked = 0
    planStarts(fixture.listWorkers(), fixture.listGroups(fixture.accept({ count: 5 })), undefined, { shouldWait: () => { asked += 1; return true } })
    expect(asked).to.equal(0)
  })

  describe('for a gang that prefers one rack', () => {
    const GANG: Partial<Step> = { isGang: true, prefersOneRack: true, count: 6, estimateMs: 300 }

    it('takes a rack with room for all of it', async () => {
      const fixture = createPlaceWaitFixture()
      await fixture.begin()
      fixture.occupy('n0', 5000, { cpu: 1000 })
      expect(new Set(plan(fixture, fixture.listGroups(fixture.accept({ ...GANG, count: 8 }))).map(({ worker }) => worker[0]))).to.deep.equal(new Set(['f']))
    })

    it('waits until one rack has room for all of it, rather than start on two', async () => {
      const fixture = createPlaceWaitFixture()
      await fixture.begin()
      fixture.occupy('n0', 200, { memory: 100 })
      fixture.occupy('f0', 5000, { memory: 100 })
      const id = fixture.accept(GANG)
      expect(plan(fixture, fixture.listGroups(id))).to.deep.equal([])
      expect(fixture.placeWait.waitOf(`${id}.0.0.5`)).to.include({ rack: '' })
    })

    it('starts on two racks when neither has room in time', async () => {
      const fixture = createPlaceWaitFixture()
      await fixture.begin()
      fixture.occupy('n0', 4000, { memory: 100 })
      fixture.occupy('f0', 5000, { memory: 100 })
      expect(plan(fixture, fixture.listGroups(fixture.accept(GANG)))).to.have.length(6)
    })
  })

  it('starts each task within the bound, and completes it no later than a start elsewhere at once by more than the bound', async () => {
    const arrival = fc.record({ atMs: fc.integer({ min: 0, max: 1500 }), estimateMs: fc.integer({ min: 50, max: 2000 }), count: fc.integer({ min: 1, max: 3 }), isNear: fc.boolean() })
    const run = fc.record({ worker: fc.constantFrom('n0', 'n1'), leftMs: fc.integer({ min: -5000, max: 2000 }) })
    await fc.assert(fc.asyncProperty(fc.array(arrival, { minLength: 1, maxLength: 8 }), fc.array(run, { maxLength: 2 }), async (arrivals, runs) => {
      const fixture = createPlaceWaitFixture()
      await fixture.begin()
      for (const { worker, leftMs } of runs) fixture.occupy(worker, leftMs)
      const waiting = new Map<string, { readonly group: StartGroup, readonly since: number }>()
      for (let at = 0; at <= 1500 + 2 * MAX_PLACE_WAIT_MS; at += 20) {
        for (const { atMs, estimateMs, count, isNear } of arrivals) {
          if (atMs < at - 19 || atMs > at) continue
          const id = fixture.accept({ estimateMs, count, dataRack: isNear ? 'r1' : '', cpu: 10, memory: 10 })
          for (const group of fixture.listGroups(id)) waiting.set(group.members[0]?.task as string, { group, since: at })
        }
        // The far workers have room for all of them, so that whoever does not start has chosen to wait.
        const groups = [...waiting.values()].map(({ group }) => group)
        const starts = plan(fixture, groups)
        const started = new Set(starts.map(({ task }) => task))
        for (const [task, { group: { members: [member] }, since }] of waiting) {
          if (member?.step.dataRack === '') expect(started.has(task)).to.equal(true)
          if (started.has(task)) expect(at - since).to.be.at.most(Math.min(MAX_PLACE_WAIT_MS, 2 * 1.3 * (member?.step.estimateMs ?? 0)) + 20)
          if (!started.has(task)) expect(at - since).to.be.at.most(MAX_PLACE_WAIT_MS)
        }
        if (starts.length > 0) fixture.state.apply(5, { type: 'place', at: fixture.clock.wall(), placements: starts.map(({ task, worker }) => ({ task, worker, run: 1 })) })
        for (const task of started) waiting.delete(task)
        await fixture.clock.advance(20)
      }
      expect([...waiting.keys()]).to.deep.equal([])
    }), { seed: 43, numRuns: 60 })
  })

  it('starts all others exactly as if the tasks that wait were not there', async () => {
    const job = fc.record({ cpu: fc.integer({ min: 100, max: 4000 }), count: fc.integer({ min: 1, max: 4 }), estimateMs: fc.integer({ min: 50, max: 2000 }), isNear: fc.boolean() })
    await fc.assert(fc.asyncProperty(fc.array(job, { minLength: 1, maxLength: 8 }), fc.integer({ min: 10, max: 1500 }), async (jobs, leftMs) => {
      const fixture = await createBusyRack([leftMs, leftMs])
      const groups = jobs.flatMap(({ cpu, count, estimateMs, isNear }) => fixture.listGroups(fixture.accept({ cpu, count, estimateMs, dataRack: isNear ? 'r1' : '' })))
      const waiting = new Set<StartGroup>()
      const cycle = fixture.placeWait.beginCycle('booth')
      const starts = planStarts(fixture.listWorkers(), groups, undefined, {
        shouldWait: (group, chosen, available) => {
          const isWaiting = cycle.shouldWait(group, chosen, available)
          if (isWaiting) waiting.add(group)
          return isWaiting
        }
      })
      expect(cycle.waitingCount).to.equal(waiting.size)
      expect(starts).to.deep.equal(planStarts(fixture.listWorkers(), groups.filter((group) => !waiting.has(group))))
    }), { seed: 44, numRuns: 200 })
  })
})
