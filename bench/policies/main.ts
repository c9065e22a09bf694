/** Command line of the load player: compares policies on the same load. */
import { writeFileSync } from 'node:fs'
import { Command } from 'commander'
import { LoadPlayer, type PlayResult } from './player.js'
import { drawPlays } from './plot.js'
import { POLICIES } from './policies.js'
import { formatTable, summarize } from './report.js'
import { createStudioWorkload, generateArrivals } from './workload.js'

/** Time after the last arrival in which jobs may still complete. */
const DRAIN_MS = 16_000

interface PoliciesOptions {
  readonly seed: string
  readonly seconds: string
  readonly scale: string
  readonly json?: boolean
  readonly plot?: string
}

async function main (): Promise<void> {
  const options = new Command('policies')
    .option('--seed <n>', 'seed of every random choice', '1')
    .option('--seconds <s>', 'how long jobs arrive, in seconds', '36')
    .option('--scale <share>', 'share of the machines and jobs of the larger studio', '0.4')
    .option('--json', 'print the summaries as one JSON array')
    .option('--plot <file>', 'write an SVG image of queue, runs and machines over time')
    .parse()
    .opts<PoliciesOptions>()
  const workload = createStudioWorkload(Number(options.scale))
  const lengthMs = Number(options.seconds) * 1000
  const arrivals = generateArrivals(workload, Number(options.seed), lengthMs)
  const results: PlayResult[] = []
  for (const policy of POLICIES) results.push(await new LoadPlayer(workload, policy, Number(options.seed)).play(arrivals, lengthMs + DRAIN_MS))
  const summaries = results.map(summarize)
  process.stdout.write(`${options.json === true ? JSON.stringify(summaries) : formatTable(summaries)}\n`)
  if (options.plot !== undefined) writeFileSync(options.plot, drawPlays(results))
}

await main()
