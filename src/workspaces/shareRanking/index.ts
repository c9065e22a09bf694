/**
 * Divides the capacity of a pool among workspaces by their weights.
 *
 * Handles a full pool in which one workspace has far more waiting than the others. Weighted dominant resource fairness: the share
 * of a workspace is the largest part that it uses of any resource of the pool, divided by its weight. Jobs of workspaces that stay
 * within their fair share come first, in the given order; then comes the workspace with the lowest share over the last seconds. So
 * what some workspaces leave unused is lent to the others, first to those that take little over time, and taken back as tasks end.
 */
import type { Resources } from '../../batch/types.js'
import { addAmounts, NO_AMOUNTS, RESOURCE_NAMES, type Amounts } from '../amounts.js'

/** Share of what is in use at the moment in the measure of a workspace; the rest is the average, which follows starts too late. */
const CURRENT_SHARE = 0.1

/** A workspace in a pool. */
export interface ShareClaim {
  readonly workspace: string
  readonly weight: number
  /** What its runs use in the pool. */
  readonly use: Resources
  /** What they have used over the last seconds; the same by default. */
  readonly average?: Resources
}

/** A job, with the groups of tasks of it that may start. */
export interface ShareJob<G> {
  readonly workspace: string
  readonly groups: Iterable<G>
}

interface Claim {
  readonly weight: number
  readonly use: Amounts
  /** Use by which workspaces beyond their fair share are compared: the average, and a part of what is in use. */
  readonly measured: Amounts
  /** Its share by this measure, kept since all workspaces are compared for each job. */
  share: number
}

/** The jobs of one workspace that are not listed yet. */
interface Cursor<G> {
  readonly claim: Claim
  readonly workspace: string
  readonly jobs: Array<{ readonly order: number, readonly job: ShareJob<G> }>
  next: number
  /** Place of the current job in the given order. */
  order: number
  groups: Iterator<G> | null
  head: G | null
}

/** Lists the groups of one pool in the order of its workspaces' shares. The caller records each start before it takes the next group. */
export class ShareRanking<G> {
  readonly #claims = new Map<string, Claim>()
  readonly #capacity: Resources
  readonly #demandOf: (group: G) => Resources
  readonly #totalWeight: number
  #starts = 0

  /**
   * @param claims - the workspaces that have jobs or runs in the pool
   * @param capacity - capacity of the pool
   * @param demandOf - returns what a group uses
   */
  constructor (claims: Iterable<ShareClaim>, capacity: Resources, demandOf: (group: G) => Resources) {
    this.#capacity = capacity
    this.#demandOf = demandOf
    for (const { workspace, weight, use, average = use } of claims) {
      const measured = { ...NO_AMOUNTS }
      addAmounts(measured, average, 1 - CURRENT_SHARE)
      addAmounts(measured, use, CURRENT_SHARE)
      const claim = { weight: Math.max(Number.EPSILON, weight), use: { ...use }, measured, share: 0 }
      claim.share = this.#computeShare(claim.weight, measured)
      this.#claims.set(workspace, claim)
    }
    this.#totalWeight = [...this.#claims.values()].reduce((sum, { weight }) => sum + weight, 0)
  }

  /**
   * Lists the groups of jobs of the same urgency.
   *
   * @param jobs - the jobs, in the order in which those of one workspace are scheduled
   * @param isClosed - whether nothing of a workspace may start
   */
  * list (jobs: Iterable<ShareJob<G>>, isClosed: (workspace: string) => boolean = () => false): Generator<G> {
    const cursors = new Set(this.#createCursors(jobs).filter(advance))
    while (true) {
      const cursor = this.#pick(cursors)
      if (cursor === null) return
      if (isClosed(cursor.workspace)) {
        cursors.delete(cursor)
        continue
      }
      const { order } = cursor
      const starts = this.#starts
      // Without a start no share changes, so that the next group of the same job follows.
      while (cursor.head !== null && cursor.order === order && this.#starts === starts) {
        const group = cursor.head
        cursor.head = null
        yield group
        if (!advance(cursor)) cursors.delete(cursor)
      }
    }
  }

  /**
   * Records that a group is started.
   *
   * @param workspace - name of its workspace
   * @param group - the group
   */
  recordStart (workspace: string, group: G): void {
    const claim = this.#claims.get(workspace)
    if (claim !== undefined) {
      const demand = this.#demandOf(group)
      addAmounts(claim.use, demand)
      addAmounts(claim.measured, demand, CURRENT_SHARE)
      claim.share = this.#computeShare(claim.weight, claim.measured)
    }
    this.#starts += 1
  }

  #createCursors (jobs: Iterable<ShareJob<G>>): Array<Cursor<G>> {
    const cursors = new Map<string, Cursor<G>>()
    let order = 0
    for (const job of jobs) {
      const claim = this.#claims.get(job.workspace)
      if (claim === undefined) continue
      let cursor = cursors.get(job.workspace)
      if (cursor === undefined) cursors.set(job.workspace, cursor = { claim, workspace: job.workspace, jobs: [], next: 0, order: 0, groups: null, head: null })
      cursor.jobs.push({ order: order++, job })
    }
    return [...cursors.values()]
  }

  #pick (cursors: Iterable<Cursor<G>>): Cursor<G> | null {
    const fairShare = 1 / this.#totalWeight
    let first: Cursor<G> | null = null
    let lowest: Cursor<G> | null = null
    let lowestShare = Number.POSITIVE_INFINITY
    for (const cursor of cursors) {
      const { claim, order, head } = cursor
      if ((first === null || order < first.order) && this.#computeShare(claim.weight, claim.use, this.#demandOf(head as G)) <= fairShare) first = cursor
      const { share } = claim
      if (share < lowestShare || (share === lowestShare && order < (lowest as Cursor<G>).order)) {
        lowest = cursor
        lowestShare = share
      }
    }
    return first ?? lowest
  }

  /** Returns the dominant share of a workspace, with a further demand, for each unit of its weight. */
  #computeShare (weight: number, use: Resources, demand?: Resources): number {
    let share = 0
    for (const resource of RESOURCE_NAMES) {
      if (this.#capacity[resource] > 0) share = Math.max(share, (use[resource] + (demand?.[resource] ?? 0)) / this.#capacity[resource])
    }
    return share / weight
  }
}

/** Moves a cursor to its next group, unless it has one. Returns whether there is one. */
function advance<G> (cursor: Cursor<G>): boolean {
  while (cursor.head === null) {
    const next = cursor.groups?.next()
    if (next !== undefined && next.done !== true) {
      cursor.head = next.value
      return true
    }
    const entry = cursor.jobs[cursor.next++]
    if (entry === undefined) return false
    cursor.order = entry.order
    cursor.groups = entry.job.groups[Symbol.iterator]()
  }
  return true
}
