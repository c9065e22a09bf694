import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { REGIONAL_TIMINGS } from '../constants.js'
import type { ReplicaState } from '../replica/state.js'
import type { Member, VoteRequest, VoteResponse } from '../types.js'
import { Election } from './index.js'

const { electionMinMs, electionMaxMs, heartbeatMs } = REGIONAL_TIMINGS
const JITTER = 0.5
const TIMEOUT_MS = electionMinMs + JITTER * (electionMaxMs - electionMinMs)
const VOTE_TIMEOUT_MS = 500

type Answer = (req: VoteRequest) => Promise<VoteResponse>

/** Member `a` of a group of five. */
function createHarness (answers: Readonly<Record<string, Answer>>) {
  const clock = new ManualClock()
  const startedAt = clock.now()
  const end = new AbortController()
  const rounds: Array<{ readonly at: number, readonly peer: string, readonly isPreVote: boolean }> = []
  const members = ['a', 'b', 'c', 'd', 'e'].map((id): Member => ({ id, instance: id, address: id, role: 'voter' }))
  let electedAt: number | null = null
  const state = {
    term: 3,
    votedFor: null,
    role: 'follower',
    isVoter: true,
    instance: 'a',
    self: members[0],
    leader: members[4] as Member | null,
    lastLeaderContactAt: clock.now(),
    log: { members, lastIndex: 9, lastTerm: 3 },
    adoptTerm: () => Promise.resolve(),
    saveVote: () => Promise.resolve(),
    isUpToDate: () => true,
    onChange: () => {}
  }
  const election = new Election({
    state: state as unknown as ReplicaState,
    clock,
    timings: REGIONAL_TIMINGS,
    random: () => JITTER,
    onElected: () => { electedAt = clock.now() - startedAt },
    reportFailure: (work) => { void work },
    transport: {
      vote: (peer: Member, req: VoteRequest) => {
        rounds.push({ at: clock.now() - startedAt, peer: peer.id, isPreVote: req.pre })
        return (answers[peer.id] as Answer)(req)
      }
    } as never
  })
  const run = (): void => { void election.run(end.signal) }
  return { clock, state, election, rounds, run, electedAt: () => electedAt, stop: () => { end.abort() } }
}

const grant: Answer = ({ term }) => Promise.resolve({ term: term - 1, granted: true })

describe('Election', () => {
  it('begins an election timeout after the last contact with the leader, whenever that was', async () => {
    const { clock, state, rounds, run, electedAt, stop } = createHarness({ b: grant, c: grant, d: grant, e: grant })
    run()
    for (let at = 0; at < 400; at += 100) {
      await clock.advance(100)
      state.lastLeaderContactAt = clock.now()
    }
    await clock.advance(TIMEOUT_MS - 1)
    expect(rounds).to.deep.equal([])
    await clock.advance(2)
    expect(rounds[0]?.at).to.equal(400 + TIMEOUT_MS)
    expect(electedAt()).to.equal(400 + TIMEOUT_MS)
    stop()
  })

  it('asks again when lost members leave a round undecided, before their calls time out', async () => {
    const clockOf: { clock?: ManualClock } = {}
    const lost: Answer = async () => {
      await clockOf.clock?.sleep(VOTE_TIMEOUT_MS)
      throw new Error('no answer')
    }
    // The vote of `c` is needed, and it has heard the lost leader last.
    let refusals = 1
    const late: Answer = ({ term }) => Promise.resolve({ term: term - 1, granted: refusals-- <= 0 })
    const { clock, run, electedAt, stop } = createHarness({ b: grant, c: late, d: lost, e: lost })
    clockOf.clock = clock
    run()
    await clock.advance(3000)
    expect(electedAt()).to.be.at.most(TIMEOUT_MS + heartbeatMs + electionMaxMs - electionMinMs)
    stop()
  })

  it('counts the votes of a slow round that the next one has overtaken', async () => {
    const clockOf: { clock?: ManualClock } = {}
    const slow: Answer = async (req) => {
      await clockOf.clock?.sleep(2 * heartbeatMs)
      return await grant(req)
    }
    const { clock, run, electedAt, rounds, stop } = createHarness({ b: slow, c: slow, d: slow, e: slow })
    clockOf.clock = clock
    run()
    await clock.advance(3000)
    expect(electedAt()).to.be.a('number')
    expect(new Set(rounds.filter(({ isPreVote }) => isPreVote).map(({ at }) => at)).size).to.be.above(1)
    stop()
  })

  it('grants no pre-vote within an election timeout of the start of its process, when it may have confirmed a leader', async () => {
    const { clock, election } = createHarness({})
    const req: VoteRequest = { term: 4, candidate: 'b', target: 'a', lastIndex: 9, lastTerm: 3, pre: true }
    await clock.advance(electionMinMs - 1)
    expect((await election.answer(req)).granted).to.equal(false)
    await clock.advance(1)
    expect((await election.answer(req)).granted).to.equal(true)
  })
})
