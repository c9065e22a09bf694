import { expect } from 'chai'
import { createStep } from '../fixtures/index.js'
import { createStateHarness, JOB_ID } from '../fixtures/stateHarness.js'
import { assignRunNumbers } from './index.js'

describe('assignRunNumbers', () => {
  for (const isGang of [false, true]) {
    it(`gives ${isGang ? 'all members of a gang one number, above the last run of any' : 'each task the number above its own last run'}`, () => {
      const harness = createStateHarness()
      harness.accept({ steps: [createStep({ count: 2, isGang })] })
      harness.place(`${JOB_ID}.0.0.0`, 1)
      harness.end(`${JOB_ID}.0.0.0`, 1, 'stopped')
      const planned = [0, 1].map((index) => ({ task: `${JOB_ID}.0.0.${index}`, worker: 'w@1' }))
      expect(assignRunNumbers(planned, harness.state).map(({ run }) => run)).to.deep.equal(isGang ? [2, 2] : [2, 1])
    })
  }
})
