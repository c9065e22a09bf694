/** One soak run: the real programs under load and faults, watched by an oracle. */
import { writeFileSync } from 'node:fs'
import { encodeJob } from '../../platform/standin/caller.js'
import { Random } from '../../src/batch/fuzz/random.js'
import { JobDeployment, until } from '../jobs/deployment.js'
import { pause, SoakFaults } from './faults.js'
import { SoakOracle, type JobFate } from './oracle/index.js'

const WORKERS = 4
const TASK_MS = 120
const MAX_TASKS = 12
const FIRST_VERSION = 1

/** Pauses between two jobs and between two faults, in milliseconds. */
const JOB_PAUSE_MS = 120
const FAULT_PAUSE_MS = 700

const ATTEMPTS = 4
const ATTEMPT_MS = 3000
const CANCEL_SHARE = 0.1

/** What a run has found. */
export interface SoakResult {
  readonly seed: number
  readonly violations: readonly string[]
  readonly jobs: Record<JobFate, number>
  readonly faults: readonly string[]
}

/**
 * Runs the programs for some seconds under faults, and then waits until every job that was accepted is completed.
 *
 * @param seed - decides load and faults
 * @param seconds - how long faults are injected
 */
export async function runSoak (seed: number, seconds: number): Promise<SoakResult> {
  const deployment = new JobDeployment()
  const oracle = new SoakOracle()
  const faults = new SoakFaults(deployment, oracle, new Random(seed), WORKERS)
  try {
    await deployment.start()
    await faults.begin()
    await deployment.configure(FIRST_VERSION)
    oracle.acknowledgeConfig(FIRST_VERSION)
    const end = Date.now() + seconds * 1000
    const load = produceLoad(deployment, oracle, new Random(seed + 1), end)
    while (Date.now() < end) {
      faults.injectOne()
      await faults.checkConfig()
      await pause(FAULT_PAUSE_MS)
    }
    await faults.settle()
    await load
    await awaitOwed(deployment, oracle)
    await faults.checkConfig()
  } finally {
    faults.stop()
    await deployment.stop()
  }
  if (oracle.violations.length > 0 && process.env.SOAK_LOGS !== undefined) writeFileSync(process.env.SOAK_LOGS, deployment.lines.map((line) => JSON.stringify(line)).join('\n'))
  return { seed, violations: oracle.violations, jobs: oracle.counts, faults: faults.story }
}

async function produceLoad (deployment: JobDeployment, oracle: SoakOracle, random: Random, end: number): Promise<void> {
  const callers: Array<Promise<void>> = []
  for (let n = 1; Date.now() < end; n++) {
    callers.push(handIn(deployment, oracle, n.toString(16).padStart(16, '0'), 1 + Math.floor(random.next() * MAX_TASKS), random.next() < CANCEL_SHARE))
    await pause(JOB_PAUSE_MS)
  }
  await Promise.all(callers)
}

async function handIn (deployment: JobDeployment, oracle: SoakOracle, id: string, tasks: number, isCancelled: boolean): Promise<void> {
  oracle.expect(id, tasks)
  let isCertain = true
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const status = await askStatus(deployment, 'POST', id, encodeJob(tasks, TASK_MS))
    if (status === 200) {
      oracle.settle(id, 'accepted')
      break
    }
    // Only these say that the job is not accepted and never runs.
    if (status !== 503 && status !== 429) isCertain = false
    if (attempt === ATTEMPTS - 1) oracle.settle(id, isCertain ? 'refused' : 'unknown')
    else await pause(JOB_PAUSE_MS * (attempt + 1))
  }
  if (isCancelled && await askStatus(deployment, 'DELETE', id) === 200) oracle.cancel(id)
}

/** Status of an answer, or 0 without one. */
async function askStatus (deployment: JobDeployment, method: string, id: string, body?: string): Promise<number> {
  try {
    return (await deployment.ask(method, `/queue/${id}`, body, ATTEMPT_MS)).status
  } catch {
    return 0
  }
}

async function awaitOwed (deployment: JobDeployment, oracle: SoakOracle): Promise<void> {
  for (const id of oracle.owed) {
    let state: unknown
    try {
      await until(async () => {
        const answer = await deployment.ask('GET', `/queue/${id}`, undefined, ATTEMPT_MS)
        state = answer.status === 200 ? answer.body.state : answer.status
        return state === 'completed'
      })
      oracle.show(id, state)
    } catch {
      oracle.violations.push(`job ${id} was accepted, and is "${String(state)}" a minute after the last fault`)
    }
  }
}
