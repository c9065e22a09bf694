/**
 * Rule LOST: after jobs that can never be done, each worker that holds a task that lasts gets no other task any more, so that accepted jobs are
 * never begun on a nearly empty service.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CapacityWatch } from '../lib/checks.mjs'
import { BROKEN, config, HELD, newId, NOT_RUN, route, runCase, service, sleep, until } from '../lib/deployment.mjs'

const HOST = 'pule25.example'
const WORKERS = 6
const SOUND_JOBS = 80
const POISON_JOBS = 4
const LATER_JOBS = 6
const TASK_MS = 300
const SMALL = { count: 1, cpu: 1000, memMb: 256, estRuntimeMs: TASK_MS }
const POISON = { count: 8, cpu: 4600, memMb: 256, estRuntimeMs: TASK_MS }
const LASTING = { count: 5, cpu: 1000, memMb: 512, longRunning: true }

/** Jobs are asked for this long after the end of the traffic (`finish_s`); the rule allows 3 s from there. */
const FINISH_MS = 14_000
const LIMIT_MS = 3000
const WATCH_MS = 8000

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const steps = new Map()
  const poison = new Set()
  const taskOf = (task) => {
    const id = task.split('.')[0]
    if (steps.get(id)?.longRunning === true) return { ms: Number.POSITIVE_INFINITY }
    return { ms: TASK_MS, outcome: poison.has(id) ? 'failed' : 'done' }
  }
  const routes = [route('r-last', HOST, '/tije37/', 'ic-net', { targetLatencyMs: 2500, maxAttempts: 4 }), route('r-batch', HOST, '/kafi706/', 'ic-net')]
  await deployment.configure(config(1, routes, [service('ic-net')]))
  for (let i = 0; i < WORKERS; i++) await deployment.addWorker({ service: 'ic-net', taskOf })
  await sleep(3000)
  const submit = async (prefix, step, isPoison = false) => {
    const id = newId()
    steps.set(id, step)
    if (isPoison) poison.add(id)
    const answer = await deployment.ask(HOST, 'POST', `${prefix}${id}`, { spec: 'x', steps: [step] })
    if (answer?.status !== 200) throw new Error(`a job was not accepted: ${answer?.status}`)
    return id
  }
  const isDone = (id) => deployment.events.some(({ event, task, how }) => event === 'run.ended' && how === 'done' && task.startsWith(id))
  const sound = []
  for (let i = 0; i < SOUND_JOBS; i++) sound.push(await submit('/kafi706/', SMALL))
  if (!await until(() => sound.every(isDone), 20_000)) return NOT_RUN
  if (deployment.hasTrouble) {
    for (let i = 0; i < POISON_JOBS; i++) await submit('/kafi706/', POISON, true)
    const areFailed = async () => {
      for (const id of poison) if ((await deployment.ask(HOST, 'GET', `/kafi706/${id}`))?.body.state !== 'failed') return false
      return true
    }
    if (!await until(areFailed, 30_000)) return NOT_RUN
  }
  await submit('/tije37/', LASTING)
  await submit('/tije37/', LASTING)
  await sleep(8000)
  const jobs = new Map()
  for (let i = 0; i < LATER_JOBS; i++) jobs.set(await submit('/kafi706/', SMALL), { cpu: SMALL.cpu, isDone: false })
  const updateDone = setInterval(() => { for (const [id, job] of jobs) job.isDone ||= isDone(id) }, 50)
  await sleep(FINISH_MS)
  const watch = new CapacityWatch(deployment, jobs, (task) => steps.get(task.split('.')[0])?.cpu ?? 0)
  await sleep(WATCH_MS)
  watch.stop()
  clearInterval(updateDone)
  const states = []
  for (const id of jobs.keys()) states.push((await deployment.ask(HOST, 'GET', `/kafi706/${id}`))?.body.state)
  const held = [...watch.longest.values()].filter((ms) => ms > LIMIT_MS)
  const lasting = deployment.workers.map((worker) => worker.runningTasks.length)
  deployment.record({ event: 'checked', tasksOnWorkers: lasting.join(' '), jobs: jobs.size, states: states.join(' '), longestMs: Math.max(0, ...watch.longest.values()), heldUpOverLimit: held.length })
  return held.length > 0 ? BROKEN : HELD
})
