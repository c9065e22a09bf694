import { expect } from 'chai'
import fc from 'fast-check'
import type { PoolWorker } from '../planStarts/index.js'
import { RackForecast, type PlaceDemand, type Release } from './index.js'

function createPoolWorker (key: string, cpu: number): PoolWorker {
  const room = { cpu: 4000, memory: 8000, accelerators: 0 }
  return { key, machine: `m-${key}`, zone: 'a', labels: ['a', 'r1'], room, free: { ...room, cpu }, taskCountByStep: new Map(), startsLeft: Number.POSITIVE_INFINITY, slowdown: 1, freshRuns: 0, trialJob: null, hasLongLease: false }
}

function createDemand (changes: Partial<PlaceDemand> = {}): PlaceDemand {
  return { cpu: 2000, memory: 100, accelerators: 0, count: 1, countPlaces: () => Number.POSITIVE_INFINITY, ...changes }
}

function release (worker: PoolWorker, afterMs: number, cpu = 1000): Release {
  return { worker, afterMs, cpu, memory: 0, accelerators: 0 }
}

describe('RackForecast', () => {
  it('finds the earliest time at which one worker has enough capacity, not several together', () => {
    const [a, b] = [createPoolWorker('a', 0), createPoolWorker('b', 0)]
    const forecast = new RackForecast([a, b], [release(a, 100), release(b, 200), release(a, 500), release(b, 300)])
    expect(forecast.find(createDemand(), 1000)).to.deep.equal({ afterMs: 300, workers: [b] })
  })

  it('finds a place that is free now', () => {
    const a = createPoolWorker('a', 2000)
    expect(new RackForecast([a], []).find(createDemand(), 1000)).to.deep.equal({ afterMs: 0, workers: [a] })
  })

  it('finds none beyond the limit, on unsuitable workers or without workers', () => {
    const a = createPoolWorker('a', 0)
    const forecast = new RackForecast([a], [release(a, 100, 2000)])
    expect(forecast.find(createDemand(), 99)).to.equal(null)
    expect(forecast.find(createDemand({ countPlaces: () => 0 }), 1000)).to.equal(null)
    expect(new RackForecast([], []).find(createDemand(), 1000)).to.equal(null)
  })

  it('gives tasks that wait the next places, in their order', () => {
    const a = createPoolWorker('a', 0)
    const forecast = new RackForecast([a], [release(a, 100, 2000), release(a, 250, 2000)])
    const times = [1, 2, 3].map(() => {
      const found = forecast.find(createDemand(), 1000)
      if (found !== null) forecast.take(found, createDemand(), 400)
      return found?.afterMs
    })
    expect(times).to.deep.equal([100, 250, 500])
  })

  it('finds places for a whole gang at one time', () => {
    const [a, b] = [createPoolWorker('a', 2000), createPoolWorker('b', 0)]
    const forecast = new RackForecast([a, b], [release(b, 100, 2000), release(a, 300, 2000)])
    expect(forecast.find(createDemand({ count: 3 }), 1000)).to.deep.equal({ afterMs: 300, workers: [a, a, b] })
    expect(forecast.find(createDemand({ count: 3, countPlaces: () => 1 }), 1000)).to.equal(null)
  })

  it('agrees with a forecast that tries each time on its own', () => {
    const load = fc.record({ free: fc.array(fc.integer({ min: -1000, max: 4000 }), { minLength: 1, maxLength: 4 }), releases: fc.array(fc.tuple(fc.nat(3), fc.integer({ min: 1, max: 50 }), fc.integer({ min: 100, max: 3000 })), { maxLength: 12 }), cpu: fc.integer({ min: 1, max: 3000 }), count: fc.integer({ min: 1, max: 4 }) })
    fc.assert(fc.property(load, ({ free, releases, cpu, count }) => {
      const workers = free.map((each, i) => createPoolWorker(`w${i}`, each))
      const known = releases.flatMap(([i, afterMs, size]) => workers[i] === undefined ? [] : [release(workers[i], afterMs, size)])
      const fits = (at: number): number => workers.reduce((sum, worker) => sum + Math.max(0, Math.floor((worker.free.cpu + known.filter((other) => other.worker === worker && other.afterMs <= at).reduce((total, other) => total + other.cpu, 0)) / cpu)), 0)
      const expected = Array.from({ length: 51 }, (_, at) => at).find((at) => fits(at) >= count) ?? null
      expect(new RackForecast(workers, known).find(createDemand({ cpu, memory: 0, count }), 50)?.afterMs ?? null).to.equal(expected)
    }), { seed: 42 })
  })
})
