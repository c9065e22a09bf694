/**
 * Rule LOST: a job is shown as `failed` although one worker only has crashed under its task: the other one crashed after the task had ended `done`
 * there, and the answer that listed the end was lost.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, config, HELD, newId, NOT_RUN, route, runCase, service, sleep, until } from '../lib/deployment.mjs'

const HOST = 'pule25.example'
const WORKERS = 8
const TASK_MS = 300

/** The first worker crashes this long after it has started the task, and the second this long after the task has ended `done` there. */
const CRASH_AFTER_START_MS = 120
const CRASH_AFTER_DONE_MS = Number(process.env.CRASH_AFTER_DONE_MS ?? 200)

/** How long a crashed worker is down. */
const DOWN_MS = 2000
const WATCH_MS = 20_000

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  const victim = newId()
  const task = `${victim}.0.0.0`
  const linesOf = (event) => deployment.events.filter((line) => line.event === event && line.task === task)
  let losing = null
  const isAnswerLost = (worker) => worker === losing
  const taskOf = (name) => ({ ms: name === task ? TASK_MS : 1000 })
  await deployment.configure(config(1, [route('r-net', HOST, '/kafi706/', 'ic-net', { slackFactor: 1.6 })], [service('ic-net')]))
  for (let i = 0; i < WORKERS; i++) await deployment.addWorker({ service: 'ic-net', taskOf, isAnswerLost })
  await sleep(3000)
  const answer = await deployment.ask(HOST, 'POST', `/kafi706/${victim}`, { spec: 'x', steps: [{ count: 1, cpu: 9900, memMb: 512, estRuntimeMs: TASK_MS }] })
  if (answer?.status !== 200) return NOT_RUN
  const findWorker = ({ worker: id, born }) => deployment.workers.find((other) => other.id === id && other.born === born)
  const crash = (worker) => {
    worker.crash()
    setTimeout(() => { deployment.restart(worker).catch(() => {}) }, DOWN_MS)
  }
  if (!await until(() => linesOf('run.started').length > 0, 10_000)) return NOT_RUN
  let crashedUnderTask = 0
  if (deployment.hasTrouble) {
    const [first] = linesOf('run.started')
    await sleep(Math.max(0, first.at + CRASH_AFTER_START_MS - deployment.now))
    crashedUnderTask += 1
    crash(findWorker(first))
    while (linesOf('run.started').length < 2) await sleep(5)
    // The answer that would list the end is lost.
    losing = findWorker(linesOf('run.started')[1])
    while (!linesOf('run.ended').some(({ how }) => how === 'done')) await sleep(5)
    await sleep(CRASH_AFTER_DONE_MS)
    if (losing.runningTasks.length > 0) crashedUnderTask += 1
    crash(losing)
    losing = null
  }
  let state
  const end = performance.now() + WATCH_MS
  do {
    await sleep(500)
    state = (await deployment.ask(HOST, 'GET', `/kafi706/${victim}`))?.body.state
  } while (performance.now() < end && state !== 'failed' && state !== 'completed')
  const ends = linesOf('run.ended').map(({ how }) => how)
  deployment.record({ event: 'checked', state, ends: ends.join(' '), workersCrashedUnderTheTask: crashedUnderTask, answersLost: deployment.events.filter(({ event }) => event === 'answer.lost').length })
  return state === 'failed' && !ends.includes('failed') && crashedUnderTask < 2 ? BROKEN : HELD
})
