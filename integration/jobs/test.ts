import { expect } from 'chai'
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { encodeJob } from '../../platform/standin/caller.js'
import { StandinWorker, type StandinWorkerOptions } from '../../platform/standin/worker.js'
import { JobDeployment, until } from './deployment.js'

const execute = promisify(execFile)

const TASK_MS = 150

const createJob = (tasks = 4): string => encodeJob(tasks, TASK_MS)

describe('jobs with real processes', () => {
  let deployment: JobDeployment
  const workers: StandinWorker[] = []
  let nextId = 0

  const newId = (): string => (++nextId).toString(16).padStart(16, '0')
  const stateOf = async (id: string): Promise<unknown> => (await deployment.ask('GET', `/queue/${id}`)).body.state

  async function startWorker (changes: Partial<StandinWorkerOptions> = {}): Promise<StandinWorker> {
    const n = workers.length
    const worker = new StandinWorker({ id: `i-${n}`, address: `127.0.1.${n + 1}:18570`, service: 'pool', control: deployment.controlAddresses, taskMs: TASK_MS, ...changes })
    workers.push(worker)
    await worker.start()
    return worker
  }

  async function submit (tasks = 4): Promise<string> {
    const id = newId()
    await until(async () => (await deployment.ask('POST', `/queue/${id}`, createJob(tasks))).status === 200)
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

  it('runs a job to its end, each task once', async () => {
    const id = await submit()
    await until(async () => await stateOf(id) === 'completed')
    const counts = workers.flatMap(({ startCounts: starts }) => [...starts].filter(([task]) => task.startsWith(id)).map(([, count]) => count))
    expect(counts).to.deep.equal([1, 1, 1, 1, 1])
  })

  it('explains to an operator how a job and its queue stand', async () => {
    const id = await submit()
    await until(async () => await stateOf(id) === 'completed')
    const explain = async (...args: readonly string[]): Promise<string> => (await execute(process.execPath, ['dist/oleanderctl.mjs', 'batch', 'explain', ...args, '--internal', deployment.internalAddresses.join(',')])).stdout
    expect(await explain('job', id)).to.include(`Job ${id} is completed`)
    expect(await explain('config')).to.include('Configuration version 1 is in force')
    expect(await explain('worker', 'nobody')).to.equal('There is no worker nobody.\n')
  })

  it('takes a job that is handed in twice as one, and shows no job that nobody has handed in', async () => {
    const id = await submit()
    expect((await deployment.ask('POST', `/queue/${id}`, createJob())).status).to.equal(200)
    await until(async () => await stateOf(id) === 'completed')
    expect((await deployment.ask('GET', `/queue/${newId()}`)).status).to.equal(410)
    expect((await deployment.ask('GET', `/other/${id}`)).status).to.equal(404)
  })

  it('starts nothing more of a job once its cancellation is acknowledged', async () => {
    const id = await submit(200)
    const count = (): number => workers.reduce((sum, { startCounts: starts }) => sum + [...starts.keys()].filter((task) => task.startsWith(id)).length, 0)
    expect((await deployment.ask('DELETE', `/queue/${id}`)).status).to.equal(200)
    const atAcknowledgement = count()
    expect(await stateOf(id)).to.equal('cancelled')
    const passJob = async (): Promise<void> => {
      const other = await submit()
      await until(async () => await stateOf(other) === 'completed')
    }
    await passJob()
    await passJob()
    expect(count()).to.equal(atAcknowledgement)
    expect(atAcknowledgement).to.be.below(200)
  })

  it('refuses what it cannot read and changes nothing', async () => {
    expect((await deployment.ask('POST', `/queue/${newId()}`, '{"steps":[]}')).status).to.equal(400)
    const bad = await fetch(`http://${deployment.controlAddresses[0] as string}/config`, { method: 'PUT', body: '{"version":99,"routes":[{"na' })
    expect(bad.status).to.equal(400)
    const report = await fetch(`http://${deployment.controlAddresses[0] as string}/instances/i-x`, { method: 'PUT', body: '{"service":7}' })
    expect(report.status).to.equal(400)
    const config = await (await fetch(`http://${deployment.controlAddresses[1] as string}/config`)).json() as { version: number }
    expect(config.version).to.equal(1)
  })

  it('goes on under a new leader with all that was accepted, and takes the lost member back with an empty disk', async () => {
    const ids = await Promise.all([submit(12), submit(12)])
    const lost = deployment.leader as string
    await deployment.end(lost, 'SIGKILL', true)
    ids.push(await submit())
    deployment.startControl(Number(lost.slice(-1)), false)
    for (const id of ids) await until(async () => await stateOf(id) === 'completed')
    await until(() => deployment.lines.some(({ event, member }) => event === 'group.removed' && String(member).startsWith(lost)))
    // The next leader may be lost as well: the one that came back counts.
    const second = deployment.leader as string
    await deployment.end(second, 'SIGTERM')
    const id = await submit()
    await until(async () => await stateOf(id) === 'completed')
    deployment.startControl(Number(second.slice(-1)), false)
    expect(deployment.lines.some(({ event }) => event === 'leader.resigned')).to.equal(true)
  })

  it('tells in the log why a job is late: the worker that had its tasks was lost', async () => {
    const worker = await startWorker({ taskMs: 60_000 })
    await until(() => deployment.lines.some(({ event, worker }) => event === 'worker.enrolled' && String(worker).startsWith('i-2@')))
    const id = await submit(60)
    await until(() => [...worker.startCounts.keys()].some((task) => task.startsWith(id)))
    worker.crash()
    await until(async () => await stateOf(id) === 'completed')
    const ended = deployment.lines.find(({ event, task, outcome }) => event === 'run.ended' && String(task).startsWith(id) && (outcome === 'lapsed' || outcome === 'lost'))
    expect(ended, 'the run that was given up').to.not.equal(undefined)
    const cause = deployment.lines.find(({ event, worker }) => event === 'worker.silent' && worker === ended?.worker)
    expect(cause?.reason, 'why its worker did not answer').to.be.a('string')
  })

  it('tells in the log why a job has failed: one task failed as often as the queue allows', async () => {
    for (const worker of workers) worker.crash()
    await startWorker({ isFailing: true })
    const id = await submit(1)
    await until(async () => await stateOf(id) === 'failed')
    const failures = deployment.lines.filter(({ event, task, outcome }) => event === 'run.ended' && task === `${id}.0.0.0` && outcome === 'failed')
    expect(failures.map(({ run }) => run)).to.have.length(2)
    expect(failures[0]?.worker).to.match(/^i-3@/)
  })

  it('tells in the log why a request was sent away: no control process led', async () => {
    for (const name of ['control-0', 'control-1', 'control-2']) await deployment.end(name)
    const id = newId()
    const answer = await deployment.ask('POST', `/queue/${id}`, createJob())
    expect(answer.status).to.be.oneOf([503, 504])
    await until(() => deployment.lines.some(({ event, path, reason }) => event === 'request.failed' && String(path).endsWith(id) && typeof reason === 'string'))
    await until(() => deployment.lines.some(({ event }) => event === 'leader.lost'))
  })

  it('answers what it has read before it ends, also without a leader', async () => {
    const end = deployment.end('entry', 'SIGTERM')
    await until(() => deployment.lines.some(({ event, part }) => event === 'process.stopping' && part === 'entry'))
    const answers = await Promise.all(Array.from({ length: 5 }, () => deployment.ask('POST', `/queue/${newId()}`, createJob())))
    for (const { status } of answers) expect(status).to.be.oneOf([503, 504])
    await end
  })
})
