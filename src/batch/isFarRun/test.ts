import { expect } from 'chai'
import { createConfig, createJob, createStep, createWorker } from '../fixtures/index.js'
import { BatchState } from '../state/index.js'
import type { Step } from '../types.js'
import { isFarRun } from './index.js'

const ID = '00000000000000aa'

function placeOn (workers: readonly string[], step: Partial<Step>): (index: number) => boolean | null {
  const state = new BatchState()
  state.apply(1, { type: 'configure', at: 0, config: createConfig(1) })
  state.apply(2, { type: 'enrol', at: 0, workers: [createWorker('near'), createWorker('beside'), createWorker('far', { labels: ['a', 'r2'] })] })
  state.apply(3, { type: 'accept', at: 0, jobs: [createJob(ID, { steps: [createStep({ count: workers.length, ...step })] })] })
  state.apply(4, { type: 'place', at: 0, placements: workers.map((worker, i) => ({ task: `${ID}.0.0.${i}`, run: 1, worker: `${worker}@1` })) })
  return (index) => isFarRun(state, { position: { job: ID, occurrence: 0, step: 0, index }, run: 1, worker: `${workers[index]}@1` })
}

describe('isFarRun', () => {
  it('tells nothing of a step without a preference', () => {
    expect(placeOn(['far'], {})(0)).to.equal(null)
    expect(placeOn(['near', 'far'], { isGang: true })(0)).to.equal(null)
  })

  it('compares the rack of the data with that of the worker', () => {
    const tell = placeOn(['near', 'far'], { dataRack: 'r1' })
    expect([tell(0), tell(1)]).to.deep.equal([false, true])
  })

  it('calls each member of a gang far that is spread over racks', () => {
    const spread = placeOn(['near', 'far'], { isGang: true, prefersOneRack: true })
    expect([spread(0), spread(1)]).to.deep.equal([true, true])
    const together = placeOn(['near', 'beside'], { isGang: true, prefersOneRack: true })
    expect([together(0), together(1)]).to.deep.equal([false, false])
  })

  it('tells nothing once a member of the gang or its worker is unknown', () => {
    const state = new BatchState()
    expect(isFarRun(state, { position: { job: ID, occurrence: 0, step: 0, index: 0 }, run: 1, worker: 'near@1' })).to.equal(null)
  })
})
