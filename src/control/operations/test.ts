import { expect } from 'chai'
import type { Replica } from '../../consensus/replica/index.js'
import { parseRules } from '../../contracts/rules/index.js'
import { createFleetData } from '../../state/types.js'
import type { LeaderSession } from '../session/index.js'
import { Operations, type ApplyRequest } from './index.js'

const VMS = ['a', 'b'].map((id) => ({ id, rack: 'r', zone: 'z', pool: 'p', cores: 1, memoryGb: 1, accelerators: 0 }))

function requestWith (pool: string): ApplyRequest {
  const { rules } = parseRules(`services:\n  s: { pools: [${pool}], budget: { maxDown: 1 } }\n`, 'rules')
  return { operation: 'o', expectedVersion: 0, by: 't', summary: '', vms: VMS, rules }
}

describe('Operations', () => {
  let isInForce: boolean
  let proposalCount: number
  let operations: Operations

  beforeEach(() => {
    isInForce = true
    proposalCount = 0
    const session = {
      signal: new AbortController().signal,
      propose: () => {
        proposalCount += 1
        return Promise.resolve({ status: 'accepted', version: 1, rev: 1 })
      },
      entries: { isInForce: () => isInForce, waitUntilInForce: () => Promise.resolve({ acknowledged: ['e1'], fenced: [] }) }
    }
    operations = new Operations({ leader: null } as Replica, session as unknown as LeaderSession, createFleetData())
  })

  it('reports that a change is in force, and on which entries', async () => {
    expect(await operations.apply(requestWith('p'))).to.deep.include({ status: 'accepted', inForce: { acknowledged: ['e1'], fenced: [] } })
  })

  it('throws NotLeaderError when leadership ends before the change is in force', async () => {
    isInForce = false
    const err = await operations.apply(requestWith('p')).then(() => null, (error: unknown) => error as Error)
    expect(err?.name).to.equal('NotLeaderError')
  })

  it('rejects rules that do not match the inventory before it proposes anything', async () => {
    const err = await operations.apply(requestWith('q')).then(() => null, (error: unknown) => error as Error)
    expect(err?.message).to.include('names pool q')
    expect(proposalCount).to.equal(0)
  })
})
