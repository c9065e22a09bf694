/**
 * Rule LOST: accepted jobs have nothing running for seconds while the service is nearly empty, because a job that can never be done
 * has its workers reserved.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CapacityWatch } from '../lib/checks.mjs'
import { BROKEN, config, HELD, newId, NOT_RUN, route, runCase, service, sleep, until } from '../lib/deployment.mjs'

const HOST = 'pule25.example'
const SMALL_JOBS = 24
const SMALL = { count: 1, cpu: 1000, memMb: 256, estRuntimeMs: 500 }
const SERVING = { count: 2, cpu: 6000, memMb: 1024, longRunning: true }
const POISON = { count: 2, cpu: 64_000, memMb: 1024, longRunning: true }

/** Jobs are asked for this long after the end of the traffic (`finish_s`); the rule allows 3 s from there. */
const FINISH_MS = 14_000
const LIMIT_MS = 3000
const WATCH_MS = 8000

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const steps = new Map()
  const taskOf = (task) => steps.get(task.split('.')[0])?.longRunning === true ? { ms: Number.POSITIVE_INFINITY } : { ms: 500 }
  await deployment.configure(config(1, [route('r-last', HOST, '/tije37/', 'ic-net', { targetLatencyMs: 2500, maxAttempts: 4 }), route('r-batch', HOST, '/kafi706/', 'ic-net')], [service('ic-net')]))
  for (let i = 0; i < 2; i++) await deployment.addWorker({ service: 'ic-net', taskOf })
  await sleep(3000)
  const submit = async (prefix, step) => {
    const id = newId()
    steps.set(id, step)
    const answer = await deployment.ask(HOST, 'POST', `${prefix}${id}`, { spec: 'x', steps: [step] })
    if (answer?.status !== 200) throw new Error(`a job was not accepted: ${answer?.status}`)
    return id
  }
  await submit('/tije37/', SERVING)
  const isServing = await until(() => deployment.workers.every((worker) => worker.runningTasks.length === 1), 10_000)
  if (!isServing) return NOT_RUN
  // Ends that happen before the disruption show that the small jobs run at all.
  const jobs = new Map()
  const submitSmall = async () => { jobs.set(await submit('/kafi706/', SMALL), { cpu: SMALL.cpu, isDone: false }) }
  const isDone = (id) => deployment.events.some(({ event, task, how }) => event === 'run.ended' && how === 'done' && task.startsWith(id))
  const updateDone = setInterval(() => { for (const [id, job] of jobs) job.isDone ||= isDone(id) }, 50)
  await submitSmall()
  if (!await until(() => [...jobs.keys()].every(isDone), 10_000)) return NOT_RUN
  if (deployment.hasTrouble) await submit('/tije37/', POISON)
  for (let i = 1; i < SMALL_JOBS; i++) await submitSmall()
  await sleep(FINISH_MS)
  const watch = new CapacityWatch(deployment, jobs, (task) => steps.get(task.split('.')[0])?.cpu ?? 0)
  await sleep(WATCH_MS)
  clearInterval(updateDone)
  watch.stop()
  const states = []
  for (const id of jobs.keys()) states.push((await deployment.ask(HOST, 'GET', `/kafi706/${id}`))?.body.state)
  const held = [...watch.longest.values()].filter((ms) => ms > LIMIT_MS)
  deployment.record({ event: 'checked', jobs: jobs.size, done: [...jobs.keys()].filter(isDone).length, states: states.join(' '), longestMs: Math.max(0, ...watch.longest.values()), heldUpOverLimit: held.length })
  return held.length > 0 ? BROKEN : HELD
})
