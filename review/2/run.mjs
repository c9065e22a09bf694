/** Rule BUDGET: after a configuration without its route, a task that fails is started again without end. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, config, HELD, newId, NOT_RUN, route, runCase, service, sleep, until } from '../lib/deployment.mjs'

const HOST = 'pule25.example'
const MAX_ATTEMPTS = 3
const TASK_MS = 300

/** Jobs that can be done, beside one that can't: a share of 0.04. */
const SOUND_JOBS = 24
const WATCH_MS = 30_000

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const poison = newId()
  const taskOf = (task) => ({ ms: TASK_MS, outcome: task.startsWith(poison) ? 'failed' : 'done' })
  const kept = route('r-kept', HOST, '/tije37/', 'ic-net', { maxAttempts: MAX_ATTEMPTS })
  const dropped = route('r-dropped', HOST, '/kafi706/', 'ic-net', { maxAttempts: MAX_ATTEMPTS })
  const services = [service('ic-net')]
  await deployment.configure(config(1, [kept, dropped], services))
  for (let i = 0; i < 4; i++) await deployment.addWorker({ service: 'ic-net', taskOf })
  await sleep(3000)
  const step = { count: 1, cpu: 4600, memMb: 256, estRuntimeMs: TASK_MS }
  const sound = Array.from({ length: SOUND_JOBS }, newId)
  for (const id of [...sound, poison]) {
    const answer = await deployment.ask(HOST, 'POST', `/kafi706/${id}`, { spec: 'x', steps: [step] })
    if (answer?.status !== 200) return NOT_RUN
  }
  const eventsOf = (name) => deployment.events.filter(({ event, task }) => event === name && task === `${poison}.0.0.0`)
  if (!await until(() => eventsOf('run.started').length > 0, 10_000)) return NOT_RUN
  // The next version removes the route while the task's first run is at work; without the disruption it only changes a time-out.
  await deployment.configure(deployment.hasTrouble ? config(2, [kept], services) : config(2, [kept, { ...dropped, timeoutMs: 2500 }], services))
  await sleep(WATCH_MS)
  // The ends `failed` that the system has taken note of, in the order of the record, and the starts after the last that the queue allows.
  const noted = eventsOf('end.acknowledged').filter(({ how }) => how === 'failed')
  const last = noted[MAX_ATTEMPTS - 1]
  const startsBeyond = last === undefined ? [] : eventsOf('run.started').filter(({ at }) => at > last.at)
  const soundDone = sound.filter((id) => deployment.events.some(({ event, task, how }) => event === 'run.ended' && task === `${id}.0.0.0` && how === 'done')).length
  const state = await deployment.ask(HOST, 'GET', `/kafi706/${poison}`)
  deployment.record({ event: 'checked', failedAndNoted: noted.length, startsBeyondMaxAttempts: startsBeyond.length, soundJobsDone: soundDone, answer: state?.status ?? null, state: state?.body.state })
  return startsBeyond.length > 0 ? BROKEN : HELD
})
