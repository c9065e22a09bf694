/** Scenarios about jobs. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { DeploymentName } from '../harness/fleet.js'
import { Deployment } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { JobTracker, type JobKind } from '../jobs/index.js'
import type { Measurements } from '../report/index.js'
import { FleetSampler } from '../sampler/index.js'
import type { RunOptions, Scenario } from './types.js'

/** Share of urgent jobs that may start late. */
const MAX_URGENT_LATENESS = 0

/** Deployment and jobs of a running scenario. */
interface JobScenarioContext {
  readonly deployment: Deployment
  readonly tracker: JobTracker
}

/** Runs a scenario with jobs on a deployment and measures starts, lateness and double runs. */
async function runJobs (options: RunOptions, during: (run: JobScenarioContext) => Promise<Measurements>): Promise<Measurements> {
  const deployment = new Deployment({ fleet: FLEETS[options.deployment], controls: 3, entries: 3 })
  try {
    await deployment.start()
    const tracker = new JobTracker(deployment)
    const sampler = new FleetSampler(deployment)
    const sampling = sampler.run()
    const meter = new UsageMeter(deployment)
    await meter.begin()
    const measurements = await during({ deployment, tracker })
    const control = await meter.end()
    sampler.stop()
    await sampling
    const startDelaysMs = tracker.listUrgentStartDelaysMs().sort((a, b) => a - b)
    const lateness = tracker.computeUrgentLateness()
    const extra = { urgentStartMsMedian: startDelaysMs[Math.floor(startDelaysMs.length / 2)] ?? 0, urgentStartMsMax: startDelaysMs.at(-1) ?? 0, jobs: tracker.submitted.length, ...measurements.extra }
    const violations = [
      ...(lateness > MAX_URGENT_LATENESS ? [`${(100 * lateness).toFixed(1)} % of urgent jobs started later than 1 s after their submission`] : []),
      ...(deployment.oracle.overlappingTaskStarts > 0 ? [`a job ran on two workers at once ${deployment.oracle.overlappingTaskStarts} times`] : []),
      ...measurements.violations ?? []
    ]
    if (process.env['BENCH_DEBUG'] !== undefined) process.stderr.write(deployment.logs())
    return { ...sampler.measure(), doubles: tracker.doubles(), latenessByClass: { urgent: lateness }, control, ...measurements, extra, violations }
  } finally {
    await deployment.stop()
  }
}

function selectService (name: DeploymentName, index: number): string {
  const services = Object.values(FLEETS[name].services)
  return services[index % services.length] ?? ''
}

/**
 * Creates jobs whose declared run times and sizes differ widely from the real ones.
 *
 * @param options - options of the run
 * @param fields - properties that differ from the defaults
 * @param count - number of jobs
 */
function createJobs (options: RunOptions, fields: Partial<JobKind>, count: number): JobKind[] {
  const fleet = FLEETS[options.deployment]
  return Array.from({ length: count }, (_each, index): JobKind => ({
    service: selectService(options.deployment, index),
    team: fleet.teams[index % fleet.teams.length] ?? 'default',
    class: 'normal',
    cores: fleet.cores / 8,
    runMs: 1000,
    repeatable: true,
    checkpointable: true,
    payload: { ranMs: 1000 + (index * 379 % 1500), cores: fleet.cores / 16 },
    ...fields
  }))
}

/**
 * Submits urgent jobs evenly over a time.
 *
 * @param tracker - submits the jobs
 * @param options - options of the run
 * @param count - number of jobs
 * @param seconds - length of the time, in seconds
 */
async function submitUrgent (tracker: JobTracker, options: RunOptions, count: number, seconds: number): Promise<void> {
  const urgent = createJobs(options, { class: 'urgent', payload: { ranMs: 300 } }, count)
  for (const job of urgent) {
    await tracker.submit(job)
    await sleep(seconds * 1000 / count)
  }
}

/** Waits until no job is queued, placed, running or being revoked; returns a violation when some still are after the given seconds. */
async function waitForJobs (run: JobScenarioContext, seconds: number): Promise<Measurements> {
  const activeStates = new Set(['queued', 'placed', 'running', 'revoking'])
  const deadline = Date.now() + seconds * 1000
  let remaining = Number.POSITIVE_INFINITY
  while (remaining > 0 && Date.now() < deadline) {
    const jobs = (await run.deployment.status())?.fleet.jobs ?? {}
    remaining = Object.entries(jobs).reduce((sum, [state, count]) => sum + (activeStates.has(state) ? count : 0), 0)
    await sleep(300)
  }
  return remaining > 0 ? { violations: [`${remaining} jobs were still queued or running after ${seconds} s`] } : {}
}

/** Submits several times as many jobs as fit, with urgent jobs among them. */
export const jobSurge: Scenario = {
  name: 'job-surge',
  description: 'many more jobs than fit, with declared sizes that differ widely from the real ones; urgent jobs start within 1 s',
  run: (options) => runJobs(options, async (run) => {
    const total = Object.values(FLEETS[options.deployment].pools).reduce((sum, count) => sum + count, 0) * 8
    const submitting = run.tracker.submitMany(createJobs(options, {}, total * 3))
    await Promise.all([submitting, submitUrgent(run.tracker, options, 40, options.seconds * 0.8)])
    return await waitForJobs(run, options.seconds * 3)
  })
}

/** Makes some workers fail every task that they start. */
export const badWorkers: Scenario = {
  name: 'bad-workers',
  description: 'some workers fail every task: they are quarantined and jobs run elsewhere; jobs that always fail are parked',
  run: (options) => runJobs(options, async (run) => {
    const endpoints = [...run.deployment.endpoints.values()]
    const failingEndpoints = endpoints.filter((_each, index) => index % 6 === options.seed % 6)
    for (const endpoint of failingEndpoints) endpoint.fault = 'failsAll'
    await run.tracker.submitMany(createJobs(options, { payload: { ranMs: 200 } }, 300))
    await run.tracker.submitMany(createJobs(options, { label: 'hopeless', payload: { ranMs: 100, fails: true } }, 5))
    await submitUrgent(run.tracker, options, 20, options.seconds * 0.5)
    const waitResult = await waitForJobs(run, options.seconds * 3)
    const states = await run.tracker.readStates()
    const parked = run.tracker.submitted.filter(({ id }) => states.get(id) === 'parked')
    const wronglyParkedCount = parked.filter(({ kind }) => kind.label !== 'hopeless').length
    const alwaysFailingCount = parked.length - wronglyParkedCount
    const violations = [...waitResult.violations ?? [], ...(wronglyParkedCount > 0 ? [`${wronglyParkedCount} jobs that can succeed were parked`] : []), ...(alwaysFailingCount < 5 ? [`${5 - alwaysFailingCount} jobs that always fail were not parked`] : [])]
    return { violations, extra: { badWorkers: failingEndpoints.length, parked: alwaysFailingCount } }
  })
}

/** Cancels many queued jobs with one command. */
export const cancelWave: Scenario = {
  name: 'cancel-wave',
  description: '10,000 queued jobs are cancelled by one command while urgent jobs keep running',
  run: (options) => runJobs(options, async (run) => {
    await run.tracker.submitMany(createJobs(options, { class: 'bulk', label: 'wave', runMs: 60_000, payload: { ranMs: 60_000 } }, 10_000), 200)
    const cancel = async (): Promise<number> => {
      await sleep(1000)
      const startedAt = Date.now()
      await run.deployment.ctlOrThrow(['jobs', 'cancel', '--label', 'wave'])
      return Date.now() - startedAt
    }
    const [cancelMs] = await Promise.all([cancel(), submitUrgent(run.tracker, options, 30, Math.max(5, options.seconds * 0.5))])
    return { ...await waitForJobs(run, 60), extra: { cancelMs } }
  })
}
