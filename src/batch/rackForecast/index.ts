/** Forecasts when the workers of one rack have room for tasks that wait for a place there. */
import type { Millis } from '../../clock/index.js'
import type { PoolWorker } from '../planStarts/index.js'
import type { Resources } from '../types.js'

/** Capacity of a worker that comes free. */
export interface Release extends Resources {
  /** Time from now. */
  readonly afterMs: Millis
  readonly worker: PoolWorker
}

/** Tasks that need places at the same time. */
export interface PlaceDemand extends Resources {
  readonly count: number
  /** Most of the tasks that one worker may have, counting those that it has; infinity for no limit. */
  readonly countPlaces: (worker: PoolWorker) => number
}

/** When the places come free, and on which workers. */
export interface ForecastPlaces {
  readonly afterMs: Millis
  /** One entry for each task. */
  readonly workers: readonly PoolWorker[]
}

interface Capacity {
  cpu: number
  memory: number
  accelerators: number
}

/** Forecast of one rack for one scheduling cycle. */
export class RackForecast {
  readonly #workers: readonly PoolWorker[]
  /** Sorted by time. */
  readonly #releases: Release[]
  /** What tasks that wait for a place will take, by worker. */
  readonly #taken = new Map<PoolWorker, Capacity>()

  /**
   * @param workers - workers of the rack that accept tasks
   * @param releases - capacity that is expected to come free there
   */
  constructor (workers: readonly PoolWorker[], releases: readonly Release[]) {
    this.#workers = workers
    this.#releases = [...releases].sort((a, b) => a.afterMs - b.afterMs)
  }

  /**
   * Finds the earliest time at which all tasks of a demand have places beside those that wait before them.
   *
   * @param demand - what the tasks need
   * @param limitMs - how far to look ahead, in ms from now
   * @returns null when there are not enough places by then
   */
  find (demand: PlaceDemand, limitMs: Millis): ForecastPlaces | null {
    const free = new Map<PoolWorker, Capacity>()
    const places = new Map<PoolWorker, number>()
    let total = 0
    const count = (worker: PoolWorker): void => {
      const now = Math.min(demand.countPlaces(worker), countFits(free.get(worker) as Capacity, demand))
      total += now - (places.get(worker) ?? 0)
      places.set(worker, now)
    }
    for (const worker of this.#workers) {
      const taken = this.#taken.get(worker)
      free.set(worker, { cpu: worker.free.cpu - (taken?.cpu ?? 0), memory: worker.free.memory - (taken?.memory ?? 0), accelerators: worker.free.accelerators - (taken?.accelerators ?? 0) })
      count(worker)
    }
    let afterMs = 0
    for (const release of this.#releases) {
      if (total >= demand.count) break
      if (release.afterMs > limitMs) return null
      const capacity = free.get(release.worker)
      if (capacity === undefined) continue
      add(capacity, release, 1)
      afterMs = release.afterMs
      count(release.worker)
    }
    if (total < demand.count) return null
    return { afterMs, workers: [...places].flatMap(([worker, n]) => Array.from({ length: n }, () => worker)).slice(0, demand.count) }
  }

  /**
   * Counts tasks that wait, so that those after them in the order find the next places.
   *
   * @param places - where and when they are expected to start
   * @param demand - what each of them needs
   * @param runMs - how long they are expected to run
   */
  take ({ afterMs, workers }: ForecastPlaces, { cpu, memory, accelerators }: Resources, runMs: Millis): void {
    for (const worker of workers) {
      const taken = this.#taken.get(worker) ?? { cpu: 0, memory: 0, accelerators: 0 }
      add(taken, { cpu, memory, accelerators }, 1)
      this.#taken.set(worker, taken)
      const release = { worker, cpu, memory, accelerators, afterMs: afterMs + runMs }
      const at = this.#releases.findIndex((other) => other.afterMs > release.afterMs)
      this.#releases.splice(at < 0 ? this.#releases.length : at, 0, release)
    }
  }
}

function add (capacity: Capacity, { cpu, memory, accelerators }: Resources, sign: 1 | -1): void {
  capacity.cpu += sign * cpu
  capacity.memory += sign * memory
  capacity.accelerators += sign * accelerators
}

function countFits (free: Resources, demand: Resources): number {
  const fits = (available: number, needed: number): number => needed <= 0 ? Number.POSITIVE_INFINITY : Math.max(0, Math.floor(available / needed))
  return Math.min(demand.cpu > 0 || free.cpu >= 0 ? fits(free.cpu, demand.cpu) : 0, fits(free.memory, demand.memory), fits(free.accelerators, demand.accelerators), MAX_FITS)
}

/** Bounds the places of a worker for tasks that need nothing. */
const MAX_FITS = 1000
