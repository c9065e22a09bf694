import { expect } from 'chai'
import { runSoak } from './run.js'

/** Seeds that once failed stay here, with a line on the cause. 114, 118 and 119 are in KNOWN-RED.txt. */
const SEEDS = [
  1,
  // A start meant for a worker's earlier life under the same id was carried out by the next one, and the task began elsewhere too.
  121
]

const SECONDS = 10

describe('soak of jobs with real processes', () => {
  const seeds = process.env.SEED === undefined ? SEEDS : [Number(process.env.SEED)]
  for (const seed of seeds) {
    it(`keeps its promises under faults, seed ${seed}`, async function () {
      this.timeout(180_000)
      const { violations, faults, jobs } = await runSoak(seed, SECONDS)
      expect(violations, `faults: ${faults.join(', ')}; jobs: ${JSON.stringify(jobs)}`).to.deep.equal([])
      expect(jobs.accepted).to.be.above(0)
    })
  }
})
