/** Quorums and changes of the group's members, one at a time. */
import { MembershipError } from '../errors.js'
import type { Member, MemberRole } from '../types.js'

/** @param members - all members, learners included */
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
 * @param members - members now
 * @param newMember - the new member; it begins as a learner
 * @throws MembershipError when the name or the data folder is known already
 */
export function addLearner (members: readonly Member[], newMember: Omit<Member, 'role'>): readonly Member[] {
  const existing = members.find((member) => member.id === newMember.id || member.instance === newMember.instance)
  if (existing !== undefined) {
    throw new MembershipError(`Member ${existing.id} is in the group already, with data folder ${existing.instance}. Remove it first.`)
  }
  return [...members, { ...newMember, role: 'learner' }]
}

/**
 * Returns the members with one in another role.
 *
 * @param members - members now
 * @param id - whose role changes
 * @param role - the new role
 */
export function withRole (members: readonly Member[], id: string, role: MemberRole): readonly Member[] {
  return members.map((member) => member.id === id ? { ...member, role } : member)
}

/**
 * Returns the members without one of them.
 *
 * @param members - members now
 * @param id - who leaves
 * @throws MembershipError when there is no such member, or it is the last voter
 */
export function removeMember (members: readonly Member[], id: string): readonly Member[] {
  const remaining = members.filter((member) => member.id !== id)
  if (remaining.length === members.length) throw new MembershipError(`There is no member ${id}.`)
  if (votersOf(remaining).length === 0) throw new MembershipError(`Member ${id} is the last voter.`)
  return remaining
}
