/** Two workers crash, one after the other, each shortly after it has begun the one task of a job that lasts, and come back. */
import { createConfig, createId, createJob, listRuns, playCase, QUEUE, sleep, waitFor } from '../lib-2/deployment.mjs'

const STARTUP_MS = 500
const DOWN_MS = 3000
const CRASHES = process.env.TROUBLE === '0' ? 0 : 2
/** The job is watched for this long after the last worker is back. */
const WATCH_MS = 10_000

await playCase(import.meta.url, async (deployment) => {
  await deployment.start(createConfig(3))
  const lasts = new Map()
  for (const n of [1, 2, 3, 4, 5, 6, 7, 8]) {
    lasts.set(`w${n}`, 20 + n)
    deployment.startWorker(`w${n}`, { last: 20 + n })
  }
  await sleep(4000)

  const id = createId()
  const task = `${id}.0.0.0`
  await deployment.submit(id, createJob({ ms: STARTUP_MS, lasts: true }))
  for (let crash = 1; crash <= CRASHES; crash++) {
    const start = await waitFor(`start ${crash}`, () => deployment.events.filter(({ event, task: other }) => event === 'start' && other === task)[crash - 1], 15_000)
    await sleep(100)
    await deployment.signal(start.name, 'SIGKILL')
    await sleep(DOWN_MS)
    deployment.startWorker(start.name, { last: lasts.get(start.name) })
  }

  let state
  for (const end = Date.now() + WATCH_MS; Date.now() < end && state !== 'failed';) {
    await sleep(1000)
    state = (await deployment.client('GET', QUEUE + id)).body.state
  }
  const runs = listRuns(deployment.events, task)
  const failures = runs.filter(({ how }) => how === 'failed').length
  deployment.record(`the job is ${state}; runs: ${runs.length}; ends failed: ${failures}`)
  await deployment.client('DELETE', QUEUE + id)
  return state === 'failed' && failures === 0 ? `LOST: the accepted job ${id} is shown as failed, and none of its runs has ended failed` : null
})
