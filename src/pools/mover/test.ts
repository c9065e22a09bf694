import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { createConfig, createJob, createWorker } from '../../batch/fixtures/index.js'
import { createTermContext } from '../../batch/fixtures/termContext.js'
import { EventLog } from '../../logs/eventLog/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import { BatchState } from '../../batch/state/index.js'
import type { BatchCommand } from '../../batch/state/records.js'
import { MachineDrainer } from '../../maintenance/machineDrainer/index.js'
import type { MachineCalls, MachineStatus } from '../../maintenance/types.js'
import { MAX_WORKER_LEASE_MS } from '../../workers/constants.js'
import { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { WorkerCalls, WorkerPollRequest } from '../../workers/types.js'
import type { PoolDemand } from '../machinesNeeded/index.js'
import { PoolMover } from './index.js'

const STANDBY = 'off'
const JOB = '00000000000000aa'
const ORDERS_PER_SECOND = 300
const ANSWER_MS = 5
const ORDER_MS = 200
const IDLE: PoolDemand = { work: [], arrivalRate: 0, longRunningLoad: 0, longRunningSpread: 0, isStarved: false }

/** A mover over a fleet whose workers run nothing. `looks` counts how often the mover asks whether a worker is live. */
function createHarness (machines: readonly MachineStatus[], demands: Readonly<Record<string, PoolDemand>>) {
  const clock = new ManualClock()
  const end = new AbortController()
  const counts = { looks: 0 }
  const moves: string[] = []
  const sessions = machines.filter(({ service, state }) => state === 'up' && service !== STANDBY).map(({ machine, service }) => ({
    key: `${machine}@1`,
    record: { machine, service, isDraining: false },
    get isLive () {
      counts.looks += 1
      return true
    }
  }) as unknown as WorkerSession)
  const context = {
    clock,
    log: new EventLog('test', clock, { writableLength: 0, write: () => {} }),
    signal: end.signal,
    mayOrder: () => true,
    holder: 'a',
    term: 3,
    state: { data: { config: {}, workers: new Map([['w@1', {}]]), jobs: new Map() }, runsOn: () => new Map() }
  } as unknown as TermContext
  const calls: MachineCalls = {
    list: () => Promise.resolve(machines),
    move: (machine, to) => {
      moves.push(`${machine} to ${to}`)
      return Promise.resolve('accepted')
    },
    startMaintenance: () => Promise.resolve('accepted')
  }
  const drainer = { begin: () => {}, end: () => {}, isEmpty: () => true, advance: () => true } as unknown as MachineDrainer
  const registry = { sessions, sessionsOn: () => [], markMachineGone: () => {}, hasWaitingFirstPolls: false, hasUntriedWorker: () => false } as unknown as WorkerRegistry
  const mover = new PoolMover(context, registry, calls, drainer, {
    services: () => new Set(Object.keys(demands)),
    standby: () => STANDBY,
    demandOf: (service) => demands[service] ?? IDLE,
    isInMaintenance: () => false,
    ordersPerSecond: ORDERS_PER_SECOND
  })
  void mover.run()
  return { clock, counts, moves, sessions, end }
}

/** A mover with the sessions of real workers that answer at once; each order is answered, without effect, after a while. */
function createTerm (listed: readonly MachineStatus[]) {
  const clock = new ManualClock()
  const state = new BatchState()
  const end = new AbortController()
  const apply = (command: unknown): unknown => state.apply(0, command as BatchCommand)
  const context = createTermContext(clock, state, { term: 2, signal: end.signal })
  const silent = new Set<string>()
  const poll = async (id: string, { waitMs }: WorkerPollRequest, timeoutMs: number) => {
    await clock.sleep(silent.has(id) ? timeoutMs : ANSWER_MS + waitMs)
    if (silent.has(id)) throw new Error('no answer')
    return { refusal: null, clockMs: clock.now(), born: 1, running: [], ended: [] }
  }
  const registry = new WorkerRegistry(context, { connect: ({ id }) => ({ poll: (req: WorkerPollRequest, timeoutMs: number) => poll(id, req, timeoutMs), stop: () => Promise.reject(new Error('no answer')), close: () => {} }) as unknown as WorkerCalls, countCallers: () => 1, maxLeaseMs: MAX_WORKER_LEASE_MS }, () => {})
  const moves: string[] = []
  const calls: MachineCalls = {
    list: () => Promise.resolve(listed),
    move: async (machine, to) => {
      moves.push(`${machine} to ${to}`)
      await clock.sleep(ORDER_MS)
      return 'accepted'
    },
    startMaintenance: () => Promise.resolve('busy')
  }
  apply({ type: 'configure', at: 0, config: createConfig(1) })
  const mover = new PoolMover(context, registry, calls, new MachineDrainer(context, registry, () => false), {
    services: () => new Set(['booth', 'line']),
    standby: () => STANDBY,
    demandOf: (service) => service === 'booth' ? { ...IDLE, arrivalRate: 1.7 } : IDLE,
    isInMaintenance: () => false,
    ordersPerSecond: ORDERS_PER_SECOND
  })
  void mover.run()
  const report = (id: string, service: string): void => {
    const { isDraining: _, ...record } = createWorker(id, { service })
    void registry.report({ ...record, state: 'ready', drainLeftMs: null, sequence: clock.now() })
  }
  const place = (worker: string): void => {
    apply({ type: 'accept', at: clock.wall(), jobs: [createJob(JOB)] })
    apply({ type: 'place', at: clock.wall(), placements: [{ task: `${JOB}.0.0.0`, run: 1, worker }] })
  }
  return { clock, moves, registry, report, place, silence: (id: string) => { silent.add(id) }, end: () => { end.abort(); registry.end() } }
}

function createMachines (prefix: string, count: number, service: string, state: MachineStatus['state'] = 'up'): MachineStatus[] {
  return Array.from({ length: count }, (_, i) => ({ machine: `${prefix}${i}`, service, state, worker: '' }))
}

describe('PoolMover', () => {
  it('moves powered-off machines to a pool that is short, and counts those under way', async () => {
    const { clock, moves, end } = createHarness([...createMachines('a', 2, 'booth'), ...createMachines('p', 5, STANDBY)], { booth: { ...IDLE, arrivalRate: 3.4 } })
    await clock.advance(1500)
    end.abort()
    expect(moves.sort()).to.deep.equal(['p3 to booth', 'p4 to booth'])
  })

  // Pools of hundreds of machines followed their demand with 100 moves a second, however many the platform accepts.
  it('moves as many machines a second to a pool that is short as the platform accepts, and no more', async () => {
    const { clock, moves, end } = createHarness([...createMachines('a', 2, 'booth'), ...createMachines('p', 900, STANDBY)], { booth: { ...IDLE, arrivalRate: 700 } })
    await clock.advance(1000)
    const before = moves.length
    await clock.advance(500)
    end.abort()
    expect(moves.length - before).to.be.within(ORDERS_PER_SECOND * 0.5 * 0.75, ORDERS_PER_SECOND * 0.5)
  })

  it('looks at each worker once a cycle, however many machines are moving', async () => {
    const { clock, counts, sessions, end } = createHarness([...createMachines('a', 200, 'booth'), ...createMachines('m', 150, 'booth', 'moving')], { booth: { ...IDLE, arrivalRate: 300 }, line: IDLE })
    await clock.advance(600)
    counts.looks = 0
    await clock.advance(1200)
    end.abort()
    expect(counts.looks).to.be.within(sessions.length, 11 * sessions.length)
  })

  // A late order of an earlier leader had moved the machine already.
  it('leaves the worker alone that is in the pool already to which its machine is ordered to move', async () => {
    const { clock, moves, registry, report, end } = createTerm(createMachines('m-w', 1, STANDBY))
    for (let i = 0; moves.length === 0 && i < 500; i++) await clock.advance(20)
    report('w0', 'booth')
    await clock.advance(ORDER_MS + 50)
    expect(moves).to.deep.equal(['m-w0 to booth'])
    const session = registry.sessionOf('w0@1')
    expect(session?.goneReason).to.equal(null)
    await clock.advance(2000)
    expect(session?.isLive).to.equal(true)
    end()
  })

  // A list may be 12 s old, and a late order of an earlier leader may have been carried out since.
  it('moves no machine with runs that an old list shows as powered off, although its worker does not answer (work lost)', async () => {
    const { clock, moves, report, silence, place, end } = createTerm(createMachines('m-w', 2, STANDBY))
    report('w0', 'booth')
    await clock.advance(50)
    place('w0@1')
    silence('w0')
    await clock.advance(2400)
    expect(moves).to.deep.equal(['m-w1 to booth'])
    end()
  })

  it('marks the worker as gone at once whose machine has moved to another pool', async () => {
    const { clock, moves, registry, report, end } = createTerm([])
    for (const id of ['w0', 'w1', 'w2']) report(id, 'line')
    for (let i = 0; moves.length === 0 && i < 500; i++) await clock.advance(20)
    await clock.advance(ORDER_MS + 50)
    expect(moves[0]).to.match(/^m-w. to booth$/)
    expect(registry.sessionOf(`${moves[0]?.slice(2, 4)}@1`)?.goneReason).to.be.a('string')
    end()
  })
})
