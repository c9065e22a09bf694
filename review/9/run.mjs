/** A queue with advice, a pool of 110 workers of which six may run its steps; the three of these that were asked about are lost for good. */
import { BOUNDS, createConfig, createId, createJob, listRuns, playCase, QUEUE, sleep, waitFor } from '../lib-2/deployment.mjs'

const ADVICE = { decisionMs: 20, perWorkerMs: 1, validityMs: 3000 }
const WORKERS = 110
const TICKET = 'c81e-7a21d94b'
const WATCH_MS = BOUNDS.finish_s * 1000 + 3000

const range = (from, to) => Array.from({ length: to - from + 1 }, (_, i) => from + i)

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  const first = range(1, 3)
  const others = range(4, WORKERS - 3)
  const last = range(WORKERS - 2, WORKERS)
  const good = new Set([...first, ...last].map((n) => `i-w${n}`))
  await deployment.serveAdvice(new Map([...good].map((id) => [id, TICKET])), ADVICE)
  await deployment.start(createConfig(3, { advice: ADVICE }))
  const describe = (n) => ({ name: `w${n}`, last: 20 + n, labels: ['a', `r1-${Math.ceil(n / 8)}`], ticket: TICKET })
  const countUp = () => deployment.events.filter(({ event }) => event === 'up').length
  let started = 0
  for (const [name, numbers] of [['first', first], ['others', others], ['last', last]]) {
    deployment.startWorkers(name, numbers.map(describe))
    started += numbers.length
    await waitFor(`${started} workers up`, () => countUp() >= started)
    await sleep(2000)
  }

  const runJob = async (what, timeoutMs) => {
    const id = createId()
    await deployment.submit(id, createJob({ ms: 1000 }))
    for (const end = Date.now() + timeoutMs; Date.now() < end;) {
      await sleep(500)
      if ((await deployment.client('GET', QUEUE + id)).body.state === 'completed') return { id, isCompleted: true }
    }
    deployment.record(`${what}: job ${id} has not been completed; runs: ${listRuns(deployment.events, `${id}.0.0.0`).length}`)
    return { id, isCompleted: false }
  }

  if (!(await runJob('before', 20_000)).isCompleted) throw new Error('the first job was not completed')
  if (hasTrouble) await deployment.signal('first', 'SIGKILL')
  await sleep(5000)
  const { id, isCompleted } = await runJob('after', WATCH_MS)
  if (isCompleted) return null
  const starts = listRuns(deployment.events, `${id}.0.0.0`).length
  return starts > 0 ? null : `LOST: job ${id} has had nothing running for ${WATCH_MS} ms, while three workers that may run it are idle`
})
