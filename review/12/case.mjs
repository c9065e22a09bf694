// One job of twenty can never be done: its two tasks need a whole worker each, and a lasting task stays on each of the two workers of the pool.
import { findIdleJobs, HAS_TROUBLE, runCase } from '../lib-3/case.mjs'
import { sleep } from '../lib-3/deployment.mjs'

const WORKERS = 2
const WORKER_CPU = 16_000
const CPU = { lasting: 2000, work: 1000, whole: WORKER_CPU, first: 1000 }
const JOBS = 19
const TASK_MS = 500

await runCase(import.meta.url, async (world) => {
  for (let n = 1; n <= WORKERS; n++) await world.addWorker(n, { taskMs: (spec) => spec === 'lasting' || spec === 'whole' ? Number.POSITIVE_INFINITY : TASK_MS })
  await world.settle()
  await world.submit({ spec: 'lasting', steps: [{ count: WORKERS, cpu: CPU.lasting, memMb: 100, longRunning: true, maxPerServer: 1 }] })
  await sleep(2000)
  if (HAS_TROUBLE) await world.submit({ spec: 'whole', steps: [{ count: 2, cpu: CPU.whole, memMb: 100, longRunning: true }] })
  const jobs = []
  for (let i = 0; i < JOBS; i++) {
    const { id, isAccepted } = await world.submit({ spec: 'work', steps: [{ count: 1, cpu: CPU.work, memMb: 100, estRuntimeMs: TASK_MS }] })
    if (isAccepted) jobs.push(id)
    await sleep(400)
  }
  return await findIdleJobs(world, jobs, { cpuOf: (spec) => CPU[spec], taskCpu: CPU.work, workerCpu: WORKER_CPU })
})
