/** Rule DRAIN: starts that wait behind unanswered orders are sent long after the worker's draining was acknowledged. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, BROKEN, config, HELD, newId, NOT_RUN, route, runCase, service, sleep, until } from '../lib/deployment.mjs'

const HOST = 'pule25.example'
const TASKS = 300

/** Each 18th order to the worker is left unanswered and carried out late: a share of 0.055. */
const UNANSWERED_EACH = 18
const CARRIED_OUT_AFTER_MS = [2000, 5000, 8000, 11_000]

/** How long the disruption lasts. */
const TROUBLE_MS = 5500
const DRAIN_AFTER_MS = 300

/** How long the worker goes on after its draining was acknowledged, and then leaves. */
const LINGER_MS = 8000
const WATCH_MS = 4000

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  let troubleUntil = 0
  let late = 0
  const onStartOrder = (_worker, _body, n) => {
    if (performance.now() > troubleUntil || n % UNANSWERED_EACH !== 0) return undefined
    return { carryOutAfterMs: CARRIED_OUT_AFTER_MS[late++ % CARRIED_OUT_AFTER_MS.length] }
  }
  const taskOf = () => ({ ms: 20_000 })
  await deployment.configure(config(1, [route('r-batch', HOST, '/kafi706/', 'ic-net')], [service('ic-net')]))
  for (let i = 0; i < 4; i++) await deployment.addWorker({ service: 'ic-net', taskOf, onStartOrder })
  await sleep(4000)
  if (deployment.hasTrouble) troubleUntil = performance.now() + TROUBLE_MS
  const answer = await deployment.ask(HOST, 'POST', `/kafi706/${newId()}`, { spec: 'x', steps: [{ count: TASKS, cpu: 200, memMb: 64, estRuntimeMs: 20_000 }] })
  if (answer?.status !== 200) return NOT_RUN
  const startsOn = (worker) => deployment.events.filter((line) => line.event === 'run.started' && line.worker === worker.id && !line.isLate)
  if (!await until(() => deployment.workers.some((worker) => startsOn(worker).length > 0), 5000)) return NOT_RUN
  await sleep(DRAIN_AFTER_MS)
  const draining = deployment.workers.reduce((a, b) => startsOn(a).length >= startsOn(b).length ? a : b)
  draining.state = 'draining'
  draining.drainUntil = performance.now() + LINGER_MS
  deployment.record({ event: 'drain.began', worker: draining.id })
  await draining.report()
  await sleep(LINGER_MS)
  const lost = draining.runningTasks.map(({ task, startedAt }) => [task, startedAt])
  await draining.leave()
  await sleep(WATCH_MS)
  const acknowledged = deployment.events.find((line) => line.event === 'drain.acknowledged' && line.worker === draining.id)
  if (acknowledged === undefined) return NOT_RUN
  const delays = startsOn(draining).map(({ at }) => at - acknowledged.at)
  const tooLate = delays.filter((ms) => ms > BOUNDS.drainMs)
  const startedAgain = startsOn(draining).filter(({ at, task }) => at - acknowledged.at > BOUNDS.drainMs && lost.some(([other]) => other === task) && deployment.events.some((line) => line.event === 'run.started' && line.task === task && line.worker !== draining.id)).length
  deployment.record({ event: 'checked', starts: delays.length, afterTheBound: tooLate.length, latestMs: Math.max(...delays), lostWithTheWorkerAndStartedAgain: startedAgain })
  return tooLate.length > 0 ? BROKEN : HELD
})
