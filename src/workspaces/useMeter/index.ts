/**
 * Averages what the runs of each workspace use over some seconds.
 *
 * Handles small workspaces beside a large one: a single job of theirs is wider than their share of the pool, so that by what is in
 * use at the moment they would wait behind a workspace that takes many times its usual, although they take little over time.
 */
import type { Millis } from '../../clock/index.js'
import type { Resources } from '../../batch/types.js'
import { addAmounts, NO_AMOUNTS, RESOURCE_NAMES, type Amounts } from '../amounts.js'
import type { WorkspaceUse } from '../workspaceUse/index.js'

/** Time after which a change counts by about two thirds: several jobs of a workspace that sends one every few seconds. */
const TIME_CONSTANT_MS: Millis = 10_000

/** Averages below this many thousandths of a core, megabytes or accelerators are forgotten. */
const NEGLIGIBLE = 1e-3

type UseByQueue = Map<string, Amounts>

/** Running averages of the use by workspace and queue. Begins with what is in use at the first observation. */
export class UseMeter {
  readonly #averages = new Map<string, UseByQueue>()
  /** What was in use at the last observation, and is taken to be in use until the next one. */
  #last = new Map<string, UseByQueue>()
  #observedAt: Millis | null = null

  /**
   * Observes what is in use. Called before starts are planned and after they are placed, so that the ends and starts in between count.
   *
   * @param use - what the runs use now
   * @param now - time in milliseconds
   */
  observe (use: WorkspaceUse, now: Millis): void {
    const current = copyUse(use)
    const kept = this.#observedAt === null ? 0 : Math.exp((this.#observedAt - now) / TIME_CONSTANT_MS)
    for (const [workspace, averages] of this.#averages) {
      for (const [queue, average] of averages) {
        for (const name of RESOURCE_NAMES) average[name] *= kept
        if (RESOURCE_NAMES.every((name) => average[name] < NEGLIGIBLE)) averages.delete(queue)
      }
      if (averages.size === 0) this.#averages.delete(workspace)
    }
    for (const [workspace, queues] of this.#observedAt === null ? current : this.#last) {
      for (const [queue, amounts] of queues) addAmounts(this.#averageOf(workspace, queue), amounts, 1 - kept)
    }
    this.#last = current
    this.#observedAt = now
  }

  /**
   * Returns what a workspace has used in some queues on average.
   *
   * @param workspace - name of the workspace
   * @param includes - whether a queue counts, by its key
   */
  sumQueues (workspace: string, includes: (queue: string) => boolean): Resources {
    const sum = { ...NO_AMOUNTS }
    for (const [queue, average] of this.#averages.get(workspace) ?? []) if (includes(queue)) addAmounts(sum, average)
    return sum
  }

  #averageOf (workspace: string, queue: string): Amounts {
    let averages = this.#averages.get(workspace)
    if (averages === undefined) this.#averages.set(workspace, averages = new Map())
    let average = averages.get(queue)
    if (average === undefined) averages.set(queue, average = { ...NO_AMOUNTS })
    return average
  }
}

function copyUse (use: WorkspaceUse): Map<string, UseByQueue> {
  const copy = new Map<string, UseByQueue>()
  for (const workspace of use.workspaces) {
    const queues: UseByQueue = new Map()
    for (const [queue, amounts] of use.listQueues(workspace)) queues.set(queue, { ...amounts })
    copy.set(workspace, queues)
  }
  return copy
}
