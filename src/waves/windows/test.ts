import { expect } from 'chai'
import { minutesOfWindow, remainingOpenMs, totalOpenMs } from './index.js'

const HOUR_MS = 3_600_000
const NIGHT = { days: ['mon' as const], from: '22:00', to: '05:00' }

describe('maintenance windows', () => {
  it('may run past midnight', () => {
    expect(minutesOfWindow(NIGHT)).to.equal(420)
    expect(remainingOpenMs([NIGHT], Date.UTC(2026, 11, 7, 23))).to.equal(6 * HOUR_MS)
    expect(remainingOpenMs([NIGHT], Date.UTC(2026, 11, 8, 4))).to.equal(HOUR_MS)
  })

  it('are closed outside their days and hours', () => {
    expect(remainingOpenMs([NIGHT], Date.UTC(2026, 11, 8, 5))).to.equal(0)
    expect(remainingOpenMs([NIGHT], Date.UTC(2026, 11, 8, 23))).to.equal(0)
    expect(remainingOpenMs([NIGHT], Date.UTC(2026, 11, 7, 4))).to.equal(0)
  })

  it('always allow maintenance when none is configured', () => {
    expect(remainingOpenMs([], 0)).to.equal(Number.POSITIVE_INFINITY)
  })

  it('add up over several days', () => {
    expect(totalOpenMs([NIGHT], 42)).to.equal(6 * 7 * HOUR_MS)
  })
})
