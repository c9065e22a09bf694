/** The four workers of one rack crash and are silent for 6.5 s; jobs are handed in, and the queue is asked how many have not begun. */
import { BOUNDS, createConfig, createId, createJob, playCase, QUEUE, sleep, waitFor } from '../lib-2/deployment.mjs'

const DARK_MS = 6500
/** Two tasks fill a worker, so that the jobs fill the eight workers. */
const JOBS = 16
const CPU = 30_000
const COUNTED_AFTER_MS = BOUNDS.visible_ms + 2000

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.start(createConfig(3))
  const startWorker = (n) => deployment.startWorker(`w${n}`, { last: 20 + n, labels: ['a', n <= 4 ? 'r1-1' : 'r1-2'] })
  for (const n of [1, 2, 3, 4, 5, 6, 7, 8]) startWorker(n)
  await sleep(4000)

  const lost = [1, 2, 3, 4]
  const darkAt = Date.now()
  // A stopped process answers nothing and does nothing more; it is killed before the worker starts again.
  if (hasTrouble) for (const n of lost) await deployment.signal(`w${n}`, 'SIGSTOP')
  const jobs = await Promise.all(Array.from({ length: JOBS }, async () => {
    const id = createId()
    await deployment.submit(id, createJob({ ms: 1000, cpu: CPU }))
    return { id, acceptedAt: Date.now() }
  }))

  const startOf = (id) => deployment.events.find(({ event, task }) => event === 'start' && task.startsWith(id))
  let broken = null
  while (Date.now() < darkAt + DARK_MS) {
    const sentAt = Date.now()
    const { status, body } = await deployment.client('GET', QUEUE)
    const answeredAt = Date.now()
    // What the workers print is read a little later.
    await sleep(100)
    const waiting = jobs.filter(({ id, acceptedAt }) => sentAt > acceptedAt + COUNTED_AFTER_MS && (startOf(id)?.at ?? Infinity) > answeredAt)
    if (status === 200 && waiting.length > 0) deployment.record(`pending ${body.pending}; accepted over ${COUNTED_AFTER_MS} ms before and not begun: ${waiting.length}`)
    if (status === 200 && body.pending * 2 < waiting.length) broken ??= `MIXED: pending ${body.pending} while ${waiting.length} of ${JOBS} jobs that were accepted over ${COUNTED_AFTER_MS} ms before have not begun`
    await sleep(100)
  }
  if (hasTrouble) {
    for (const n of lost) {
      await deployment.signal(`w${n}`, 'SIGKILL')
      startWorker(n)
    }
  }
  for (const { id } of jobs) {
    await waitFor(`the end of job ${id}`, async () => {
      await sleep(300)
      return (await deployment.client('GET', QUEUE + id)).body.state === 'completed'
    })
  }
  return broken
})
