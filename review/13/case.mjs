// A new configuration writes the host of a route in other letters. Hosts are the same in any case, and the route serves the same calls.
import { encodeConfig, HAS_TROUBLE, HOST, PREFIX, runCase } from '../lib-3/case.mjs'
import { sleep } from '../lib-3/deployment.mjs'

const VISIBLE_MS = 3000
const CANCEL_MS = 3000
const STOP_GRACE_MS = 400

await runCase(import.meta.url, async (world) => {
  for (let n = 1; n <= 3; n++) await world.addWorker(n, { taskMs: (spec) => spec === 'lasting' ? Number.POSITIVE_INFINITY : 300 })
  await world.settle()
  const done = await world.submit({ spec: 'work', steps: [{ count: 2, cpu: 1000, memMb: 100, estRuntimeMs: 300 }] })
  const lasting = await world.submit({ spec: 'lasting', steps: [{ count: 2, cpu: 1000, memMb: 100, longRunning: true }] })
  if (!done.isAccepted || !lasting.isAccepted) throw new Error('the jobs were not accepted')
  await sleep(VISIBLE_MS + 1000)
  for (const { id } of [done, lasting]) world.record({ what: 'client.shown', id, state: await world.show(id) })
  await world.configure(encodeConfig(2, HAS_TROUBLE ? { host: HOST.replace('jobs', 'Jobs') } : { timeoutMs: 4000 }))
  await sleep(3000)
  const broken = []
  const { isAccepted: isNewAccepted } = await world.submit({ spec: 'work', steps: [{ count: 1, cpu: 1000, memMb: 100, estRuntimeMs: 300 }] })
  for (const { id } of [done, lasting]) {
    const state = await world.show(id)
    world.record({ what: 'client.shown', id, path: PREFIX + id, state, isNewAccepted })
    if (state === 'HTTP 410') broken.push(`LOST: GET for the accepted job ${id} is answered with 410`)
  }
  const { status } = await world.ask('DELETE', PREFIX + lasting.id)
  world.record({ what: 'client.cancelled', id: lasting.id, status })
  await sleep(CANCEL_MS + STOP_GRACE_MS + 500)
  const left = world.workers.flatMap(({ running }) => [...running.keys()]).filter((run) => run.startsWith(lasting.id))
  world.record({ what: 'workers.left', runs: left })
  if ((status === 410 || (status >= 200 && status < 300)) && left.length > 0) broken.push(`UNASKED: ${left.join(', ')} run on after the cancelling was answered with ${status}`)
  return broken
})
