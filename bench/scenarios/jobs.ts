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

/** Share of urgent jobs that may start late: none. */
const MAX_URGENT_LATENESS = 0

interface JobRun {
  readonly deployment: Deployment
  readonly book: JobTracker
}

/** Runs something with jobs on a deployment. */
async function runJobs (options: RunOptions, during: (run: JobRun) => Promise<Measurements>): Promise<Measurements> {
  const deployment = new Deployment({ fleet: FLEETS[options.deployment], controls: 3, entries: 3 })
  try {
    await deployment.start()
    const book = new JobTracker(deployment)
    const sampler = new FleetSampler(deployment)
    const sampling = sampler.run()
    const meter = new UsageMeter(deployment)
    await meter.begin()
    const measured = await during({ deployment, book })
    const control = await meter.end()
    sampler.stop()
    await sampling
    const starts = book.listUrgentStartDelaysMs().sort((a, b) => a - b)
    const lateness = book.computeUrgentLateness()
    const extra = { urgentStartMsMedian: starts[Math.floor(starts.length / 2)] ?? 0, urgentStartMsMax: starts.at(-1) ?? 0, jobs: book.submitted.length, ...measured.extra }
    const violations = [
      ...(lateness > MAX_URGENT_LATENESS ? [`${(100 * lateness).toFixed(1)} % of urgent jobs started after more than 1 s`] : []),
      ...(deployment.oracle.doubleTasks > 0 ? [`${deployment.oracle.doubleTasks} times a job ran on two workers at once`] : []),
      ...measured.violations ?? []
    ]
    if (process.env['BENCH_DEBUG'] !== undefined) process.stderr.write(deployment.logs())
    return { ...sampler.measure(), doubles: book.doubles(), latenessByClass: { urgent: lateness }, control, ...measured, extra, violations }
  } finally {
    await deployment.stop()
  }
}

function serviceOf (name: DeploymentName, order: number): string {
  const services = Object.values(FLEETS[name].services)
  return services[order % services.length] ?? ''
}

/** Jobs of one class; declared run times and sizes are far off. */
function jobsOf (options: RunOptions, fields: Partial<JobKind>, count: number): JobKind[] {
  const fleet = FLEETS[options.deployment]
  return Array.from({ length: count }, (_each, order): JobKind => ({
    service: serviceOf(options.deployment, order),
    team: fleet.teams[order % fleet.teams.length] ?? 'default',
    class: 'normal',
    cores: fleet.cores / 8,
    runMs: 1000,
    repeatable: true,
    checkpointable: true,
    payload: { ranMs: 1000 + (order * 379 % 1500), cores: fleet.cores / 16 },
    ...fields
  }))
}

/** Submits urgent jobs evenly over a time. */
async function submitUrgent (book: JobTracker, options: RunOptions, count: number, seconds: number): Promise<void> {
  const urgent = jobsOf(options, { class: 'urgent', payload: { ranMs: 300 } }, count)
  for (const job of urgent) {
    await book.submit(job)
    await sleep(seconds * 1000 / count)
  }
}

/** Waits until no job is queued or under way; returns how many are lost from sight. */
async function drainJobs (run: JobRun, seconds: number): Promise<Measurements> {
  const live = new Set(['queued', 'placed', 'running', 'revoking'])
  const end = Date.now() + seconds * 1000
  let left = Number.POSITIVE_INFINITY
  while (left > 0 && Date.now() < end) {
    const jobs = (await run.deployment.status())?.fleet.jobs ?? {}
    left = Object.entries(jobs).reduce((sum, [state, count]) => sum + (live.has(state) ? count : 0), 0)
    await sleep(300)
  }
  return left > 0 ? { violations: [`${left} jobs were still under way after ${seconds} s`] } : {}
}

/** Fivefold surge of jobs with urgent work among them. */
export const jobSurge: Scenario = {
  name: 'job-surge',
  about: 'five times as many jobs as fit, of declared sizes far off; urgent ones start within 1 s',
  run: (options) => runJobs(options, async (run) => {
    const total = Object.values(FLEETS[options.deployment].pools).reduce((sum, count) => sum + count, 0) * 8
    const surge = run.book.submitMany(jobsOf(options, {}, total * 3))
    await Promise.all([surge, submitUrgent(run.book, options, 40, options.seconds * 0.8)])
    return await drainJobs(run, options.seconds * 3)
  })
}

/** Workers that fail everything they start. */
export const badWorkers: Scenario = {
  name: 'bad-workers',
  about: 'some workers fail every task; they are quarantined, jobs go elsewhere, and jobs that always fail are parked',
  run: (options) => runJobs(options, async (run) => {
    const endpoints = [...run.deployment.endpoints.values()]
    const bad = endpoints.filter((_each, order) => order % 6 === options.seed % 6)
    for (const endpoint of bad) endpoint.fault = 'failsAll'
    await run.book.submitMany(jobsOf(options, { payload: { ranMs: 200 } }, 300))
    await run.book.submitMany(jobsOf(options, { label: 'hopeless', payload: { ranMs: 100, fails: true } }, 5))
    await submitUrgent(run.book, options, 20, options.seconds * 0.5)
    const drained = await drainJobs(run, options.seconds * 3)
    const states = await run.book.readStates()
    const parked = run.book.submitted.filter(({ id }) => states.get(id) === 'parked')
    const wrongly = parked.filter(({ kind }) => kind.label !== 'hopeless').length
    const hopeless = parked.length - wrongly
    const violations = [...drained.violations ?? [], ...(wrongly > 0 ? [`${wrongly} good jobs were parked`] : []), ...(hopeless < 5 ? [`${5 - hopeless} hopeless jobs were not parked`] : [])]
    return { violations, extra: { badWorkers: bad.length, parked: hopeless } }
  })
}

/** A wave of cancellations. */
export const cancelWave: Scenario = {
  name: 'cancel-wave',
  about: '10,000 queued jobs are cancelled by one command while urgent work goes on',
  run: (options) => runJobs(options, async (run) => {
    await run.book.submitMany(jobsOf(options, { class: 'bulk', label: 'wave', runMs: 60_000, payload: { ranMs: 60_000 } }, 10_000), 200)
    const cancel = async (): Promise<number> => {
      await sleep(1000)
      const startedAt = Date.now()
      await run.deployment.ctlOrThrow(['jobs', 'cancel', '--label', 'wave'])
      return Date.now() - startedAt
    }
    const [cancelMs] = await Promise.all([cancel(), submitUrgent(run.book, options, 30, Math.max(5, options.seconds * 0.5))])
    return { ...await drainJobs(run, 60), extra: { cancelMs } }
  })
}
