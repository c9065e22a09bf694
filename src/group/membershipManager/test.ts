import { expect } from 'chai'
import type { MemberRole } from '../../consensus/types.js'
import { findLostMember } from './index.js'

const NOW = 10_000
const LONG_AGO = 5000

function createMember (id: string, confirmedAt: number | null, changes: { role?: MemberRole, address?: string } = {}) {
  return { id, instance: `i-${id}`, address: `${id}:7000`, role: 'voter' as MemberRole, matchIndex: 1, confirmedAt, ...changes }
}

describe('findLostMember', () => {
  const completeGroup = [createMember('a', NOW), createMember('b', NOW), createMember('c', NOW)]

  it('finds no member when all respond', () => {
    expect(findLostMember(completeGroup, NOW, 0)).to.equal(undefined)
  })

  it('keeps an unresponsive voter while no new voter has joined', () => {
    expect(findLostMember([createMember('a', NOW), createMember('b', NOW), createMember('c', LONG_AGO)], NOW, 0)).to.equal(undefined)
  })

  it('finds the unresponsive voter once a new voter has joined', () => {
    const members = [createMember('a', NOW), createMember('b', NOW), createMember('c', LONG_AGO), createMember('d', NOW)]
    expect(findLostMember(members, NOW, 0)?.id).to.equal('c')
  })

  it('finds a member whose address has another data folder once the new member is a voter', () => {
    const replacedMember = createMember('c', LONG_AGO, { address: 'x:7000' })
    expect(findLostMember([...completeGroup.slice(0, 2), replacedMember, createMember('d', NOW, { address: 'x:7000', role: 'learner' })], NOW, 0)).to.equal(undefined)
    expect(findLostMember([...completeGroup.slice(0, 2), replacedMember, createMember('d', NOW, { address: 'x:7000' })], NOW, 0)?.id).to.equal('c')
  })

  it('gives each member time to answer a new leader', () => {
    const members = [...completeGroup, createMember('d', null)]
    expect(findLostMember(members, NOW, NOW - 1000)).to.equal(undefined)
    expect(findLostMember(members, NOW, NOW - 2000)?.id).to.equal('d')
  })

  it('finds an unresponsive learner', () => {
    expect(findLostMember([...completeGroup, createMember('d', LONG_AGO, { role: 'learner' })], NOW, 0)?.id).to.equal('d')
  })
})
