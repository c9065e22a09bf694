// A new configuration writes the host of a route in other letters. Hosts are the same in any case, and the route serves the same calls.
import { encodeConfig, HAS_TROUBLE, HOST, PREFIX, runCase } from '../lib-3/case.mjs'
import { sleep } from '../lib-3/deployment.mjs'

const VISIBLE_MS = 3000

await runCase(import.meta.url, async (world) => {
  for (let n = 1; n <= 3; n++) await world.addWorker(n, { taskMs: () => 300 })
  await world.settle()
  const { id, isAccepted } = await world.submit({ spec: 'work', steps: [{ count: 2, cpu: 1000, memMb: 100, estRuntimeMs: 300 }] })
  if (!isAccepted) throw new Error('the job was not accepted')
  await sleep(VISIBLE_MS + 1000)
  world.record({ what: 'client.shown', id, state: await world.show(id) })
  await world.configure(encodeConfig(2, HAS_TROUBLE ? { host: HOST.replace('jobs', 'Jobs') } : { timeoutMs: 4000 }))
  await sleep(3000)
  const { isAccepted: isNewAccepted } = await world.submit({ spec: 'work', steps: [{ count: 1, cpu: 1000, memMb: 100, estRuntimeMs: 300 }] })
  const state = await world.show(id)
  world.record({ what: 'client.shown', id, path: PREFIX + id, state, isNewAccepted })
  return state === 'HTTP 410' ? [`GET for the accepted job ${id} is answered with 410`] : []
})
