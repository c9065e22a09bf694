/** Runs leader elections with pre-votes and randomized timeouts. */
import type { Clock } from '../../clock/index.js'
import { votersOf } from '../membership/index.js'
import type { ReplicaState } from '../replica/state.js'
import type { ConsensusTimings, Member, PeerTransport, VoteRequest, VoteResponse } from '../types.js'

/** Dependencies of {@link Election}. */
export interface ElectionDeps {
  readonly state: ReplicaState
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly timings: ConsensusTimings
  /** Returns a number in [0, 1). */
  readonly random: () => number
  /** Called once this member has won an election. */
  readonly onElected: () => void
  /** Reports the failure of work that nothing waits for. */
  readonly reportFailure: (work: Promise<unknown>) => void
}

/** Starts the elections of one member and answers the vote requests of others. */
export class Election {
  readonly #deps: ElectionDeps

  /** @param deps - state and dependencies of the member */
  constructor (deps: ElectionDeps) {
    this.#deps = deps
  }

  /**
   * Starts an election whenever there was no contact with a leader for a random timeout, until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, state, timings, random } = this.#deps
    let hasLost = false
    while (!signal.aborted) {
      const jitterMs = random() * (timings.electionMaxMs - timings.electionMinMs)
      const timeoutMs = timings.electionMinMs + jitterMs
      const remainingMs = Math.min(timeoutMs, state.lastLeaderContactAt + timeoutMs - clock.now())
      // After a lost election, waits only for the jitter: there is still no leader, and other candidates wait no longer.
      await clock.sleep(hasLost || remainingMs <= 0 ? jitterMs : remainingMs, signal)
      hasLost = false
      if (signal.aborted) return
      if (state.role === 'leader' || !state.isVoter) continue
      if (clock.now() - state.lastLeaderContactAt < timeoutMs) continue
      await this.#startElection()
      hasLost = state.leader === null
    }
  }

  /**
   * Answers a vote or pre-vote request.
   *
   * @param req - the request
   * @returns the answer; a granted vote is durable by then
   */
  async answer (req: VoteRequest): Promise<VoteResponse> {
    const { state } = this.#deps
    if (req.target !== state.instance) return { term: state.term, granted: false }
    if (req.pre) return { term: state.term, granted: this.#canGrantPreVote(req) }
    await state.adoptTerm(req.term)
    const canVote = state.votedFor === null || state.votedFor === req.candidate
    if (req.term < state.term || !canVote || !state.isUpToDate(req.lastIndex, req.lastTerm)) {
      return { term: state.term, granted: false }
    }
    state.votedFor = req.candidate
    state.lastLeaderContactAt = this.#deps.clock.now()
    await state.saveVote()
    return { term: state.term, granted: state.term === req.term }
  }

  /**
   * Starts an election without a pre-vote because the leader has resigned in favour of this member.
   *
   * @param term - term of the leader that resigned; in any other term the call has no effect
   */
  async startElectionNow (term: number): Promise<void> {
    const { state } = this.#deps
    if (state.role === 'leader' || !state.isVoter || state.term !== term) return
    await this.#runElection(term + 1)
  }

  #canGrantPreVote (req: VoteRequest): boolean {
    const { clock, state, timings } = this.#deps
    if (state.role === 'leader') return false
    const hasLeader = clock.now() - state.lastLeaderContactAt < timings.electionMinMs
    return req.term > state.term && !hasLeader && state.isUpToDate(req.lastIndex, req.lastTerm)
  }

  /** Runs a pre-vote, and the election itself if a quorum would grant its votes. */
  async #startElection (): Promise<void> {
    const { clock, state, timings, reportFailure } = this.#deps
    const termBefore = state.term
    let isDecided = false
    const election = this.#requestVotes(termBefore + 1, true).then(async (isGranted) => {
      isDecided = true
      if (isGranted && state.term === termBefore && state.role !== 'leader' && !this.#hasRecentLeader()) await this.#runElection(termBefore + 1)
    })
    reportFailure(election)
    // Lost members leave a round undecided until their calls time out, although the others may grant the next one.
    await Promise.race([election, clock.sleep(timings.heartbeatMs)])
    if (isDecided) await election
  }

  async #runElection (term: number): Promise<void> {
    const { state } = this.#deps
    state.term = term
    state.votedFor = state.instance
    state.role = 'candidate'
    state.leader = null
    await state.saveVote()
    if (!await this.#requestVotes(term, false)) return
    if (state.term !== term || state.role !== 'candidate') return
    state.role = 'leader'
    state.leader = state.self
    this.#deps.onElected()
    state.onChange()
  }

  #hasRecentLeader (): boolean {
    const { clock, state, timings } = this.#deps
    return clock.now() - state.lastLeaderContactAt < timings.electionMinMs
  }

  /** Requests the votes of all voters in parallel; resolves to whether a quorum grants them, as soon as that is decided. */
  #requestVotes (term: number, pre: boolean): Promise<boolean> {
    const { state } = this.#deps
    const voters = votersOf(state.log.members)
    const others = voters.filter((member) => member.instance !== state.instance)
    const needed = Math.floor(voters.length / 2) + 1
    let granted = voters.length - others.length
    let outstanding = others.length
    if (granted >= needed) return Promise.resolve(true)
    return new Promise((resolve) => {
      for (const peer of others) {
        void this.#requestVote(peer, term, pre).then((isGranted) => {
          outstanding -= 1
          if (isGranted) granted += 1
          if (granted >= needed) resolve(true)
          else if (granted + outstanding < needed) resolve(false)
        })
      }
    })
  }

  async #requestVote (peer: Member, term: number, pre: boolean): Promise<boolean> {
    const { state, transport } = this.#deps
    const { lastIndex, lastTerm } = state.log
    try {
      const res = await transport.vote(peer, { term, candidate: state.instance, target: peer.instance, lastIndex, lastTerm, pre })
      await state.adoptTerm(res.term)
      return res.granted
    } catch {
      return false
    }
  }
}
