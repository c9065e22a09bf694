/** Draws the jobs of one simulation. */
import { createStep } from '../fixtures/index.js'
import type { Step } from '../types.js'
import type { Random } from './random.js'
import type { MillisRange, SimVariant } from './simVariant.js'
import { RACKS } from './simWorkers.js'

const MAX_GANG_SIZE = 4

const LASTING_CPU = 200

/** Bounds of the estimated run time of long tasks. */
const LONG_TASK_MS: MillisRange = [3000, 12_000]

/**
 * Draws the steps of a job.
 *
 * @param random - source of choices
 * @param variant - kinds of jobs
 */
export function drawSteps (random: Random, variant: SimVariant): Step[] {
  const short = createStep({ count: 1 + random.nextInt(5), cpu: 500 + random.nextInt(2000), estimateMs: 100 + random.nextInt(900), maxPerWorker: random.nextInt(3) })
  const task = random.isBelow(variant.longShare) ? { ...short, estimateMs: random.nextBetween(LONG_TASK_MS) } : short
  const first = random.isBelow(variant.gangShare) ? createStep({ ...task, isGang: true, count: 2 + random.nextInt(MAX_GANG_SIZE - 1), cpu: task.cpu / 2 }) : task
  const isNear = random.isBelow(variant.nearShare)
  if (isNear) Object.assign(first, first.isGang ? { prefersOneRack: true } : { dataRack: `r${random.nextInt(RACKS)}` })
  const isLasting = random.isBelow(variant.lastingShare)
  return isLasting ? [createStep({ ...task, cpu: LASTING_CPU, maxPerWorker: 0, isLasting })] : [first, createStep({ after: [0], estimateMs: 200 })]
}
