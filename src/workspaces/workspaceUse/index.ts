/**
 * Sums up what the runs of each workspace use.
 *
 * Kept with the replicated state and derived from its active runs, so that a leader which has not heard from the workers yet
 * counts the same as the leader before it: placements whose start is still queued, late or unanswered, runs that are being
 * stopped, and runs on workers that are lost but whose lease may not have expired.
 */
import type { Resources } from '../../batch/types.js'
import { addAmounts, NO_AMOUNTS, type Amounts } from '../amounts.js'

interface UseRecord {
  runs: number
  readonly total: Amounts
  /** By key of the queue. */
  readonly byQueue: Map<string, { runs: number, readonly amounts: Amounts }>
}

/** What the runs of each workspace use, altogether and by queue. */
export class WorkspaceUse {
  readonly #records = new Map<string, UseRecord>()

  /** Names of the workspaces that have runs. */
  get workspaces (): Iterable<string> {
    return this.#records.keys()
  }

  /**
   * Adds a run.
   *
   * @param workspace - name of its workspace; empty for none
   * @param queue - key of the queue of its job
   * @param amount - what it uses; all of its processor demand counts, also that of a filler
   */
  add (workspace: string, queue: string, amount: Resources): void {
    let record = this.#records.get(workspace)
    if (record === undefined) this.#records.set(workspace, record = { runs: 0, total: { ...NO_AMOUNTS }, byQueue: new Map() })
    let ofQueue = record.byQueue.get(queue)
    if (ofQueue === undefined) record.byQueue.set(queue, ofQueue = { runs: 0, amounts: { ...NO_AMOUNTS } })
    record.runs += 1
    ofQueue.runs += 1
    addAmounts(record.total, amount)
    addAmounts(ofQueue.amounts, amount)
  }

  /**
   * Removes a run that was added.
   *
   * @param workspace - name of its workspace
   * @param queue - key of the queue of its job
   * @param amount - what it used
   */
  remove (workspace: string, queue: string, amount: Resources): void {
    const record = this.#records.get(workspace)
    const ofQueue = record?.byQueue.get(queue)
    if (record === undefined || ofQueue === undefined) return
    record.runs -= 1
    ofQueue.runs -= 1
    addAmounts(record.total, amount, -1)
    addAmounts(ofQueue.amounts, amount, -1)
    // Without runs nothing is kept, so that sums of fractions can't drift.
    if (ofQueue.runs === 0) record.byQueue.delete(queue)
    if (record.runs === 0) this.#records.delete(workspace)
  }

  /**
   * Returns what all runs of a workspace use.
   *
   * @param workspace - name of the workspace
   */
  getTotal (workspace: string): Resources {
    return this.#records.get(workspace)?.total ?? NO_AMOUNTS
  }

  /**
   * Lists what the runs of a workspace use, by key of the queue.
   *
   * @param workspace - name of the workspace
   */
  * listQueues (workspace: string): Generator<readonly [queue: string, amounts: Resources]> {
    for (const [queue, { amounts }] of this.#records.get(workspace)?.byQueue ?? []) yield [queue, amounts]
  }
}
