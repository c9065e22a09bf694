/** Keeps the group whole while this process leads: takes members in and removes those that are lost. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { Member, ReplicaStatus } from '../../consensus/types.js'
import type { EventLog } from '../../logs/eventLog/index.js'

/** Pause between two looks, in milliseconds. */
const CYCLE_INTERVAL_MS: Millis = 200

/** A member that has not answered for this long may be replaced by one that has joined. */
const MEMBER_LOST_AFTER_MS: Millis = 1500

type MemberStatus = ReplicaStatus['members'][number]

/**
 * Chooses the member to remove, if there is one.
 *
 * A member whose address answers with another data folder is gone for good once its successor votes. A voter that is
 * silent is removed only while the number of voters is even: then a new voter has come, and the group tolerates no
 * more losses with it than without it.
 *
 * @param members - with when each last answered
 * @param now - clock reading
 * @param since - when this process began to lead
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

/** Changes the members of the group, one at a time. */
export class MembershipManager {
  readonly #replica: Replica
  readonly #clock: Clock
  readonly #log: EventLog

  /**
   * @param replica - this member
   * @param clock - source of time
   * @param log - told of each change
   */
  constructor (replica: Replica, clock: Clock, log: EventLog) {
    this.#replica = replica
    this.#clock = clock
    this.#log = log
  }

  /**
   * Takes a process in as a learner; it votes once it has caught up.
   *
   * @param newMember - the process
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
