import { expect } from 'chai'
import { createWorker } from '../../fixtures/index.js'
import type { WorkerRecord } from '../records.js'
import { WorkerIndex } from './index.js'

function keysOf (workers: Iterable<readonly [string, WorkerRecord]>): string[] {
  return [...new Set([...workers].map(([key]) => key))]
}

describe('WorkerIndex', () => {
  it('finds workers by id, machine and service', () => {
    const index = new WorkerIndex()
    const a = createWorker('a')
    index.set('a@1', a, undefined)
    index.set('b@1', createWorker('b', { service: 'desk' }), undefined)
    expect(keysOf(index.withId('a'))).to.deep.equal(['a@1'])
    expect(keysOf(index.onMachine('m-b'))).to.deep.equal(['b@1'])
    expect(keysOf(index.ofService('booth'))).to.deep.equal(['a@1'])
    index.delete('a@1', a)
    expect(keysOf(index.withId('a'))).to.deep.equal([])
    expect(keysOf(index.ofService('booth'))).to.deep.equal([])
  })

  it('finds the workers that share an id, an address or a machine, and no others', () => {
    const index = new WorkerIndex()
    index.set('a@1', createWorker('a', { address: 'x:1', machine: 'm1' }), undefined)
    index.set('b@1', createWorker('b', { address: 'y:1', machine: 'm2' }), undefined)
    index.set('c@1', createWorker('c', { address: 'z:1', machine: 'm3' }), undefined)
    index.set('d@1', createWorker('d', { address: 'w:1', machine: '' }), undefined)
    expect(keysOf(index.related({ id: 'a', address: 'y:1', machine: 'm3' }))).to.have.members(['a@1', 'b@1', 'c@1'])
    expect(keysOf(index.related({ id: 'e', address: 'v:1', machine: '' }))).to.deep.equal([])
  })

  it('forgets where a worker was before its record changed', () => {
    const index = new WorkerIndex()
    const before = createWorker('a', { address: 'x:1', machine: '' })
    const after = { ...before, address: 'y:1', machine: 'm1', service: 'desk' }
    index.set('a@1', before, undefined)
    index.set('a@1', after, before)
    expect(keysOf(index.related({ id: 'z', address: 'x:1', machine: '' }))).to.deep.equal([])
    expect(keysOf(index.ofService('booth'))).to.deep.equal([])
    expect(keysOf(index.ofService('desk'))).to.deep.equal(['a@1'])
    index.delete('a@1', after)
    expect(keysOf(index.related(after))).to.deep.equal([])
  })
})
