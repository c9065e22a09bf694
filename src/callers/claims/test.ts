import { expect } from 'chai'
import { KEY_RETENTION_MS, MAX_KEY_CLOCK_SKEW_MS } from '../../contracts/constants.js'
import { FleetState } from '../../state/index.js'
import type { ClaimResult } from '../../state/commands.js'

const START = 1_000_000_000

describe('claims', () => {
  let state: FleetState
  let index: number

  beforeEach(() => {
    state = new FleetState()
    index = 0
  })

  function claim (request: string, at = START, created = START): ClaimResult {
    return state.apply(++index, { type: 'claim', at, service: 's', key: 'k', created, request, entry: 'e1' }) as ClaimResult
  }

  function settle (request: string, outcome: 'answered' | 'notRun' | 'unknown', at = START, body = 'aGk='): number {
    const answer = outcome === 'answered' ? { status: 200, headers: {}, body } : null
    return state.apply(++index, { type: 'settle', at, settlements: [{ service: 's', key: 'k', request, outcome, answer }] }) as number
  }

  it('grants a claim only once for a key', () => {
    expect(claim('r1').status).to.equal('granted')
    expect(claim('r2').status).to.equal('running')
  })

  it('grants a claim again to the request that holds it, since the first answer may have been lost', () => {
    claim('r1')
    expect(claim('r1').status).to.equal('granted')
  })

  it('returns the stored answer to a resend', () => {
    claim('r1')
    settle('r1', 'answered')
    expect(claim('r2')).to.deep.equal({ status: 'answered', answer: { status: 200, headers: {}, body: 'aGk=' } })
  })

  it('does not grant the claim again to a request that has ended', () => {
    claim('r1')
    settle('r1', 'unknown')
    expect(claim('r1').status).to.equal('unknown')
  })

  it('releases the key when the request was not run', () => {
    claim('r1')
    settle('r1', 'notRun')
    expect(claim('r2').status).to.equal('granted')
  })

  it('ignores the settlement of a request that does not hold the claim', () => {
    claim('r1')
    expect(settle('r2', 'notRun')).to.equal(0)
    expect(claim('r3').status).to.equal('running')
  })

  it('rejects a key older than the retention', () => {
    expect(claim('r1', START + KEY_RETENTION_MS + 1, START).status).to.equal('expired')
  })

  it('keeps a claim for as long as its key is accepted, even when the caller\'s clock is ahead', () => {
    claim('r1', START, START + MAX_KEY_CLOCK_SKEW_MS)
    settle('r1', 'answered')
    const last = START + MAX_KEY_CLOCK_SKEW_MS + KEY_RETENTION_MS
    expect(claim('r2', last, START + MAX_KEY_CLOCK_SKEW_MS).status).to.equal('answered')
    expect(claim('r3', last + 1, START + MAX_KEY_CLOCK_SKEW_MS).status).to.equal('expired')
  })

  it('limits the stored answers, and reports an unknown outcome once an answer is evicted', () => {
    const body = 'x'.repeat(8 * 1024)
    claim('r1')
    settle('r1', 'answered', START, body)
    for (let other = 0; other < 1100; other += 1) {
      const key = `k${other}`
      state.apply(++index, { type: 'claim', at: START, service: 's', key, created: START, request: key, entry: 'e1' })
      state.apply(++index, { type: 'settle', at: START, settlements: [{ service: 's', key, request: key, outcome: 'answered', answer: { status: 200, headers: {}, body } }] })
    }
    expect(state.data.storedAnswerBytes).to.be.at.most(8 * 1024 * 1024)
    expect(claim('r2').status).to.equal('unknown')
  })

  it('keeps claims and answers in a snapshot', () => {
    claim('r1')
    settle('r1', 'answered')
    const copy = new FleetState()
    copy.restore(state.serialize())
    state = copy
    expect(claim('r2').status).to.equal('answered')
  })
})
