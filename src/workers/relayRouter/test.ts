import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { RemoteClock } from '../../clock/remoteClock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { RelayLostError, RelayRouter, type RelayMember } from './index.js'

const RELAYS = ['a:1', 'b:1', 'c:1', 'd:1']
const WORKERS = Array.from({ length: 100 }, (_, i) => `w${i}@1`)

function createHarness (addresses: readonly string[] = RELAYS) {
  const clock = new ManualClock()
  const lost = new Set<string>()
  const confirmedAt = new Map<string, number>()
  const listMembers = (): RelayMember[] => addresses.map((address) => {
    if (!lost.has(address)) confirmedAt.set(address, clock.now())
    return { address, confirmedAt: confirmedAt.get(address) ?? Number.NEGATIVE_INFINITY, clock: null }
  })
  const router = new RelayRouter(clock, new EventLog('test', clock, { writableLength: 0, write: () => {} }), listMembers)
  const routeAll = () => WORKERS.map((worker) => router.route(worker))
  const countWorkers = () => {
    const counts: Record<string, number> = {}
    for (const route of routeAll()) counts[String(route)] = (counts[String(route)] ?? 0) + 1
    return counts
  }
  return { clock, lost, router, routeAll, countWorkers }
}

describe('RelayRouter', () => {
  it('spreads the workers evenly and keeps each at its relay', async () => {
    const { clock, routeAll, countWorkers } = createHarness()
    expect(countWorkers()).to.deep.equal({ 'a:1': 25, 'b:1': 25, 'c:1': 25, 'd:1': 25 })
    const routes = routeAll()
    for (let i = 0; i < 5; i++) {
      await clock.advance(200)
      expect(routeAll()).to.deep.equal(routes)
    }
  })

  it('keeps a few workers where they are, although they can not be spread evenly', () => {
    const { router } = createHarness()
    const few = WORKERS.slice(0, 5)
    const routes = few.map((worker) => router.route(worker))
    for (let i = 0; i < 5; i++) expect(few.map((worker) => router.route(worker))).to.deep.equal(routes)
  })

  it('moves the workers of a lost relay to the others, and gives it workers again when it is back', async () => {
    const { clock, lost, countWorkers } = createHarness()
    countWorkers()
    lost.add('a:1')
    await clock.advance(600)
    expect(countWorkers()).to.have.all.keys('b:1', 'c:1', 'd:1')
    lost.clear()
    await clock.advance(600)
    countWorkers()
    const counts = countWorkers()
    expect(counts).to.have.all.keys(...RELAYS)
    expect(Math.max(...Object.values(counts))).to.be.at.most(32)
  })

  it('ends the calls in flight through a relay as soon as it is lost, and no others', async () => {
    const { clock, lost, router, routeAll } = createHarness(['a:1', 'b:1'])
    routeAll()
    const ends: string[] = []
    for (const address of ['a:1', 'b:1']) void router.track(address, new Promise(() => {})).catch((err: unknown) => { ends.push(`${address} ${(err as Error).name}`) })
    lost.add('a:1')
    await clock.advance(600)
    routeAll()
    await clock.advance(1)
    expect(ends).to.deep.equal([`a:1 ${new RelayLostError('').name}`])
  })

  it('routes around a relay that failed, for a while', async () => {
    const { clock, router, countWorkers } = createHarness()
    countWorkers()
    router.avoid('a:1', 'test')
    expect(countWorkers()).not.to.have.property('a:1')
    await clock.advance(2100)
    countWorkers()
    expect(countWorkers()).to.have.property('a:1')
  })

  it('calls a worker through another relay after one has not reached it', () => {
    const { router } = createHarness(['a:1', 'b:1'])
    const first = router.route('w@1') as string
    router.avoidFor('w@1', first)
    const second = router.route('w@1') as string
    expect(second).not.to.equal(first)
    router.avoidFor('w@1', second)
    expect(router.route('w@1')).to.equal(first)
  })

  it('gives a relay that is back the workers again whose calls have failed with it', async () => {
    const { clock, lost, router, routeAll, countWorkers } = createHarness()
    const before = routeAll()
    lost.add('a:1')
    WORKERS.forEach((worker, i) => { if (before[i] === 'a:1') router.avoidFor(worker, 'a:1') })
    await clock.advance(600)
    expect(countWorkers()).not.to.have.property('a:1')
    lost.clear()
    await clock.advance(600)
    for (const address of ['b:1', 'c:1', 'd:1']) lost.add(address)
    await clock.advance(600)
    expect(countWorkers()).to.deep.equal({ 'a:1': WORKERS.length })
  })

  it('routes nothing while no other member answers', async () => {
    const { clock, lost, router } = createHarness()
    for (const address of RELAYS) lost.add(address)
    expect(router.route('w@1')).to.equal(null)
    lost.clear()
    await clock.advance(100)
    expect(router.route('w@1')).not.to.equal(null)
    for (const address of RELAYS) lost.add(address)
    await clock.advance(600)
    expect(router.route('w@1')).to.equal(null)
    expect(router.routeOf('w@1')).to.equal(null)
  })

  it('tells the deadline of a call on the clock of its relay, also when that is restarted', async () => {
    const clock = new ManualClock(0)
    const relayClock = new RemoteClock(clock)
    const router = new RelayRouter(clock, new EventLog('test', clock, { writableLength: 0, write: () => {} }), () => [{ address: 'a:1', confirmedAt: clock.now(), clock: relayClock }])
    router.route('w@1')
    expect(router.computeDeadline('a:1', 850), 'of a relay of an earlier build').to.equal(null)
    expect(router.computeDeadline('b:1', 850), 'of an unknown relay').to.equal(null)
    relayClock.record({ process: 1, ms: 70_000 })
    expect(router.computeDeadline('a:1', 850)).to.deep.equal({ process: 1, ms: 70_833 })
    await clock.advance(100)
    relayClock.record({ process: 2, ms: 40 })
    expect(router.computeDeadline('a:1', 850)).to.deep.equal({ process: 2, ms: 873 })
  })
})
