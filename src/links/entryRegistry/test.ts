import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { VIEW_LEASE_MS } from '../../contracts/constants.js'
import { EntryRegistry } from './index.js'

describe('EntryRegistry', () => {
  let clock: ManualClock
  let registry: EntryRegistry
  const signal = new AbortController().signal

  beforeEach(() => {
    clock = new ManualClock()
    registry = new EntryRegistry(clock, clock.now(), [])
  })

  function poll (entry: string, rev: number, inFlight: Record<string, number> = {}): void {
    registry.recordPoll({ entry, rev, endpointEpoch: '', endpointRev: 0, inFlight, report: null })
    registry.renewLease(entry)
  }

  it('reports a revision as in force once every entry has acknowledged it', async () => {
    poll('e1', 5)
    poll('e2', 4)
    const waiting = registry.waitUntilInForce(5, signal)
    await clock.advance(100)
    poll('e2', 5)
    await clock.advance(0)
    expect(await waiting).to.deep.equal({ acknowledged: ['e1', 'e2'], fenced: [] })
  })

  it('reports a revision as in force once the lease of an unresponsive entry has expired, and names the entry as fenced', async () => {
    poll('e1', 5)
    poll('e2', 4)
    const waiting = registry.waitUntilInForce(5, signal)
    await clock.advance(VIEW_LEASE_MS * 0.9)
    poll('e1', 5)
    expect(registry.isInForce(5)).to.equal(false)
    await clock.advance(VIEW_LEASE_MS * 0.2)
    expect(await waiting).to.deep.equal({ acknowledged: ['e1'], fenced: ['e2'] })
  })

  it('waits for entries of the previous leader until they poll or their lease has expired', async () => {
    const successor = new EntryRegistry(clock, clock.now(), ['e1', 'e2'])
    expect(successor.isInForce(1)).to.equal(false)
    expect(successor.mayHoldLease('e2')).to.equal(true)
    expect(successor.mayHoldLease('unknown')).to.equal(false)
    successor.recordPoll({ entry: 'e1', rev: 1, endpointEpoch: '', endpointRev: 0, inFlight: {}, report: null })
    successor.renewLease('e1')
    expect(successor.isInForce(1)).to.equal(false)
    await clock.advance(VIEW_LEASE_MS * 1.1)
    expect(successor.isInForce(1)).to.equal(true)
    expect(successor.mayHoldLease('e2')).to.equal(false)
  })

  it('lists entries whose lease expired long ago', async () => {
    poll('e1', 5)
    await clock.advance(VIEW_LEASE_MS * 2)
    expect(registry.listExpired(VIEW_LEASE_MS / 2)).to.deep.equal(['e1'])
    expect(registry.listExpired(VIEW_LEASE_MS * 2)).to.deep.equal([])
  })

  it('counts requests in flight only of entries with a lease', async () => {
    poll('e1', 5, { vm: 2 })
    poll('e2', 5, { vm: 3 })
    expect(registry.countInFlight('vm')).to.equal(5)
    await clock.advance(VIEW_LEASE_MS / 2)
    poll('e1', 5, { vm: 1 })
    await clock.advance(VIEW_LEASE_MS * 0.6)
    expect(registry.countInFlight('vm')).to.equal(1)
  })

  it('removes an entry that leaves', () => {
    poll('e1', 5)
    poll('e2', 4)
    registry.leave('e2')
    expect(registry.isInForce(5)).to.equal(true)
  })
})
