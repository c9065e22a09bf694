import { expect } from 'chai'
import { LoadPlayer, type PlayResult } from '../../bench/policies/player.js'
import { createHotRackWorkload, generateHotRackArrivals } from '../../bench/policies/hotRacks.js'
import { drawCompletions, drawPlays } from '../../bench/policies/plot.js'
import { POLICIES, SURGE_POLICIES, type Policy, type WaitName } from '../../bench/policies/policies.js'
import { formatTable, formatWaitTable, summarize, type PlaySummary } from '../../bench/policies/report.js'
import { createStudioWorkload, createSurgingStudioWorkload, generateArrivals } from '../../bench/policies/workload.js'

const SCALE = 0.3
const ARRIVALS_MS = 27_000

/** Jobs that arrive last have time to complete within their objective. */
const PLAY_MS = ARRIVALS_MS + 16_000
const SEEDS = [1, 2, 3]

/** Surges of four times the mean, in turn, on a fleet of a hundred machines. */
function play (policy: Policy, seed: number): Promise<PlayResult> {
  const workload = createStudioWorkload(SCALE)
  return new LoadPlayer(workload, policy, seed).play(generateArrivals(workload, seed, ARRIVALS_MS), PLAY_MS)
}

/** Returns the share of the jobs of all seeds that complete within their objective. */
async function playAll (policy: Policy): Promise<number> {
  const results = []
  for (const seed of SEEDS) results.push(await play(policy, seed))
  const jobs = results.flatMap((result) => result.jobs)
  return jobs.filter(({ outcome }) => outcome === 'inAim').length / jobs.length
}

describe('policies under surges in turn', () => {
  it('completes more jobs within their objective than first in, first out', async () => {
    expect(await playAll({ order: 'chosen', pools: 'chosen' })).to.be.above(await playAll({ order: 'firstInFirstOut', pools: 'chosen' }))
  })

  it('completes more jobs within their objective with pools that follow demand than with fixed ones', async () => {
    expect(await playAll({ order: 'chosen', pools: 'chosen' })).to.be.above(await playAll({ order: 'chosen', pools: 'fixed' }))
  })

  it('serves the classes with large jobs at least half as well as all callers', async () => {
    for (const seed of SEEDS) {
      const { inAim, byClass } = summarize(await play({ order: 'chosen', pools: 'chosen' }, seed))
      for (const [name, callers] of Object.entries(byClass)) expect(callers.inAim, `seed ${seed}, ${name}`).to.be.at.least(inAim / 2)
    }
  })

  it('plays the same load in the same way each time', async () => {
    const policy = POLICIES[0] as Policy
    expect(await play(policy, 7)).to.deep.equal(await play(policy, 7))
  })

  it('prints a row and draws a curve for each play', async () => {
    const results = [await play({ order: 'chosen', pools: 'chosen' }, 1), await play({ order: 'shortestFirst', pools: 'fixed' }, 1)]
    const table = formatTable(results.map(summarize))
    for (const text of ['firstInFirstOut', 'shortestFirst']) expect(table.includes(text)).to.equal(text === 'shortestFirst')
    expect(drawPlays(results).match(/<path /g)).to.have.length(3 * results.length)
  })
})

describe('waits for near places on hot racks', () => {
  const ARRIVED_MS = 21_000

  function playWait (wait: WaitName, seed: number, penalty: number): Promise<PlayResult> {
    const workload = createHotRackWorkload(0.6, penalty)
    return new LoadPlayer(workload, { order: 'chosen', pools: 'fixed', wait }, seed).play(generateHotRackArrivals(workload, seed, ARRIVED_MS), ARRIVED_MS + 10_000)
  }

  const summarizeWait = async (wait: WaitName, seed: number, penalty: number): Promise<PlaySummary> => summarize(await playWait(wait, seed, penalty))

  for (const seed of SEEDS) {
    it(`complete more jobs within their objective with less capacity than none, seed ${seed}`, async () => {
      const [chosen, never] = [await summarizeWait('chosen', seed, 3), await summarizeWait('never', seed, 3)]
      expect(chosen.inAim).to.be.above(never.inAim)
      expect(chosen.farShare).to.be.below(never.farShare)
      expect(chosen.coreSeconds).to.be.below(never.coreSeconds)
    })
  }

  it('make fewer jobs late than a fixed delay where far runs take little longer, and lose fewer than an unbounded wait', async () => {
    const sum = async (wait: WaitName, penalty: number, field: 'late' | 'lost'): Promise<number> => {
      let total = 0
      for (const seed of SEEDS) total += (await summarizeWait(wait, seed, penalty))[field]
      return total
    }
    expect(await sum('chosen', 1.5, 'late')).to.be.below(await sum('fixed', 1.5, 'late'))
    expect(await sum('chosen', 3, 'lost')).to.be.below(await sum('always', 3, 'lost'))
  })

  it('are printed as a row and drawn as a curve each', async () => {
    const results = [await playWait('chosen', 1, 3), await playWait('never', 1, 3)]
    const table = formatWaitTable(results.map(summarize))
    for (const text of ['chosen', 'never', 'fixed']) expect(table.includes(text)).to.equal(text !== 'fixed')
    expect(drawCompletions(results).match(/<path /g)).to.have.length(results.length)
  })
})

describe('admission while one of ten workspaces submits eight times as many jobs', () => {
  interface Callers { readonly others: number, readonly all: number, readonly lost: number, readonly worstClass: number, readonly refusedMs: number, readonly machineSeconds: number }

  async function playSurge (policy: Policy, seed: number): Promise<Callers> {
    const workload = createSurgingStudioWorkload(SCALE)
    const { byClass, inAim, lost, machineSeconds, refusedMsP95, ...summary } = summarize(await new LoadPlayer(workload, policy, seed).play(generateArrivals(workload, seed, ARRIVALS_MS), PLAY_MS))
    const others = Object.entries(summary.byWorkspace).filter(([name]) => name !== 'studio-0').map(([, callers]) => callers)
    return {
      others: others.reduce((sum, callers) => sum + callers.inAim * callers.jobs, 0) / others.reduce((sum, { jobs }) => sum + jobs, 0),
      all: inAim,
      lost,
      worstClass: Math.min(...Object.values(byClass).map((callers) => callers.inAim)),
      refusedMs: refusedMsP95 ?? 0,
      machineSeconds
    }
  }

  for (const seed of SEEDS) {
    it(`serves the other workspaces and the worst class better, loses few jobs, and tells refused callers while they wait (seed ${seed})`, async () => {
      const [admission, acceptAll] = SURGE_POLICIES as [Policy, Policy]
      const chosen = await playSurge(admission, seed)
      const base = await playSurge(acceptAll, seed)
      expect(chosen.others, `seed ${seed}, the other workspaces`).to.be.above(base.others + 0.1)
      // The surging workspace sends four of five jobs, most of them beyond its share.
      expect(chosen.all, `seed ${seed}, all callers`).to.be.above(0.75 * base.all)
      expect(chosen.worstClass, `seed ${seed}, the worst class`).to.be.above(base.worstClass)
      expect(chosen.lost, `seed ${seed}, accepted jobs that are lost`).to.be.below(0.1 * base.lost)
      expect(chosen.refusedMs, `seed ${seed}, wait of refused callers`).to.be.at.most(3000)
      expect(chosen.machineSeconds, `seed ${seed}, machines`).to.be.below(base.machineSeconds)
    })
  }
})
