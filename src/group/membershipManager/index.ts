/** Maintains the membership of the group while this process leads: adds new members and removes lost ones. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { Member, ReplicaStatus } from '../../consensus/types.js'
import type { EventLog } from '../../logs/eventLog/index.js'

const CYCLE_INTERVAL_MS: Millis = 200

/** Time without an answer after which a member counts as unresponsive and may be replaced by one that has joined. */
const MEMBER_LOST_AFTER_MS: Millis = 1500

type MemberStatus = ReplicaStatus['members'][number]

/**
 * Finds the member to remove, if there is one.
 *
 * A member is permanently lost once a process with the same address and another data folder has become a voter. An
 * unresponsive learner is always removed. An unresponsive voter is removed only while there are at least four voters and
 * their number is even: a new voter has then joined, and the group tolerates no more failures with the unresponsive voter
 * than without it.
 *
 * @param members - current members, each with the time of the newest request that it confirmed
 * @param now - clock reading, in milliseconds
 * @param since - clock reading at which this process became the leader
 * @returns the member to remove, or undefined
 */
export function findLostMember (members: readonly MemberStatus[], now: Millis, since: Millis): Member | undefined {
  const voters = members.filter(({ role }) => role === 'voter')
  const isUnresponsive = (member: MemberStatus): boolean => now - Math.max(since, member.confirmedAt ?? since) > MEMBER_LOST_AFTER_MS
  const replaced = members.find((member, i) => members.slice(i + 1).some((later) => later.address === member.address && later.role === 'voter'))
  if (replaced !== undefined) return replaced
  const unresponsiveLearner = members.find((member) => member.role === 'learner' && isUnresponsive(member))
  if (unresponsiveLearner !== undefined) return unresponsiveLearner
  return voters.length > 3 && voters.length % 2 === 0 ? voters.find(isUnresponsive) : undefined
}

/** Adds and removes members of the group, one at a time. */
export class MembershipManager {
  readonly #replica: Replica
  readonly #clock: Clock
  readonly #log: EventLog

  /**
   * @param replica - this member
   * @param clock - source of time
   * @param log - receives an event for each change
   */
  constructor (replica: Replica, clock: Clock, log: EventLog) {
    this.#replica = replica
    this.#clock = clock
    this.#log = log
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
      const { members, areMembersPending } = this.#replica.status()
      if (!this.#replica.isReadyLeader || areMembersPending) continue
      const lost = findLostMember(members, this.#clock.now(), this.#replica.leaderSince)
      if (lost === undefined) continue
      try {
        await this.#replica.removeMember(lost.id)
        this.#log.info('group.removed', { member: lost.id, address: lost.address })
      } catch (err) {
        this.#log.warn('group.removalFailed', { member: lost.id, reason: (err as Error).message })
      }
    }
  }
}
