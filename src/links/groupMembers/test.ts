import { expect } from 'chai'
import { formatMembersHeader, GroupMembers, readToldMembers, tellMembers, type MembersInfo } from './index.js'

function createInfo (version: number, addresses: readonly string[], isLeader = false): MembersInfo {
  return { version, addresses, isLeader }
}

describe('GroupMembers', () => {
  it('takes note of newer members', () => {
    const members = new GroupMembers()
    members.learn(createInfo(5, ['a', 'b']))
    members.learn(createInfo(9, ['b', 'c']))
    expect(members).to.deep.include({ version: 9, addresses: ['b', 'c'] })
  })

  it('keeps what it knows when a process that was removed tells the members of its time', () => {
    const members = new GroupMembers()
    members.learn(createInfo(9, ['b', 'c'], true))
    members.learn(createInfo(5, ['a', 'b']))
    members.learn(createInfo(0, ['a', 'b']))
    expect(members.addresses).to.deep.equal(['b', 'c'])
  })

  it('takes note of members that may not be committed only while it knows none', () => {
    const members = new GroupMembers()
    members.learn(createInfo(0, ['a', 'b']))
    members.learn(createInfo(0, ['x']))
    expect(members).to.deep.include({ version: 0, addresses: ['a', 'b'] })
  })

  it('follows the leader of a group that was formed anew', () => {
    const members = new GroupMembers()
    members.learn(createInfo(900, ['a', 'b']))
    members.learn(createInfo(1, ['c'], true))
    expect(members).to.deep.include({ version: 1, addresses: ['c'] })
  })

  it('reads its own header, and ignores a malformed one', () => {
    const members = new GroupMembers()
    members.learnFrom(formatMembersHeader(createInfo(7, ['10.0.0.1:7000', '10.0.0.2:7000'])))
    for (const header of [undefined, '', '8', '8 other', 'x leader 10.0.0.9:1', '-1 leader 10.0.0.9:1', '8 somebody 10.0.0.9:1']) members.learnFrom(header)
    expect(members).to.deep.include({ version: 7, addresses: ['10.0.0.1:7000', '10.0.0.2:7000'] })
  })

  it('reads the addresses alone that a process of an earlier build tells, and tells them as such a process reads them', () => {
    expect(readToldMembers({ members: ['a', 'b'] })).to.deep.equal({ version: 0, addresses: ['a', 'b'] })
    const told = tellMembers({ version: 3, addresses: ['a'] })
    expect([...told.members]).to.deep.equal(['a'])
    expect(readToldMembers(told)).to.deep.equal({ version: 3, addresses: ['a'] })
  })
})
