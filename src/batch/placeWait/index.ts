/**
 * Decides how long tasks wait for a place near their data or their group.
 *
 * Handles hot racks: for some seconds six in ten jobs of a class want one rack of 8 workers, and a task that runs elsewhere takes 1.5 to 3
 * times as long. A task waits while its expected completion near its data is earlier than that of a start elsewhere now, by a margin that
 * grows with what others ask of the rack. It reserves nothing, and each scheduling cycle decides anew.
 */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../../metrics/index.js'
import { groupByRack } from '../groupByRack/index.js'
import { isFarRun } from '../isFarRun/index.js'
import { forecastJob } from '../jobObjective/index.js'
import type { PoolWorker, StartGroup, StartableTask } from '../planStarts/index.js'
import { RackForecast, type PlaceDemand, type Release } from '../rackForecast/index.js'
import type { RunStats } from '../runStats/index.js'
import type { RunTimes } from '../runTimes/index.js'
import type { BatchState } from '../state/index.js'
import { findQueue } from '../state/queues/index.js'
import type { JobRecord } from '../state/records.js'
import { parseTask, type Resources, type Step, type TaskPosition } from '../types.js'

/** Longest wait of a task before one run. Far below the 3 s for which a job may have nothing running while there is capacity. */
export const MAX_PLACE_WAIT_MS: Millis = 1000

/** A new leader knows neither run times nor what has waited under the one before it. */
const TERM_START_MS: Millis = 3000

/** A worker slower than this is no place to wait for. */
const MAX_SLOWDOWN = 1.5

/** A place that comes free by then is expected at once: the end of the run may be under way. */
const MIN_REMAINING_MS: Millis = 10

/** Half-life of the load that tasks have asked of a rack. */
const PRESSURE_HALF_LIFE_MS: Millis = 2000

/** Components that the decision reads. */
export interface PlaceWaitDeps {
  readonly clock: Clock
  readonly state: BatchState
  readonly stats: RunStats
  readonly runTimes: RunTimes
  readonly log: EventLog
  readonly metrics: Metrics
}

/** A wait as shown to an operator. */
export interface CurrentWait {
  /** Rack that holds the data; empty for a gang that waits for any rack with room for all of it. */
  readonly rack: string
  readonly sinceWall: Millis
  /** When it starts elsewhere at the latest, as wall-clock time. */
  readonly untilWall: Millis
}

interface Wait extends CurrentWait {
  readonly position: TaskPosition
  /** Number of the task's last run before the wait. */
  readonly lastRun: number
  isOver: boolean
}

/** Load that tasks have asked of a rack, as a moving average. */
interface RackLoad {
  /** Core-milliseconds a millisecond. */
  load: number
  at: Millis
}

/** Decides for one term which tasks wait for a near place. */
export class PlaceWait {
  readonly #deps: PlaceWaitDeps
  readonly #beganAt: Millis
  /** By name of the task, of the first member for a gang. */
  readonly #waits = new Map<string, Wait>()
  readonly #loads = new Map<string, Map<string, RackLoad>>()

  /** @param deps - what the decision reads */
  constructor (deps: PlaceWaitDeps) {
    this.#deps = deps
    this.#beganAt = deps.clock.now()
  }

  /**
   * Begins the decisions of one scheduling cycle for one pool.
   *
   * @param service - the pool's service
   * @returns the decider that `planStarts` asks, which counts the tasks that wait
   */
  beginCycle (service: string): PlaceWaitCycle {
    if (this.#waits.size > 0) this.#forgetEnded()
    return new PlaceWaitCycle(this.#deps, this.#waits, this.#loadsOf(service), this.#deps.clock.now() - this.#beganAt >= TERM_START_MS)
  }

  /**
   * Returns the wait of a task, or null when it does not wait.
   *
   * @param task - name of the task
   */
  waitOf (task: string): CurrentWait | null {
    const position = parseTask(task)
    const step = position === null ? undefined : this.#deps.state.data.jobs.get(position.job)?.steps[position.step]
    if (position === null || step === undefined) return null
    for (const wait of this.#waits.values()) {
      const { job, occurrence, step: stepIndex, index } = wait.position
      const isSame = job === position.job && occurrence === position.occurrence && stepIndex === position.step && (step.isGang || index === position.index)
      if (isSame && !wait.isOver && this.#deps.clock.wall() <= wait.untilWall) return wait
    }
    return null
  }

  #loadsOf (service: string): Map<string, RackLoad> {
    let loads = this.#loads.get(service)
    if (loads === undefined) this.#loads.set(service, loads = new Map())
    return loads
  }

  /** Drops the waits of tasks that have been placed or are not needed any more. */
  #forgetEnded (): void {
    const { data } = this.#deps.state
    for (const [task, { position, lastRun }] of this.#waits) {
      const job = data.jobs.get(position.job)
      const record = job?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
      if (job?.state !== 'active' || record?.isDone === true || (record?.lastRun ?? 0) !== lastRun) this.#waits.delete(task)
    }
  }
}

/** Decisions of one scheduling cycle for one pool. */
export class PlaceWaitCycle {
  /** Tasks that could start elsewhere and wait. */
  waitingCount = 0
  readonly #deps: PlaceWaitDeps
  readonly #waits: Map<string, Wait>
  readonly #loads: Map<string, RackLoad>
  readonly #mayWait: boolean
  /** Forecasts by rack of the data, and of each rack for gangs. */
  readonly #forecasts = new Map<string, readonly RackForecast[]>()

  /**
   * @param deps - what the decision reads
   * @param waits - waits of the term, by task
   * @param loads - load that tasks have asked of each rack
   * @param mayWait - whether the term is old enough for waits
   */
  constructor (deps: PlaceWaitDeps, waits: Map<string, Wait>, loads: Map<string, RackLoad>, mayWait: boolean) {
    this.#deps = deps
    this.#waits = waits
    this.#loads = loads
    this.#mayWait = mayWait
  }

  /**
   * Decides whether a group that could start now waits for a near place.
   *
   * @param group - the group
   * @param chosen - the worker of each member if it starts now
   * @param available - workers that accept tasks, with their free capacity before the group starts
   */
  shouldWait ({ members }: StartGroup, chosen: readonly PoolWorker[], available: readonly PoolWorker[]): boolean {
    const [first] = members
    if (first === undefined || !hasPreference(first.step)) return false
    const position = parseTask(first.task)
    const job = position === null ? undefined : this.#deps.state.data.jobs.get(position.job)
    if (position === null || job === undefined) return false
    const wait = this.#waits.get(first.task)
    if (wait === undefined) this.#addLoad(first, members.length, job, available)
    const isWaiting = !isNear(first.step, chosen) && wait?.isOver !== true && this.#isWorthWaiting(members, position, job, available, wait)
    if (isWaiting) this.waitingCount += members.length
    else if (wait !== undefined && !wait.isOver) this.#endWait(first.task, wait, isNear(first.step, chosen))
    return isWaiting
  }

  #isWorthWaiting (members: readonly StartableTask[], position: TaskPosition, job: JobRecord, available: readonly PoolWorker[], wait: Wait | undefined): boolean {
    const first = members[0] as StartableTask
    const { step } = first
    if (!this.#mayWait || step.isLasting || step.isFiller || first.suspectJob !== null) return false
    const { clock, runTimes } = this.#deps
    const wall = clock.wall()
    const runMs = this.#expectRunMs(first, job)
    const gainMs = (runTimes.remotePenalty - 1) * runMs
    const leftMs = wait === undefined
      ? Math.min(MAX_PLACE_WAIT_MS, gainMs, this.#getSlackMs(job, position, wall))
      : wait.untilWall - wall
    if (leftMs <= 0 || leftMs > MAX_PLACE_WAIT_MS) return false
    // A place may come free sooner than expected, so that one that is expected after the end of the wait is still worth it.
    const horizonMs = gainMs * this.#getShare(step.dataRack, available)
    const demand: PlaceDemand = { cpu: step.cpu, memory: step.memory, accelerators: step.accelerators, count: members.length, countPlaces: (worker) => countPlaces(worker, members) }
    let best: { readonly forecast: RackForecast, readonly afterMs: Millis, readonly workers: readonly PoolWorker[] } | null = null
    for (const forecast of this.#getForecasts(step, available)) {
      const found = forecast.find(demand, best?.afterMs ?? horizonMs)
      // A place that is free already was not taken for a reason that the forecast doesn't know.
      if (found !== null && found.afterMs > 0 && (best === null || found.afterMs < best.afterMs)) best = { forecast, ...found }
    }
    if (best === null) return false
    best.forecast.take(best, step, runMs)
    if (wait === undefined) this.#beginWait(first, position, wall, leftMs, best.afterMs)
    return true
  }

  #beginWait ({ task, step }: StartableTask, position: TaskPosition, wall: Millis, leftMs: Millis, expectedMs: Millis): void {
    const lastRun = this.#deps.state.data.jobs.get(position.job)?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]?.lastRun ?? 0
    this.#waits.set(task, { rack: step.dataRack, sinceWall: wall, untilWall: wall + leftMs, position, lastRun, isOver: false })
    this.#deps.log.info('placeWait.began', { task, rack: step.dataRack, expectedMs: Math.round(expectedMs), limitMs: Math.round(leftMs) })
  }

  /** A wait that has ended does not begin again before the next run of the task. */
  #endWait (task: string, wait: Wait, isPlacedNear: boolean): void {
    const { clock, log, metrics } = this.#deps
    wait.isOver = true
    const waitedMs = clock.wall() - wait.sinceWall
    metrics.count('oleanderward_place_waits', { outcome: isPlacedNear ? 'near' : 'far' })
    metrics.count('oleanderward_place_wait_ms', {}, waitedMs)
    log.info('placeWait.ended', { task, rack: wait.rack, waitedMs, outcome: isPlacedNear ? 'near' : 'far' })
  }

  /** Time by which the job may be delayed and still meet its objective, if nothing else delays it. */
  #getSlackMs (job: JobRecord, { occurrence }: TaskPosition, wall: Millis): Millis {
    const queue = findQueue(this.#deps.state.data, job.queue)
    const forecast = forecastJob(job, job.occurrences.get(occurrence) ?? null, queue, this.#deps.stats.getEstimateCorrection(job.queue))
    const dueAt = job.repeatCount > 0 ? job.startAt + occurrence * job.intervalMs : job.acceptedAt
    return dueAt + (forecast.onTimeUntil - job.acceptedAt) - wall - forecast.remainingCriticalPathMs
  }

  #expectRunMs ({ stepKey, step }: StartableTask, job: JobRecord): Millis {
    return this.#deps.runTimes.forecast(stepKey, step.image === '' ? job.queue : step.image, step.estimateMs).meanMs
  }

  /**
   * Returns the share of the gain that a wait may cost. On a rack that is asked for more than it has, its places are taken in any case, so
   * that each further wait costs time and gains nothing for all of its tasks together.
   */
  #getShare (rack: string, available: readonly PoolWorker[]): number {
    const load = this.#loads.get(rack)
    if (load === undefined || rack === '') return 1
    const decayed = load.load * 2 ** (-(this.#deps.clock.now() - load.at) / PRESSURE_HALF_LIFE_MS)
    const cores = available.reduce((sum, { labels, room }) => labels.includes(rack) ? sum + room.cpu : sum, 0)
    return cores === 0 ? 0 : 1 / (1 + decayed / cores)
  }

  /** Counts a group once, when it is first planned: its work near the data, spread over the half-life. */
  #addLoad (first: StartableTask, count: number, job: JobRecord, available: readonly PoolWorker[]): void {
    const { dataRack: rack, cpu } = first.step
    if (rack === '' || !available.some(({ labels }) => labels.includes(rack))) return
    const now = this.#deps.clock.now()
    const load = this.#loads.get(rack) ?? { load: 0, at: now }
    load.load = load.load * 2 ** (-(now - load.at) / PRESSURE_HALF_LIFE_MS) + count * cpu * this.#expectRunMs(first, job) * Math.LN2 / PRESSURE_HALF_LIFE_MS
    load.at = now
    this.#loads.set(rack, load)
  }

  #getForecasts ({ dataRack, prefersOneRack, isGang }: Step, available: readonly PoolWorker[]): readonly RackForecast[] {
    const key = `${dataRack}\n${isGang && prefersOneRack}`
    let forecasts = this.#forecasts.get(key)
    if (forecasts === undefined) {
      const near = available.filter((worker) => isSound(worker) && (dataRack === '' || worker.labels.includes(dataRack)))
      const racks = isGang && prefersOneRack ? groupByRack(near) : near.length === 0 ? [] : [near]
      this.#forecasts.set(key, forecasts = racks.map((workers) => new RackForecast(workers, workers.flatMap((worker) => this.#listReleases(worker)))))
    }
    return forecasts
  }

  /** Lists the capacity that the runs of a worker are expected to give back; a run that has taken too long already is not counted. */
  #listReleases (worker: PoolWorker): Release[] {
    const { clock, runTimes, state } = this.#deps
    const releases: Release[] = []
    for (const [task, { run, placedAt }] of state.runsOn(worker.key)) {
      const position = parseTask(task)
      const job = position === null ? undefined : state.data.jobs.get(position.job)
      const step = position === null ? undefined : job?.steps[position.step]
      if (position === null || job === undefined || step === undefined || step.isLasting) continue
      const { meanMs, spread } = runTimes.forecast(`${position.job}.${position.occurrence}.${position.step}`, step.image === '' ? job.queue : step.image, step.estimateMs)
      const expectedMs = meanMs * (isFarRun(state, { position, run, worker: worker.key }) === true ? runTimes.remotePenalty : 1) * Math.max(1, worker.slowdown)
      const elapsedMs = clock.wall() - placedAt
      if (elapsedMs > expectedMs * (1 + spread)) continue
      releases.push({ worker, ...getDemand(step), afterMs: Math.max(MIN_REMAINING_MS, expectedMs - elapsedMs) })
    }
    return releases
  }
}

function getDemand ({ cpu, memory, accelerators, isFiller }: Step): Resources {
  return { cpu: isFiller ? 0 : cpu, memory, accelerators }
}

function hasPreference ({ dataRack, prefersOneRack, isGang }: Step): boolean {
  return dataRack !== '' || (prefersOneRack && isGang)
}

function isNear ({ dataRack, prefersOneRack, isGang }: Step, chosen: readonly PoolWorker[]): boolean {
  if (dataRack !== '' && !chosen.every(({ labels }) => labels.includes(dataRack))) return false
  return !isGang || !prefersOneRack || groupByRack(chosen).length <= 1
}

/** Whether a worker is healthy enough to wait for; those that take no tasks are left out by the planner. */
function isSound ({ startsLeft, slowdown, trialJob }: PoolWorker): boolean {
  return startsLeft === Number.POSITIVE_INFINITY && slowdown <= MAX_SLOWDOWN && trialJob === null
}

function countPlaces (worker: PoolWorker, members: readonly StartableTask[]): number {
  const { step, stepKey, allowed } = members[0] as StartableTask
  if (step.label !== '' && !worker.labels.includes(step.label)) return 0
  if (allowed !== null && !allowed.has(worker.key)) return 0
  if (members.some(({ failedOn }) => failedOn.includes(worker.key) || failedOn.includes(worker.machine))) return 0
  return step.maxPerWorker === 0 ? Number.POSITIVE_INFINITY : Math.max(0, step.maxPerWorker - (worker.taskCountByStep.get(stepKey) ?? 0))
}
