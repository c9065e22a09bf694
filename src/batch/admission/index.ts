/** Asks, for each submitted job, whether it is accepted, with the load of its service and of its workspace as the leader knows it. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../../metrics/index.js'
import { ArrivalMeter } from '../../pools/arrivalMeter/index.js'
import { countJob } from '../../workspaces/rateBucket/index.js'
import type { Workspace } from '../../workspaces/types.js'
import { forecastJob } from '../jobObjective/index.js'
import { judgeAdmission, type RefusalReason } from '../judgeAdmission/index.js'
import { computeLoad, type MeasuredJob } from '../measureDemand/index.js'
import { RefusedCalls } from '../refusedCalls/index.js'
import { queueKey } from '../state/queues/index.js'
import type { BatchData, JobRecord } from '../state/records.js'
import type { JobSpec, Queue, QueueConfig, Resources } from '../types.js'
import { WaitingWork } from '../waitingWork/index.js'

/** The waiting work of a service is summed up again after this time; until then what is accepted is added to it. */
const MEASURE_INTERVAL_MS: Millis = 100

/** Share of a machine's capacity that tasks use: they don't fit without gaps. */
const USABLE_SHARE = 0.85

/** Arriving work is measured over about this time: a turn of demand lasts several seconds, and single jobs differ much in size. */
const ARRIVAL_DECAY_MS: Millis = 1000

const LOG_INTERVAL_MS: Millis = 1000

/** What the leader knows of the load. */
export interface AdmissionSource {
  /** Returns the active jobs of a service with their forecasts. */
  readonly describeJobsOf: (service: string) => readonly MeasuredJob[]
  /** Returns the capacity of a service's machine, or undefined while no worker is known. */
  readonly findMachineCapacity: (service: string) => Resources | undefined
  /** Returns the factor to apply to the submitter's estimates of a queue's tasks. */
  readonly getEstimateCorrection: (queue: string) => number
  /** Returns how many machines a service can have without taking any that another needs; infinity while that isn't known. */
  readonly countAttainable: (service: string) => number
  /** Returns how many machines there are in all pools, powered-off ones included; infinity while that isn't known. */
  readonly countMachines: () => number
}

/** A submitted job with what its call told. */
export interface Submission {
  readonly spec: Omit<JobSpec, 'id'>
  readonly id: string
  readonly queue: Queue
  /** Name of the workspace; empty for a call without one. */
  readonly workspace: string
}

/** A job that is refused. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: Millis
}

/** Load of a service at one moment, with what has been accepted since. */
interface Backlog {
  readonly measuredAt: Millis
  /** Machines that the service can have, less the gaps between tasks. */
  readonly machines: number
  readonly work: WaitingWork
}

/** Decides on the jobs that are submitted during one term. */
export class JobAdmission {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #metrics: Metrics
  readonly #source: AdmissionSource
  readonly #refusedCalls = new RefusedCalls()
  /** Work of all jobs that are submitted, also of those that are refused, once each. */
  readonly #arrivals = new ArrivalMeter(ARRIVAL_DECAY_MS)
  readonly #backlogs = new Map<string, Backlog>()
  readonly #weights = new WeakMap<QueueConfig, WeightTable>()
  /** Refusals since the last line of the log, by workspace and reason. */
  #refusals = new Map<string, number>()
  #loggedAt: Millis = Number.NEGATIVE_INFINITY

  /**
   * @param clock - source of time
   * @param log - receives at most one line a second while jobs are refused
   * @param metrics - receives the number of refusals by reason
   * @param source - what the leader knows of the load
   */
  constructor (clock: Clock, log: EventLog, metrics: Metrics, source: AdmissionSource) {
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
    this.#source = source
  }

  /**
   * Decides on a job that isn't known yet. An accepted one counts as waiting from now on.
   *
   * @param submission - the job
   * @param data - replicated state, with the configuration in force and the rates of the workspaces
   * @param pendingCount - number of jobs whose acceptance is proposed and not yet committed
   * @returns why and until when the job is refused, or null when it is accepted
   */
  decide ({ spec, id, queue, workspace }: Submission, { config, rateBuckets }: Pick<BatchData, 'config' | 'rateBuckets'>, pendingCount: number): Refusal | null {
    // Work that is due at its times, or at any time, has no other time to come.
    if (config === null || config.workspaces === null || spec.repeatCount > 0 || spec.steps.some(({ isLasting }) => isLasting)) return null
    const now = this.#clock.now()
    const wall = this.#clock.wall()
    const capacity = this.#source.findMachineCapacity(queue.service)
    if (capacity === undefined) return null
    const weights = this.#weightsOf(config)
    const weight = weights.of(workspace)
    const correction = this.#source.getEstimateCorrection(queueKey(queue))
    const job = { ...spec, acceptedAt: wall, occurrences: new Map() } as unknown as JobRecord
    const forecast = forecastJob(job, null, queue, correction)
    const load = computeLoad(job, capacity, correction)
    if (!this.#refusedCalls.has(id)) this.#arrivals.add(load, now)
    const { work, machines } = this.#backlogOf(queue.service, capacity)
    const share = weight / weights.sum(new Set([...work.workspaces, workspace]))
    const slackMs = forecast.onTimeUntil - wall - forecast.criticalPathMs - this.#refusedCalls.ageOf(id, now)
    const isWithinRate = workspace === '' || !countJob(rateBuckets.get(workspace), weight, wall).isBeyondRate
    const waitMs = (isWithinRate ? work.sumBefore(queue.priority) : work.beforeBeyondRate) / machines
    const reason = judgeAdmission({
      isOverloaded: this.#arrivals.rate(now) > this.#source.countMachines() * USABLE_SHARE,
      slackMs,
      waitMs,
      ownWaitMs: work.sumBefore(queue.priority, workspace) / (machines * share),
      usualSlackMs: work.usualSlackMs,
      isWithinRate,
      pendingCount
    })
    if (reason === null) {
      if (isWithinRate) work.add({ workspace, priority: queue.priority, load }, slackMs)
      else work.addBeyondRate(load)
      return null
    }
    const retryAfterMs = this.#refusedCalls.add(id, { service: queue.service, excessMs: Math.max(0, waitMs - Math.max(0, slackMs)), serviceMs: load / machines }, now)
    this.#count(workspace, reason, now)
    return { reason, retryAfterMs }
  }

  #backlogOf (service: string, capacity: Resources): Backlog {
    const now = this.#clock.now()
    const known = this.#backlogs.get(service)
    if (known !== undefined && now - known.measuredAt < MEASURE_INTERVAL_MS) return known
    const work = new WaitingWork()
    for (const job of this.#source.describeJobsOf(service)) work.addJob(job, capacity, this.#clock.wall())
    const backlog = { measuredAt: now, work, machines: this.#source.countAttainable(service) * USABLE_SHARE }
    this.#backlogs.set(service, backlog)
    return backlog
  }

  #weightsOf (config: QueueConfig): WeightTable {
    let table = this.#weights.get(config)
    if (table === undefined) this.#weights.set(config, table = new WeightTable(config.workspaces ?? []))
    return table
  }

  #count (workspace: string, reason: RefusalReason, now: Millis): void {
    this.#metrics.count('oleanderward_refused_jobs', { reason })
    const key = `${workspace === '' ? '-' : workspace} ${reason}`
    this.#refusals.set(key, (this.#refusals.get(key) ?? 0) + 1)
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return
    this.#loggedAt = now
    this.#log.info('jobs.refused', { refusals: Object.fromEntries(this.#refusals) })
    this.#refusals = new Map()
  }
}

/** Weights of the workspaces; jobs without a workspace count together as one of the mean weight. */
class WeightTable {
  readonly #weights: ReadonlyMap<string, number>
  readonly #mean: number

  constructor (workspaces: readonly Workspace[]) {
    this.#weights = new Map(workspaces.map(({ name, weight }) => [name, weight]))
    const sum = workspaces.reduce((total, { weight }) => total + weight, 0)
    this.#mean = sum > 0 ? sum / workspaces.length : 1
  }

  of (workspace: string): number {
    return this.#weights.get(workspace) ?? this.#mean
  }

  sum (workspaces: Iterable<string>): number {
    let sum = 0
    for (const workspace of workspaces) sum += this.of(workspace)
    return Math.max(sum, Number.MIN_VALUE)
  }
}
