import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Metrics } from '../../metrics/index.js'
import type { Workspace } from '../../workspaces/types.js'
import { createConfig, createJob, createQueue, createStep, createWorkspace } from '../fixtures/index.js'
import { forecastJob } from '../jobObjective/index.js'
import type { MeasuredJob } from '../measureDemand/index.js'
import { BatchState } from '../state/index.js'
import type { JobRecord } from '../state/records.js'
import { countJobOf } from '../state/workspaces/index.js'
import { JobAdmission, type Submission } from './index.js'

/** A job of 4 machine-seconds in one step of a second; it may wait 600 ms + 0.6 x 1 s. */
const JOB = { steps: [createStep({ count: 16, cpu: 4000, estimateMs: 1000 })] }
const SLACK_MS = 1200

function measureJob (spec: ReturnType<typeof createJob>, isBeyondRate: boolean, acceptedAt: number): MeasuredJob {
  const job: JobRecord = { ...spec, isBeyondRate, acceptedAt, state: 'active', hasStarted: false, isSuspect: false, endedAt: 0, occurrences: new Map(), doneOccurrences: 0 }
  return { job, id: spec.id, estimateCorrection: 1, priority: 0, isLasting: false, isBeyondRate: job.isBeyondRate, acceptedAt, forecast: forecastJob(job, null, createQueue(), 1), meanWork: 0 }
}

function createHarness ({ machines = 10, workspaces = [createWorkspace('studio', { weight: 100 }), createWorkspace('library', { weight: 100 })] as readonly Workspace[] | null } = {}) {
  const clock = new ManualClock()
  const metrics = new Metrics()
  const lines: string[] = []
  const log = new EventLog('test', clock, { writableLength: 0, write: (text) => lines.push(text) })
  // One machine in all is less than any job that arrives keeps busy.
  const fleet = { machines, total: 1 }
  const waiting: MeasuredJob[] = []
  const admission = new JobAdmission(clock, log, metrics, {
    describeJobsOf: () => waiting,
    findMachineCapacity: () => ({ cpu: 16_000, memory: 32_000, accelerators: 0 }),
    getEstimateCorrection: () => 1,
    countAttainable: () => fleet.machines,
    countMachines: () => fleet.total
  })
  const state = new BatchState()
  state.apply(1, { type: 'configure', at: 0, config: { ...createConfig(1), workspaces } })
  const { data } = state
  let count = 0
  const submit = (workspace: string, changes: Partial<Submission['spec']> = {}, { pending = 0, id = `${++count}` } = {}) => {
    const spec = createJob(id, { ...JOB, ...changes, workspace })
    const refusal = admission.decide({ spec, id, queue: createQueue(), workspace }, data, pending)
    if (refusal === null) waiting.push(measureJob(spec, countJobOf(data, workspace, clock.wall()), clock.wall()))
    return refusal
  }
  const fill = (workspace: string): number => {
    for (let accepted = 0; ; accepted++) if (submit(workspace) !== null) return accepted
  }
  return { clock, fleet, waiting, lines, metrics, submit, fill }
}

describe('JobAdmission', () => {
  it('accepts what the machines can start in time, and refuses the next at once with a time to come back', () => {
    const { submit, fill } = createHarness()
    // 10 machines at 0.85 of their capacity do 10.2 machine-seconds in the time that a job may wait: three jobs of 4 s may be ahead.
    expect(fill('studio')).to.equal(3)
    const refusal = submit('studio')
    expect(refusal).to.include({ reason: 'backlog' })
    expect(refusal?.retryAfterMs).to.be.within(1000, 10_000)
  })

  it('accepts jobs of a workspace that has nothing waiting although another has filled the queue', () => {
    const { submit, fill } = createHarness()
    fill('studio')
    expect(submit('library')).to.equal(null)
    expect(submit('studio')).to.not.equal(null)
  })

  it('gives a workspace beyond its rate what is left, and refuses it before others', () => {
    const { submit } = createHarness({ machines: 20, workspaces: [createWorkspace('studio', { weight: 0.2 }), createWorkspace('library', { weight: 100 })] })
    // One job within the rate; two beyond it fill half of the time that jobs may wait.
    for (let i = 0; i < 3; i++) expect(submit('studio')).to.equal(null)
    for (let i = 0; i < 3; i++) expect(submit('studio')).to.include({ reason: 'rate' })
    for (let i = 0; i < 3; i++) expect(submit('library')).to.equal(null)
  })

  it('accepts all while the machines can do what arrives, and refuses once they can\'t', () => {
    const { fleet, submit } = createHarness()
    fleet.total = 100
    let accepted = 0
    while (submit('studio') === null) accepted += 1
    // Jobs of 4 machine-seconds, measured over a second, on 85 usable machines.
    expect(accepted).to.equal(21)
  })

  it('accepts more as soon as machines are there', async () => {
    const { clock, fleet, submit, fill } = createHarness({ machines: 10 })
    fill('studio')
    await clock.advance(100)
    expect(submit('studio')).to.not.equal(null)
    fleet.machines = 50
    await clock.advance(100)
    expect(submit('studio')).to.equal(null)
  })

  it('accepts more as soon as tasks have started', async () => {
    const { clock, waiting, submit, fill } = createHarness()
    fill('studio')
    waiting.length = 1
    await clock.advance(100)
    expect(submit('studio')).to.equal(null)
  })

  it('refuses a job that comes back too late to be on time while others wait, and accepts it when none does', async () => {
    const { clock, waiting, submit, fill } = createHarness()
    fill('studio')
    expect(submit('studio', {}, { id: 'again' })).to.not.equal(null)
    waiting.length = 0
    await clock.advance(SLACK_MS)
    expect(submit('studio')).to.equal(null)
    expect(submit('studio', {}, { id: 'again' })).to.not.equal(null)
    waiting.length = 0
    await clock.advance(100)
    expect(submit('studio', {}, { id: 'again' })).to.equal(null)
  })

  for (const [what, changes] of Object.entries({ 'long-running': { steps: [createStep({ isLasting: true })] }, repeating: { repeatCount: 3, intervalMs: 1000 } })) {
    it(`never refuses ${what} jobs`, () => {
      const { submit, fill } = createHarness()
      fill('studio')
      expect(submit('studio', changes, { pending: 10_000 })).to.equal(null)
    })
  }

  it('refuses nothing while the configuration has no workspaces, or no worker is known', () => {
    const { submit } = createHarness({ workspaces: null, machines: 1 })
    for (let i = 0; i < 100; i++) expect(submit('')).to.equal(null)
  })

  it('refuses what the leader can\'t commit soon', () => {
    expect(createHarness().submit('studio', {}, { pending: 500 })).to.include({ reason: 'leader' })
  })

  it('counts refusals by reason, and logs them once a second by workspace', async () => {
    const { clock, lines, metrics, submit, fill } = createHarness()
    fill('studio')
    for (let i = 0; i < 50; i++) submit('studio')
    expect(lines.filter((line) => line.includes('jobs.refused'))).to.have.length(1)
    await clock.advance(1000)
    fill('studio')
    expect(lines.filter((line) => line.includes('jobs.refused'))[1]).to.include('"studio backlog":51')
    expect(metrics.counters().get('oleanderward_refused_jobs{reason="backlog"}')).to.equal(52)
  })
})
