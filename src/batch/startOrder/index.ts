/**
 * Lists the tasks that may start in one scheduling cycle, in the order in which they are placed.
 *
 * Where the configuration has workspaces, one budget for each of them holds for all pools of the cycle, and jobs of the same class and
 * priority are taken by the shares of their workspaces. Without workspaces the order is that of `orderJobs`.
 */
import type { Millis } from '../../clock/index.js'
import { CapBudget } from '../../workspaces/capBudget/index.js'
import type { UseMeter } from '../../workspaces/useMeter/index.js'
import type { WorkspaceUse } from '../../workspaces/workspaceUse/index.js'
import { ShareRanking, type ShareClaim } from '../../workspaces/shareRanking/index.js'
import { addAmounts, NO_AMOUNTS, type Amounts } from '../../workspaces/amounts.js'
import { orderJobs, rankJobs, type RankedJob } from '../orderJobs/index.js'
import type { MeasuredJob } from '../measureDemand/index.js'
import type { StartGroup, WorkspaceGroup } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import { findWorkspaceOfJobs } from '../state/workspaces/index.js'
import { parseTask, type Resources, type Step } from '../types.js'

/** The pool whose tasks are listed. */
export interface OrderedPool {
  /** Jobs of the pool that have tasks to start. */
  readonly jobs: readonly MeasuredJob[]
  /** Capacity of all of its workers. */
  readonly capacity: Resources
  /** Returns whether a queue is served by the pool, by its key. */
  readonly includesQueue: (queue: string) => boolean
  /** Lists the groups of a job that may start. */
  readonly listGroups: (job: MeasuredJob) => Iterable<WorkspaceGroup>
}

/** Tasks to start in one scheduling cycle, over all pools. */
export class StartOrder {
  readonly #state: BatchState
  readonly #wall: Millis
  readonly #budget: CapBudget
  readonly #meter: UseMeter
  #ranking: ShareRanking<WorkspaceGroup> | null = null
  /** The last step of which one task was judged, and the verdict, which holds for its other tasks until something starts. */
  #judged: { readonly step: Step, readonly isAllowed: boolean } | null = null

  /**
   * @param state - replicated state
   * @param wall - wall-clock time in milliseconds
   * @param meter - what each workspace has used on average
   * @param strayTasks - tasks of runs that workers list and the state does not know, which use their workspace's cap as well
   */
  constructor (state: BatchState, wall: Millis, meter: UseMeter, strayTasks: Iterable<string> = []) {
    this.#state = state
    this.#wall = wall
    this.#meter = meter
    const strayUse = this.#isDivided ? this.#sumUse(strayTasks) : new Map<string, Amounts>()
    this.#budget = new CapBudget({
      findWorkspace: (name) => findWorkspaceOfJobs(state.data, name),
      getUse: (name) => {
        const use = { ...state.workspaceUse.getTotal(name) }
        addAmounts(use, strayUse.get(name) ?? NO_AMOUNTS)
        return use
      }
    })
  }

  /** Names of the workspaces that a start was refused to because of their cap. */
  get refusedWorkspaces (): ReadonlySet<string> {
    return this.#budget.refusedWorkspaces
  }

  get #isDivided (): boolean {
    const { config } = this.#state.data
    return config !== null && config.workspaces !== null
  }

  /**
   * Lists the groups of one pool. The caller records each start before it takes the next group.
   *
   * @param pool - the pool
   */
  list (pool: OrderedPool): Generator<WorkspaceGroup> {
    return this.#isDivided ? this.#listByShare(pool) : this.#listByUrgency(pool)
  }

  /**
   * Lists those of some groups that the caps of their workspaces allow. The caller records each start before it takes the next group.
   *
   * @param groups - groups in any order
   */
  * listAllowed (groups: Iterable<WorkspaceGroup>): Generator<WorkspaceGroup> {
    for (const group of groups) if (!this.#isDivided || this.#isAllowed(group)) yield group
  }

  /**
   * Records that the start of a group is planned.
   *
   * @param group - a group that was listed
   */
  recordStart (group: WorkspaceGroup): void {
    if (!this.#isDivided) return
    this.#judged = null
    this.#budget.take(group.workspace, listDemands(group))
    this.#ranking?.recordStart(group.workspace, group)
  }

  #isAllowed (group: WorkspaceGroup): boolean {
    const [first] = group.members
    if (first === undefined || group.members.length > 1) return this.#budget.allows(group.workspace, listDemands(group))
    if (this.#judged?.step !== first.step) this.#judged = { step: first.step, isAllowed: this.#budget.allows(group.workspace, listDemands(group)) }
    return this.#judged.isAllowed
  }

  * #listByUrgency ({ jobs, listGroups }: OrderedPool): Generator<WorkspaceGroup> {
    for (const measured of orderJobs(jobs, this.#wall)) yield * listGroups(measured)
  }

  * #listByShare (pool: OrderedPool): Generator<WorkspaceGroup> {
    const ranking = new ShareRanking<WorkspaceGroup>(this.#listClaims(pool), pool.capacity, sumDemands)
    this.#ranking = ranking
    for (const tier of splitTiers(rankJobs(pool.jobs, this.#wall))) {
      const shareJobs = tier.map(({ job: measured }) => ({ workspace: measured.job.workspace, groups: pool.listGroups(measured) }))
      for (const group of ranking.list(shareJobs, (workspace) => this.#budget.isExhausted(workspace))) {
        if (this.#isAllowed(group)) yield group
      }
    }
  }

  * #listClaims ({ jobs, includesQueue }: OrderedPool): Generator<ShareClaim> {
    const { data, workspaceUse } = this.#state
    const workspaces = data.config?.workspaces ?? []
    const known = new Map<string, boolean>()
    const includes = (queue: string): boolean => {
      let isIncluded = known.get(queue)
      if (isIncluded === undefined) known.set(queue, isIncluded = includesQueue(queue))
      return isIncluded
    }
    const meanWeight = workspaces.reduce((sum, { weight }) => sum + weight, 0) / Math.max(1, workspaces.length)
    for (const workspace of new Set(jobs.map(({ job }) => job.workspace))) {
      yield { workspace, weight: findWorkspaceOfJobs(data, workspace)?.weight ?? meanWeight, use: sumQueues(workspaceUse, workspace, includes), average: this.#meter.sumQueues(workspace, includes) }
    }
  }

  #sumUse (tasks: Iterable<string>): Map<string, Amounts> {
    const uses = new Map<string, Amounts>()
    for (const task of tasks) {
      const position = parseTask(task)
      const job = position === null ? undefined : this.#state.data.jobs.get(position.job)
      const step = position === null ? undefined : job?.steps[position.step]
      if (job === undefined || step === undefined) continue
      const use = uses.get(job.workspace) ?? { ...NO_AMOUNTS }
      uses.set(job.workspace, use)
      addAmounts(use, step)
    }
    return uses
  }
}

function sumQueues (use: WorkspaceUse, workspace: string, includes: (queue: string) => boolean): Resources {
  const sum = { ...NO_AMOUNTS }
  for (const [queue, amounts] of use.listQueues(workspace)) if (includes(queue)) addAmounts(sum, amounts)
  return sum
}

/** Splits jobs into lists of the same class and priority. */
function splitTiers (ranked: ReadonlyArray<RankedJob<MeasuredJob>>): Array<Array<RankedJob<MeasuredJob>>> {
  const tiers: Array<Array<RankedJob<MeasuredJob>>> = []
  for (const entry of ranked) {
    const tier = tiers.at(-1)
    const previous = tier?.[0]
    if (tier !== undefined && previous !== undefined && previous.rank === entry.rank && previous.priority === entry.priority) tier.push(entry)
    else tiers.push([entry])
  }
  return tiers
}

function listDemands ({ members }: StartGroup): Resources[] {
  return members.map(({ step }) => step)
}

function sumDemands (group: StartGroup): Resources {
  const [first, ...others] = listDemands(group)
  if (others.length === 0) return first ?? NO_AMOUNTS
  const sum = { ...NO_AMOUNTS }
  for (const demand of [first as Resources, ...others]) addAmounts(sum, demand)
  return sum
}
