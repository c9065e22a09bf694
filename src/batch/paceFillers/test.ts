import { expect } from 'chai'
import { paceFillers } from './index.js'

describe('paceFillers', () => {
  it('runs fillers at full pace when no serving task is on the worker', () => {
    expect(paceFillers(100, null)).to.equal(100)
  })

  it('slows fillers down before the tail reaches its target, and halts them above it', () => {
    expect(paceFillers(100, 0.9)).to.equal(40)
    expect(paceFillers(40, 1.2)).to.equal(0)
  })

  it('speeds fillers up in steps once the tail is far below its target', () => {
    expect(paceFillers(0, 0.3)).to.equal(15)
    expect(paceFillers(95, 0.3)).to.equal(100)
  })

  it('keeps the pace between the two thresholds', () => {
    expect(paceFillers(40, 0.7)).to.equal(40)
  })
})
