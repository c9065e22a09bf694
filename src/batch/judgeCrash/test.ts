import { expect } from 'chai'
import { judgeCrash, type SilentWorker } from './index.js'

const A = '00000000000000aa.0.0.0'
const A2 = '00000000000000aa.0.0.1'
const B = '00000000000000bb.0.0.0'
const C = '00000000000000cc.0.0.0'

const createSilent = (freshTasks: readonly string[], changes: Partial<SilentWorker> = {}): SilentWorker => ({ labels: ['a', 'r1'], answeredAt: 1000, silentSince: 1100, freshTasks, isTrial: false, ...changes })

describe('judgeCrash', () => {
  const cases: ReadonlyArray<readonly [string, SilentWorker, readonly SilentWorker[], Readonly<Record<string, string>>]> = [
    ['suspects nothing when the worker had survived all of its runs', createSilent([]), [], {}],
    ['suspects the only job with fresh runs', createSilent([A, A2]), [], { [A]: 'sole', [A2]: 'sole' }],
    ['suspects each of several jobs with fresh runs', createSilent([A, B]), [], { [A]: 'shared', [B]: 'shared' }],
    ['suspects nothing when a worker of the same rack was lost at the same moment without a fresh run', createSilent([A]), [createSilent([])], {}],
    ['is not misled by a worker of another rack', createSilent([A]), [createSilent([], { labels: ['a', 'r2'] })], { [A]: 'sole' }],
    ['is not misled by a worker of the rack that was lost at another moment', createSilent([A]), [createSilent([], { answeredAt: 2000, silentSince: 2100 })], { [A]: 'sole' }],
    ['suspects nothing when three workers of a rack with different jobs are lost together', createSilent([A]), [createSilent([B]), createSilent([C])], {}],
    ['suspects the job that had just started on all workers that are lost together', createSilent([A, B]), [createSilent([A2]), createSilent([A, C])], { [A]: 'shared', [B]: 'shared' }],
    ['takes two workers of a rack that are lost together for a coincidence', createSilent([A]), [createSilent([B])], { [A]: 'sole' }],
    ['suspects a job on trial whatever else was lost at the moment', createSilent([A, A2], { isTrial: true }), [createSilent([]), createSilent([B])], { [A]: 'sole', [A2]: 'sole' }],
    ['does not assume a common rack of workers without labels', createSilent([A], { labels: [] }), [createSilent([], { labels: [] })], { [A]: 'sole' }]
  ]
  for (const [name, crashed, others, expected] of cases) {
    it(name, () => { expect(Object.fromEntries(judgeCrash(crashed, others))).to.deep.equal(expected) })
  }
})
