/** Runs one soak: the real programs under load and faults, checked by an oracle. */
import { writeFileSync } from 'node:fs'
import { encodeJob } from '../../platform/standin/caller.js'
import { Random } from '../../src/batch/fuzz/random.js'
import { JobDeployment, waitUntil } from '../jobs/deployment.js'
import { pause, SoakFaultInjector } from './faults.js'
import { SoakOracle, type JobOutcome } from './oracle/index.js'

const WORKER_COUNT = 4
const TASK_MS = { min: 60, max: 2000 } as const
const MAX_TASKS = 12
const FIRST_CONFIG_VERSION = 1

const JOB_PAUSE_MS = 120
const FAULT_PAUSE_MS = 700

/** Offsets of seeds for choices that are independent of the others. */
const RESTART_STREAM = 1_000_000
const TASK_LENGTH_STREAM = 2_000_000

const MAX_ATTEMPTS = 4
const ATTEMPT_TIMEOUT_MS = 3000
const CANCEL_SHARE = 0.1

/** Result of one soak run. */
export interface SoakResult {
  readonly seed: number
  /** Descriptions of broken guarantees; empty if the run passed. */
  readonly violations: readonly string[]
  /** Number of jobs by what their callers learned. */
  readonly jobs: Record<JobOutcome, number>
  /** Injected faults in the order in which they began. */
  readonly faults: readonly string[]
}

/**
 * Runs the programs under load and faults, then waits until every job that was accepted and not cancelled is completed.
 * If a guarantee was broken and `SOAK_LOGS` names a file, the log lines of all processes are written to it.
 *
 * @param seed - seed of the random numbers behind load and faults
 * @param seconds - how long faults are injected, in seconds
 * @returns violations, counts of jobs and the injected faults
 */
export async function runSoak (seed: number, seconds: number): Promise<SoakResult> {
  const deployment = new JobDeployment()
  const oracle = new SoakOracle()
  const faultInjector = new SoakFaultInjector(deployment, oracle, new Random(seed), new Random(seed + RESTART_STREAM), WORKER_COUNT)
  try {
    await deployment.start()
    await faultInjector.start()
    await deployment.configure(FIRST_CONFIG_VERSION)
    oracle.recordAcknowledgedConfig(FIRST_CONFIG_VERSION)
    const endsAt = Date.now() + seconds * 1000
    const load = generateLoad(deployment, oracle, new Random(seed + 1), new Random(seed + TASK_LENGTH_STREAM), endsAt)
    while (Date.now() < endsAt) {
      faultInjector.injectRandomFaults()
      await faultInjector.checkShownConfigs()
      await pause(FAULT_PAUSE_MS)
    }
    await faultInjector.settle()
    await load
    await awaitAcceptedJobs(deployment, oracle)
    await faultInjector.checkShownConfigs()
  } finally {
    faultInjector.stop()
    await deployment.stop()
  }
  if (oracle.violations.length > 0 && process.env.SOAK_LOGS !== undefined) writeFileSync(process.env.SOAK_LOGS, deployment.lines.map((line) => JSON.stringify(line)).join('\n'))
  return { seed, violations: oracle.violations, jobs: oracle.outcomeCounts, faults: faultInjector.injectedFaults }
}

/** Submits jobs until `endsAt` (milliseconds since the Unix epoch) and waits until all submissions are settled. */
async function generateLoad (deployment: JobDeployment, oracle: SoakOracle, random: Random, lengthRandom: Random, endsAt: number): Promise<void> {
  const submissions: Array<Promise<void>> = []
  for (let jobNumber = 1; Date.now() < endsAt; jobNumber++) {
    submissions.push(submitJob(deployment, oracle, jobNumber.toString(16).padStart(16, '0'), 1 + Math.floor(random.next() * MAX_TASKS), random.next() < CANCEL_SHARE, Math.round(TASK_MS.min * (TASK_MS.max / TASK_MS.min) ** lengthRandom.next())))
    await pause(JOB_PAUSE_MS)
  }
  await Promise.all(submissions)
}

/** Submits a job with retries, records what its caller learned, and cancels the job if asked to. */
async function submitJob (deployment: JobDeployment, oracle: SoakOracle, id: string, tasks: number, shouldCancel: boolean, taskMs: number): Promise<void> {
  oracle.expectJob(id, tasks)
  let isRefusalCertain = true
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const status = await requestStatus(deployment, 'POST', id, encodeJob(tasks, taskMs, String(taskMs)))
    if (status === 200) {
      oracle.settle(id, 'accepted')
      break
    }
    // Only 503 and 429 guarantee that the job was not accepted and will never run.
    if (status !== 503 && status !== 429) isRefusalCertain = false
    if (attempt === MAX_ATTEMPTS - 1) oracle.settle(id, isRefusalCertain ? 'refused' : 'unknown')
    else await pause(JOB_PAUSE_MS * (attempt + 1))
  }
  if (shouldCancel) oracle.recordCancellation(id, await requestStatus(deployment, 'DELETE', id))
}

/** Sends a request and returns the status of the answer, or 0 if there was none. */
async function requestStatus (deployment: JobDeployment, method: string, id: string, body?: string): Promise<number> {
  try {
    return (await deployment.ask(method, `/queue/${id}`, body, ATTEMPT_TIMEOUT_MS)).status
  } catch {
    return 0
  }
}

/** Waits for each job that was accepted and not cancelled, and records a violation for each that does not complete. */
async function awaitAcceptedJobs (deployment: JobDeployment, oracle: SoakOracle): Promise<void> {
  for (const id of oracle.uncancelledAcceptedJobs) {
    let state: unknown
    try {
      await waitUntil(async () => {
        const answer = await deployment.ask('GET', `/queue/${id}`, undefined, ATTEMPT_TIMEOUT_MS)
        state = answer.status === 200 ? answer.body.state : answer.status
        return state === 'completed'
      })
      oracle.show(id, state)
    } catch {
      oracle.violations.push(`job ${id} was accepted, but its state is "${String(state)}" a minute after the last fault; its cancellation was ${oracle.describeCancellation(id)}`)
    }
  }
}
