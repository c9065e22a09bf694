import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import type { MachineDrainer } from '../../maintenance/machineDrainer/index.js'
import type { MachineCalls, MachineStatus } from '../../maintenance/types.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { PoolDemand } from '../machinesNeeded/index.js'
import { PoolMover } from './index.js'

const STANDBY = 'off'
const ORDERS_PER_SECOND = 300
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
  const registry = { sessions, markMachineGone: () => {}, hasWaitingFirstPolls: false, hasUntriedWorker: () => false } as unknown as WorkerRegistry
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
})
