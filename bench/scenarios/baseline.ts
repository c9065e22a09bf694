/** Compares an entry with a bare HTTP pass-through under the same load. */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { Deployment, waitForHttp } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import { findFreePort } from '../harness/processes.js'
import { LoadGenerator, type RequestStream } from '../load/index.js'
import type { RunOptions, Scenario } from './types.js'

const REQUESTS_PER_SECOND = 800
const ROUNDS = 3
const PASS_THROUGH = fileURLToPath(new URL('../passThrough.mjs', import.meta.url))

/** Targets for the entry: processor time as a multiple of the pass-through's, and added median latency. */
const MAX_CPU_RATIO = 1.5
const MAX_ADDED_LATENCY_MS = 1

/** Returns the processor time that a process has used, in milliseconds, from clock ticks of 10 ms. */
function readCpuMs (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * 10
}

function median (values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN
}

async function startPassThrough (target: string): Promise<{ child: ChildProcess, address: string }> {
  const port = await findFreePort()
  const child = spawn(process.execPath, [PASS_THROUGH, String(port), target], { stdio: 'inherit' })
  await waitForHttp(`127.0.0.1:${port}/live`)
  return { child, address: `127.0.0.1:${port}` }
}

/**
 * Sends the load through one address.
 *
 * @returns processor time of the process for each request in microseconds, median latency in milliseconds and answered requests
 */
async function measureLoad (options: RunOptions, deployment: Deployment, address: string, pid: number, round: number): Promise<{ cpuUs: number, p50: number, answered: number }> {
  const service = Object.values(deployment.options.fleet.services)[0] ?? ''
  const stream: RequestStream = { service, team: deployment.options.fleet.teams[0] ?? '', class: 'normal', method: 'GET', deadlineMs: 5000, rate: () => REQUESTS_PER_SECOND }
  const load = new LoadGenerator({ streams: [stream], seed: options.seed * 100 + round, entries: () => [address], oracle: deployment.oracle, maxResends: 0 })
  const cpuMsBefore = readCpuMs(pid)
  await load.run(options.seconds / (2 * ROUNDS))
  const cpuMs = readCpuMs(pid) - cpuMsBefore
  const measurements = load.measure()
  const answered = measurements.answered ?? 0
  return { cpuUs: 1000 * cpuMs / Math.max(1, measurements.requests ?? 0), p50: measurements.latencyMsByClass?.['normal']?.p50 ?? Number.NaN, answered }
}

/** Measures a bare pass-through and an entry alternately in one run, after a warm-up of each. */
export const baseline: Scenario = {
  name: 'baseline',
  description: 'a bare fastify and undici pass-through and our entry, alternately under the same load',
  run: async (options) => {
    const deployment = new Deployment({ fleet: FLEETS[options.deployment], controls: 3, entries: 1, serviceMs: () => 5 })
    await deployment.start()
    const endpoint = [...deployment.endpoints.values()][0]
    const { child, address } = await startPassThrough(endpoint?.address ?? '')
    try {
      const entry = deployment.entries[0]
      const entrySamples: Array<Awaited<ReturnType<typeof measureLoad>>> = []
      const bareSamples: typeof entrySamples = []
      await measureLoad(options, deployment, address, child.pid ?? 0, 90)
      await measureLoad(options, deployment, entry?.address ?? '', entry?.process.pid ?? 0, 91)
      for (let round = 0; round < ROUNDS; round += 1) {
        bareSamples.push(await measureLoad(options, deployment, address, child.pid ?? 0, 2 * round))
        entrySamples.push(await measureLoad(options, deployment, entry?.address ?? '', entry?.process.pid ?? 0, 2 * round + 1))
      }
      await sleep(0)
      const ratios = entrySamples.map((each, round) => each.cpuUs / (bareSamples[round]?.cpuUs ?? Number.NaN))
      const extra = {
        bareCpuUs: median(bareSamples.map((each) => each.cpuUs)),
        ourCpuUs: median(entrySamples.map((each) => each.cpuUs)),
        cpuRatio: median(ratios),
        bareP50Ms: median(bareSamples.map((each) => each.p50)),
        ourP50Ms: median(entrySamples.map((each) => each.p50)),
        addedMs: median(entrySamples.map((each, round) => each.p50 - (bareSamples[round]?.p50 ?? 0))),
        targetCpuRatio: MAX_CPU_RATIO,
        targetAddedMs: MAX_ADDED_LATENCY_MS
      }
      return { extra, answered: entrySamples.reduce((sum, each) => sum + each.answered, 0) }
    } finally {
      child.kill('SIGKILL')
      await deployment.stop()
    }
  }
}
