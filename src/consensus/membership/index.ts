/** Computes quorums and membership changes that affect one member at a time. */
import { MembershipError } from '../errors.js'
import type { Member, MemberRole } from '../types.js'

/**
 * Returns the voters.
 *
 * @param members - all members, learners included
 */
export function votersOf (members: readonly Member[]): readonly Member[] {
  return members.filter((member) => member.role === 'voter')
}

/**
 * Returns the largest value that a quorum of voters has reached.
 *
 * @param members - all members, learners included
 * @param valueOf - the value that a member has reached
 * @returns the value, or negative infinity without voters
 */
export function quorumValue (members: readonly Member[], valueOf: (member: Member) => number): number {
  const values = votersOf(members).map(valueOf).sort((a, b) => b - a)
  return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY
}

/**
 * Returns the members with a learner added.
 *
 * @param members - current members
 * @param newMember - the member to add
 * @throws MembershipError when a member has the same name or data folder
 */
export function addLearner (members: readonly Member[], newMember: Omit<Member, 'role'>): readonly Member[] {
  const existing = members.find((member) => member.id === newMember.id || member.instance === newMember.instance)
  if (existing !== undefined) {
    throw new MembershipError(`Member ${existing.id} with data folder ${existing.instance} is already in the group. Remove it first.`)
  }
  return [...members, { ...newMember, role: 'learner' }]
}

/**
 * Returns the members with the role of one of them changed.
 *
 * @param members - current members
 * @param id - name of the member whose role changes
 * @param role - the new role
 */
export function withRole (members: readonly Member[], id: string, role: MemberRole): readonly Member[] {
  return members.map((member) => member.id === id ? { ...member, role } : member)
}

/**
 * Returns the members without one of them.
 *
 * @param members - current members
 * @param id - name of the member to remove
 * @throws MembershipError when there is no such member, or it is the last voter
 */
export function removeMember (members: readonly Member[], id: string): readonly Member[] {
  const remaining = members.filter((member) => member.id !== id)
  if (remaining.length === members.length) throw new MembershipError(`There is no member ${id}.`)
  if (votersOf(remaining).length === 0) throw new MembershipError(`Member ${id} is the last voter.`)
  return remaining
}
