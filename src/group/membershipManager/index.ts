/** Maintains the membership of the group while this process leads: adds new members and removes lost ones. */
import type { Clock, Millis } from '../../clock/index.js'
import { MAX_PROMOTION_LAG_ENTRIES, REGIONAL_TIMINGS } from '../../consensus/constants.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { Member, ReplicaStatus } from '../../consensus/types.js'
import type { EventLog } from '../../logs/eventLog/index.js'

const CYCLE_INTERVAL_MS: Millis = 200

/** Time without an answer after which a member counts as unresponsive and may be replaced by one that has joined. */
const MEMBER_LOST_AFTER_MS: Millis = 1500

/** A voter that has left the leader without an answer for this many heartbeats holds promotions up. */
const QUIET_AFTER_HEARTBEATS = 3

type MemberStatus = ReplicaStatus['members'][number]

/**
 * Finds the member to remove, if there is one.
 *
 * An unresponsive learner is always removed. A voter is lost once a process with the same address and another data folder has
 * joined, or while it is unresponsive. A lost voter is removed while the number of voters is even, as the group then tolerates as
 * many failures without it; the first case needs no more than that the new process is a voter. While the number is odd, a lost
 * voter is removed once a learner has caught up, before that becomes a voter: a quorum never depends on the new member then,
 * which may be lost as well.
 *
 * @param status - members, each with the time of the newest request that it confirmed, and the last index of the leader's log
 * @param now - clock reading, in milliseconds
 * @param sinceOf - returns the clock reading at which this process began to call a member as the leader
 * @returns the member to remove, the one silent for longest if there are several, or undefined
 */
export function findLostMember ({ members, lastIndex }: Pick<ReplicaStatus, 'members' | 'lastIndex'>, now: Millis, sinceOf: (member: Member) => Millis): Member | undefined {
  const isUnresponsive = (member: MemberStatus): boolean => now - Math.max(sinceOf(member), member.confirmedAt ?? 0) > MEMBER_LOST_AFTER_MS
  const replacementOf = (member: MemberStatus): MemberStatus | undefined => members.slice(members.indexOf(member) + 1).find(({ address }) => address === member.address)
  const replaced = members.find((member) => replacementOf(member)?.role === 'voter')
  if (replaced !== undefined) return replaced
  const learners = members.filter(({ role }) => role === 'learner')
  const unresponsiveLearner = learners.find(isUnresponsive)
  if (unresponsiveLearner !== undefined) return unresponsiveLearner
  const voters = members.filter(({ role }) => role === 'voter')
  const lost = voters.filter((voter) => isUnresponsive(voter) || replacementOf(voter) !== undefined).sort((a, b) => (a.confirmedAt ?? 0) - (b.confirmedAt ?? 0))[0]
  if (voters.length < 3) return undefined
  return voters.length % 2 === 0 || learners.some((learner) => hasCaughtUp(learner, lastIndex)) ? lost : undefined
}

/**
 * Returns whether a learner that has caught up may become a voter now.
 *
 * It has to answer. With an odd number of voters it adds one to the quorum, so that all of them have to answer as well;
 * {@link findLostMember} removes one that stays silent.
 *
 * @param learner - the learner
 * @param members - current members, each with the time of the newest request that it confirmed
 * @param now - clock reading, in milliseconds
 * @param heartbeatMs - interval of heartbeats, in milliseconds
 */
export function canPromote (learner: Member, members: readonly MemberStatus[], now: Millis, heartbeatMs: Millis): boolean {
  const voters = members.filter(({ role }) => role === 'voter')
  const isLearnerAnswering = members.some((member) => member.instance === learner.instance && isAnswering(member, now, heartbeatMs))
  return isLearnerAnswering && (voters.length % 2 === 0 || voters.every((voter) => isAnswering(voter, now, heartbeatMs)))
}

/**
 * Returns whether a learner has caught up and answers, but may not become a voter because another voter does not answer.
 *
 * @param id - name of the learner
 * @param status - members, each with the time of the newest request that it confirmed, and the last index of the leader's log
 * @param now - clock reading, in milliseconds
 * @param heartbeatMs - interval of heartbeats, in milliseconds
 */
export function isHeldBack (id: string, { members, lastIndex }: Pick<ReplicaStatus, 'members' | 'lastIndex'>, now: Millis, heartbeatMs: Millis): boolean {
  const learner = members.find((member) => member.id === id && member.role === 'learner')
  if (learner === undefined || !hasCaughtUp(learner, lastIndex) || !isAnswering(learner, now, heartbeatMs)) return false
  return !canPromote(learner, members, now, heartbeatMs)
}

function isAnswering ({ confirmedAt }: MemberStatus, now: Millis, heartbeatMs: Millis): boolean {
  return now - (confirmedAt ?? Number.NEGATIVE_INFINITY) <= QUIET_AFTER_HEARTBEATS * heartbeatMs
}

function hasCaughtUp ({ matchIndex }: MemberStatus, lastIndex: number): boolean {
  return matchIndex !== null && matchIndex > 0 && matchIndex + MAX_PROMOTION_LAG_ENTRIES >= lastIndex
}

/** Adds and removes members of the group, one at a time. */
export class MembershipManager {
  readonly #replica: Replica
  readonly #clock: Clock
  readonly #log: EventLog
  /** Instance of the learner that was held back last; null once it has become a voter. */
  #heldInstance: string | null = null
  /** When each member was seen in the group first, by instance. */
  readonly #seenSince = new Map<string, Millis>()

  /**
   * @param replica - this member
   * @param clock - source of time
   * @param log - receives an event for each change
   */
  constructor (replica: Replica, clock: Clock, log: EventLog) {
    this.#replica = replica
    this.#clock = clock
    this.#log = log
    replica.mayPromote = (learner) => this.#mayPromote(learner)
  }

  /**
   * Adds a process as a learner; it becomes a voter once it has caught up.
   *
   * @param newMember - the process that joins
   * @throws NotLeaderError when this member does not lead
   */
  async join (newMember: Omit<Member, 'role'>): Promise<void> {
    const { members } = this.#replica.status()
    if (this.#replica.isReadyLeader && members.some(({ instance }) => instance === newMember.instance)) return
    await this.#replica.addMember(newMember)
    this.#log.info('group.joined', { member: newMember.id, address: newMember.address })
  }

  /**
   * Removes lost members until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(CYCLE_INTERVAL_MS, signal)
      const status = this.#replica.status()
      this.#noteMembers(status.members)
      if (!this.#replica.isReadyLeader || status.areMembersPending) continue
      const lost = findLostMember(status, this.#clock.now(), ({ instance }) => Math.max(this.#replica.leaderSince, this.#seenSince.get(instance) ?? 0))
      if (lost === undefined) continue
      try {
        await this.#replica.removeMember(lost.id)
        this.#log.info('group.removed', { member: lost.id, address: lost.address, voters: status.members.filter(({ id, role }) => role === 'voter' && id !== lost.id).length })
      } catch (err) {
        this.#log.warn('group.removalFailed', { member: lost.id, reason: (err as Error).message })
      }
    }
  }

  /** Remembers when members came, as a new one has not had the time to answer yet. */
  #noteMembers (members: readonly Member[]): void {
    const instances = new Set(members.map(({ instance }) => instance))
    for (const instance of this.#seenSince.keys()) if (!instances.has(instance)) this.#seenSince.delete(instance)
    for (const instance of instances) if (!this.#seenSince.has(instance)) this.#seenSince.set(instance, this.#clock.now())
  }

  /** Decides whether a learner that has caught up becomes a voter, and logs the decision. */
  #mayPromote (learner: Member): boolean {
    const { members } = this.#replica.status()
    const now = this.#clock.now()
    const mayPromote = canPromote(learner, members, now, REGIONAL_TIMINGS.heartbeatMs)
    if (mayPromote) this.#log.info('group.promoted', { member: learner.id, address: learner.address })
    else if (this.#heldInstance !== learner.instance) {
      const quiet = members.filter((member) => !isAnswering(member, now, REGIONAL_TIMINGS.heartbeatMs))
      this.#log.info('group.held', { member: learner.id, address: learner.address, quiet: quiet.map(({ id }) => id) })
    }
    this.#heldInstance = mayPromote ? null : learner.instance
    return mayPromote
  }
}
