/** A worker crashes, starts again under its id and is cut off soon after, while the start of a task that lasts is on its way to it. */
import { createConfig, createId, createJob, listRuns, playCase, QUEUE, sleep, waitFor } from '../lib-2/deployment.mjs'
import { WorkerProxy } from '../lib-2/proxy.mjs'

const DARK_MS = 300
const CUT_MS = 9000
const UPTIME_MS = 15_000

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.start(createConfig(3))
  const proxies = new Map()
  const startWorker = (n, changes = {}) => deployment.startWorker(`w${n}`, { last: 20 + n, labels: ['a', `r1-${Math.ceil(n / 4)}`], reportedAddress: `${deployment.network}.${120 + n}:${deployment.port + 20}`, ...changes })
  for (const n of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const { host, port, reportedAddress } = startWorker(n)
    const proxy = new WorkerProxy(`${host}:${port}`, (text) => { deployment.record(`w${n} ${text}`) })
    await proxy.listen(reportedAddress)
    proxies.set(n, proxy)
  }
  await sleep(UPTIME_MS)

  // Tasks go to the worker that has most to do, so that the first job tells where the second one goes.
  const first = createId()
  await deployment.submit(first, createJob({ ms: 500, lasts: true }))
  const { name } = await waitFor('the start of the first job', () => deployment.events.find(({ event, task }) => event === 'start' && task.startsWith(first)))
  await sleep(2000)

  const n = Number(name.slice(1))
  const proxy = proxies.get(n)
  if (hasTrouble) {
    // The worker crashes and is silent, and starts again.
    proxy.isCut = true
    const crashedAt = Date.now()
    await deployment.signal(name, 'SIGKILL')
    startWorker(n, { heartbeatsAfterMs: CUT_MS })
    await waitFor('the next life of the worker', () => deployment.events.find(({ event, name: other, at }) => event === 'up' && other === name && at >= crashedAt))
    await sleep(Math.max(0, crashedAt + DARK_MS - Date.now()))
    proxy.isCut = false
    proxy.cutsAfterStart = true
  }
  const id = createId()
  const task = `${id}.0.0.0`
  await deployment.submit(id, createJob({ ms: 500, lasts: true }))
  await sleep(CUT_MS)
  proxy.cutsAfterStart = false
  proxy.isCut = false
  deployment.record(`${name} is reached again`)
  await sleep(3000)
  for (const job of [first, id]) await deployment.client('DELETE', QUEUE + job)
  for (const other of proxies.values()) other.close()

  const runs = listRuns(deployment.events, task)
  for (const { worker, run, from, to, how } of runs) deployment.record(`task ${task} run ${run} on ${worker}: ${from} to ${to}, ${how}`)
  for (const a of runs) {
    for (const b of runs) {
      if (a !== b && a.from <= b.from && b.from < a.to) return `TWICE: run ${b.run} of ${task} began on ${b.worker} while run ${a.run} was running on ${a.worker}, for ${Math.min(a.to, b.to) - b.from} ms`
    }
  }
  return null
})
