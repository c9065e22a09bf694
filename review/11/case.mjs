// Two jobs of forty can never be done: they have five lasting tasks each, and each task fails soon after each start, on any worker.
import { findIdleJobs, HAS_TROUBLE, runCase } from '../lib-3/case.mjs'
import { sleep } from '../lib-3/deployment.mjs'

const WORKERS = 8
const WORKER_CPU = 16_000
const TASK_CPU = 1000
const TASK_MS = 500
const FAILS_AFTER_MS = 100
const JOBS = 38
const FAILING_JOBS = 2
const JOB_INTERVAL_MS = 400
const QUIET_MS = 5000

await runCase(import.meta.url, async (world) => {
  for (let n = 1; n <= WORKERS; n++) await world.addWorker(n, { taskMs: (spec) => spec === 'failing' ? FAILS_AFTER_MS : TASK_MS, fails: (spec) => spec === 'failing' })
  await world.settle()
  const jobs = []
  const sendJobs = async (count) => {
    for (let i = 0; i < count; i++) {
      const { id, isAccepted } = await world.submit({ spec: 'work', steps: [{ count: 1, cpu: TASK_CPU, memMb: 100, estRuntimeMs: TASK_MS }] })
      if (isAccepted) jobs.push(id)
      await sleep(JOB_INTERVAL_MS)
    }
  }
  await sendJobs(JOBS / 2)
  for (let i = 0; i < (HAS_TROUBLE ? FAILING_JOBS : 0); i++) await world.submit({ spec: 'failing', steps: [{ count: 5, cpu: TASK_CPU, memMb: 100, longRunning: true }] })
  await sleep(QUIET_MS)
  await sendJobs(JOBS / 2)
  return await findIdleJobs(world, jobs, { cpuOf: () => TASK_CPU, taskCpu: TASK_CPU, workerCpu: WORKER_CPU })
})
