import { expect } from 'chai'
import { ArrivalMeter } from './index.js'

describe('ArrivalMeter', () => {
  it('approximates the rate at which work arrives', () => {
    const meter = new ArrivalMeter()
    for (let at = 0; at < 5000; at += 10) meter.add(30, at)
    expect(meter.rate(5000)).to.be.within(2.8, 3.2)
  })

  it('forgets a surge within two seconds of its end', () => {
    const meter = new ArrivalMeter()
    for (let at = 0; at < 5000; at += 10) meter.add(30, at)
    expect(meter.rate(7000)).to.be.below(0.1)
  })
})
