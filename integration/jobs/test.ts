import { expect } from 'chai'
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { encodeJob } from '../../platform/standin/caller.js'
import { StandInWorker, type StandInWorkerOptions } from '../../platform/standin/worker.js'
import { JobDeployment, LOOPBACK_NETWORK, waitUntil } from './deployment.js'

const execFileAsync = promisify(execFile)

const TASK_MS = 150

/** Time after which a worker that a task has crashed is back. */
const RESTART_MS = 1000

/** Two starts after the third crash under a task are allowed. */
const MAX_STARTS = 5

const createJobBody = (tasks = 4): string => encodeJob(tasks, TASK_MS)

describe('jobs with real processes', () => {
  let deployment: JobDeployment
  const workers: StandInWorker[] = []
  let nextId = 0

  const createId = (): string => (++nextId).toString(16).padStart(16, '0')
  const getState = async (id: string): Promise<unknown> => (await deployment.ask('GET', `/queue/${id}`)).body.state

  async function startWorker (changes: Partial<StandInWorkerOptions> = {}): Promise<StandInWorker> {
    const index = workers.length
    const worker = new StandInWorker({ id: `i-${index}`, address: `${LOOPBACK_NETWORK}.1.${index + 1}:18570`, service: 'pool', control: deployment.controlAddresses, taskMs: TASK_MS, ...changes })
    workers.push(worker)
    await worker.start()
    return worker
  }

  async function submit (tasks = 4): Promise<string> {
    const id = createId()
    await waitUntil(async () => (await deployment.ask('POST', `/queue/${id}`, createJobBody(tasks))).status === 200)
    return id
  }

  before(async () => {
    deployment = new JobDeployment()
    await deployment.start()
    await deployment.configure(1)
    await startWorker()
    await startWorker()
  })

  after(async () => {
    for (const worker of workers) worker.crash()
    await deployment.stop()
  })

  afterEach(function () {
    if (this.currentTest?.state !== 'failed' || process.env.SHOW_LOGS === undefined) return
    for (const line of deployment.lines) console.log(JSON.stringify(line))
  })

  it('runs a job to completion and each of its tasks once', async () => {
    const id = await submit()
    await waitUntil(async () => await getState(id) === 'completed')
    const counts = workers.flatMap(({ startCounts }) => [...startCounts].filter(([task]) => task.startsWith(id)).map(([, count]) => count))
    expect(counts).to.deep.equal([1, 1, 1, 1, 1])
  })

  it('explains a job, the configuration and an unknown worker to an operator', async () => {
    const id = await submit()
    await waitUntil(async () => await getState(id) === 'completed')
    const runExplain = async (...args: readonly string[]): Promise<string> => (await execFileAsync(process.execPath, ['dist/oleanderctl.mjs', 'batch', 'explain', ...args, '--internal', deployment.internalAddresses.join(',')])).stdout
    expect(await runExplain('job', id)).to.include(`Job ${id} is completed`)
    expect(await runExplain('config')).to.include('Configuration version 1 is in force')
    expect(await runExplain('worker', 'nobody')).to.equal('There is no worker nobody.\n')
  })

  it('accepts a job that is submitted twice only once, and reports no job that was never submitted', async () => {
    const id = await submit()
    expect((await deployment.ask('POST', `/queue/${id}`, createJobBody())).status).to.equal(200)
    await waitUntil(async () => await getState(id) === 'completed')
    expect((await deployment.ask('GET', `/queue/${createId()}`)).status).to.equal(410)
    expect((await deployment.ask('GET', `/other/${id}`)).status).to.equal(404)
  })

  it('starts no more tasks of a job after its cancellation was acknowledged', async () => {
    const id = await submit(200)
    const countStarts = (): number => workers.reduce((sum, { startCounts }) => sum + [...startCounts.keys()].filter((task) => task.startsWith(id)).length, 0)
    expect((await deployment.ask('DELETE', `/queue/${id}`)).status).to.equal(200)
    const countAtAcknowledgement = countStarts()
    expect(await getState(id)).to.equal('cancelled')
    const runAnotherJob = async (): Promise<void> => {
      const other = await submit()
      await waitUntil(async () => await getState(other) === 'completed')
    }
    await runAnotherJob()
    await runAnotherJob()
    expect(countStarts()).to.equal(countAtAcknowledgement)
    expect(countAtAcknowledgement).to.be.below(200)
  })

  it('rejects malformed jobs, configurations and reports, and keeps the configuration in force', async () => {
    expect((await deployment.ask('POST', `/queue/${createId()}`, '{"steps":[]}')).status).to.equal(400)
    const badConfig = await fetch(`http://${deployment.controlAddresses[0] as string}/config`, { method: 'PUT', body: '{"version":99,"routes":[{"na' })
    expect(badConfig.status).to.equal(400)
    const report = await fetch(`http://${deployment.controlAddresses[0] as string}/instances/i-x`, { method: 'PUT', body: '{"service":7}' })
    expect(report.status).to.equal(400)
    const config = await (await fetch(`http://${deployment.controlAddresses[1] as string}/config`)).json() as { version: number }
    expect(config.version).to.equal(1)
  })

  it('keeps all accepted jobs under a new leader, and readmits the lost member with an empty disk', async () => {
    const ids = await Promise.all([submit(12), submit(12)])
    const lost = deployment.leader as string
    await deployment.end(lost, 'SIGKILL', true)
    ids.push(await submit())
    deployment.startControl(Number(lost.slice(-1)), false)
    for (const id of ids) await waitUntil(async () => await getState(id) === 'completed')
    await waitUntil(() => deployment.lines.some(({ event, member }) => event === 'group.removed' && String(member).startsWith(lost)))
    // Ending the next leader as well leaves a quorum only if the readmitted member votes.
    const secondLeader = deployment.leader as string
    await deployment.end(secondLeader, 'SIGTERM')
    const id = await submit()
    await waitUntil(async () => await getState(id) === 'completed')
    deployment.startControl(Number(secondLeader.slice(-1)), false)
    expect(deployment.lines.some(({ event }) => event === 'leader.resigned')).to.equal(true)
  })

  it('logs why a job is late: the worker that ran its tasks was lost', async () => {
    const worker = await startWorker({ taskMs: 60_000 })
    await waitUntil(() => deployment.lines.some(({ event, worker }) => event === 'worker.enrolled' && String(worker).startsWith('i-2@')))
    const id = await submit(60)
    await waitUntil(() => [...worker.startCounts.keys()].some((task) => task.startsWith(id)))
    worker.crash()
    await waitUntil(async () => await getState(id) === 'completed')
    const ended = deployment.lines.find(({ event, task, outcome }) => event === 'run.ended' && String(task).startsWith(id) && (outcome === 'lapsed' || outcome === 'lost'))
    expect(ended, 'the run that ended with the loss of its worker').to.not.equal(undefined)
    const cause = deployment.lines.find(({ event, worker }) => event === 'worker.silent' && worker === ended?.worker)
    expect(cause?.reason, 'the reason why its worker did not answer').to.be.a('string')
  })

  it('logs why a job failed: one task used up the attempts that its queue allows', async () => {
    for (const worker of workers) worker.crash()
    await startWorker({ isFailing: true })
    const id = await submit(1)
    await waitUntil(async () => await getState(id) === 'failed')
    const failures = deployment.lines.filter(({ event, task, outcome }) => event === 'run.ended' && task === `${id}.0.0.0` && outcome === 'failed')
    expect(failures.map(({ run }) => run)).to.have.length(2)
    expect(failures[0]?.worker).to.match(/^i-3@/)
  })

  it('logs why a job failed: the workers of two machines crashed as they started its task', async () => {
    for (const worker of workers) worker.crash()
    const starts: string[] = []
    const startCrashing = async (id: string, address: string): Promise<void> => {
      const worker: StandInWorker = await startWorker({
        id,
        address,
        onCrashedByTask: () => {
          starts.push(...worker.startCounts.keys())
          setTimeout(() => { void startCrashing(id, address) }, RESTART_MS)
        }
      })
    }
    for (const i of [1, 2, 3]) await startCrashing(`i-crashing-${i}`, `${LOOPBACK_NETWORK}.2.${i}:18570`)
    const id = await submit(1)
    await waitUntil(async () => await getState(id) === 'failed')
    const evidence = deployment.lines.filter(({ event, task, evidence }) => event === 'run.ended' && task === `${id}.0.0.0` && evidence === 'sole')
    expect(new Set(evidence.map(({ worker }) => String(worker).split('@')[0])).size).to.be.at.least(2)
    for (const { worker } of evidence) expect(deployment.lines.some((line) => line.event === 'worker.silent' && line.worker === worker)).to.equal(true)
    expect(starts.filter((task) => task.startsWith(id)).length).to.be.at.most(MAX_STARTS)
  })

  it('logs why a request was rejected: no control process was leader', async () => {
    for (const name of ['control-0', 'control-1', 'control-2']) await deployment.end(name)
    const id = createId()
    const answer = await deployment.ask('POST', `/queue/${id}`, createJobBody())
    expect(answer.status).to.be.oneOf([503, 504])
    await waitUntil(() => deployment.lines.some(({ event, path, reason }) => event === 'request.failed' && String(path).endsWith(id) && typeof reason === 'string'))
    await waitUntil(() => deployment.lines.some(({ event }) => event === 'leader.lost'))
  })

  it('answers requests that arrive while the entry shuts down, even without a leader', async () => {
    const stopping = deployment.end('entry', 'SIGTERM')
    await waitUntil(() => deployment.lines.some(({ event, part }) => event === 'process.stopping' && part === 'entry'))
    const answers = await Promise.all(Array.from({ length: 5 }, () => deployment.ask('POST', `/queue/${createId()}`, createJobBody())))
    for (const { status } of answers) expect(status).to.be.oneOf([503, 504])
    await stopping
  })
})
