// A heartbeat of another writer, for a service that no configuration names, comes from a machine with a worker.
import { sleep } from '../lib-3/deployment.mjs'
import { findDoubleRuns, HAS_TROUBLE, runCase } from '../lib-3/case.mjs'
import { send } from '../lib-3/http.mjs'

const TASK_MS = 8000

await runCase(import.meta.url, async (world) => {
  for (let n = 1; n <= 4; n++) await world.addWorker(n, { taskMs: (spec) => spec === 'first' ? 300 : TASK_MS })
  await world.settle()
  const { id, isAccepted } = await world.submit({ spec: 'work', steps: [{ count: 4, cpu: 8000, memMb: 1000, estRuntimeMs: TASK_MS }] })
  if (!isAccepted) throw new Error('the job was not accepted')
  await sleep(2000)
  const busy = world.workers.find(({ running }) => running.size > 0)
  if (HAS_TROUBLE) {
    const body = { service: 'node-metrics', address: `${busy.address.split(':')[0]}:19100`, zone: 'z-a', version: 'v7', slots: 1, state: 'ready', coldLeftMs: 0, capacity: { cpu: 0, memMb: 0, gpu: 0 }, labels: [], machine: busy.machine, born: Date.now(), clockMs: 12, sequence: 1 }
    const { status } = await send(world.deployment.control[0], { method: 'PUT', path: '/instances/metrics-1', body })
    world.record({ what: 'otherWriter.heartbeat', status, body })
  }
  await sleep(14_000)
  world.record({ what: 'client.shown', id, state: await world.show(id) })
  return findDoubleRuns(world.events)
})
