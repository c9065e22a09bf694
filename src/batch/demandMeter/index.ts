/** Measures what the active jobs demand of the services, for the scheduler and for the sizes of the pools. */
import { ArrivalMeter } from '../../pools/arrivalMeter/index.js'
import type { PoolDemand } from '../../pools/machinesNeeded/index.js'
import { StarvationDetector } from '../../pools/starvationDetector/index.js'
import { countCores, forecastJob } from '../jobObjective/index.js'
import type { TermContext } from '../leader/context.js'
import { computeLoad, measureDemand, type MeasuredJob } from '../measureDemand/index.js'
import type { RunStats } from '../runStats/index.js'
import { findQueue } from '../state/queues/index.js'
import type { JobRecord } from '../state/records.js'
import type { Queue, Resources } from '../types.js'

/** Forecasts jobs and measures the demand of services during one term. */
export class DemandMeter {
  readonly #context: TermContext
  readonly #stats: RunStats
  readonly #arrivalMeters = new Map<string, ArrivalMeter>()
  readonly #starvationDetector = new StarvationDetector()

  /**
   * @param context - shared dependencies of the term
   * @param stats - statistics of past runs
   */
  constructor (context: TermContext, stats: RunStats) {
    this.#context = context
    this.#stats = stats
  }

  /**
   * Returns the service whose workers run a job's tasks.
   *
   * @param job - the job
   * @returns name of the service that the job's queue has now, or had last when it is no longer configured
   */
  getService (job: JobRecord): string {
    return this.findQueue(job)?.service ?? job.service
  }

  /**
   * Returns the settings of a job's queue, or undefined when they are not known any more.
   *
   * @param job - the job
   */
  findQueue (job: JobRecord): Queue | undefined {
    return findQueue(this.#context.state.data, job.queue)
  }

  /** Returns the services that a queue or an active job uses. */
  services (): ReadonlySet<string> {
    const services = new Set(this.#context.state.data.config?.queues.map(({ service }) => service) ?? [])
    for (const job of this.#context.state.activeJobs.values()) services.add(this.getService(job))
    return services
  }

  /**
   * Records an accepted job in the statistics of its queue and in the arrival rate of its service.
   *
   * @param id - id of the job
   */
  observeJob (id: string): void {
    const job = this.#context.state.data.jobs.get(id)
    if (job === undefined || job.steps.some(({ isLasting }) => isLasting)) return
    const estimateCorrection = this.#stats.getEstimateCorrection(job.queue)
    this.#stats.observeJob(job.queue, job.steps.reduce((sum, step) => sum + step.count * step.estimateMs * estimateCorrection * countCores(step), 0))
    const service = this.getService(job)
    const capacity = this.findWorkerCapacity(service)
    if (capacity === undefined || job.repeatCount > 0) return
    const meter = this.#arrivalMeters.get(service) ?? new ArrivalMeter()
    this.#arrivalMeters.set(service, meter)
    meter.add(computeLoad(job, capacity, estimateCorrection), this.#context.clock.now())
  }

  /**
   * Measures the demand for the machines of a service.
   *
   * @param service - name of the service
   * @returns the demand of its active jobs; none while no worker is known, since work is measured by the capacity of one
   */
  measureServiceDemand (service: string): PoolDemand {
    const { clock } = this.#context
    const capacity = this.findWorkerCapacity(service)
    const isStarved = this.#starvationDetector.isStarved(service, clock.now())
    if (capacity === undefined) return { work: [], arrivalRate: 0, longRunningLoad: 0, longRunningSpread: 0, isStarved }
    const arrivalRate = this.#arrivalMeters.get(service)?.rate(clock.now()) ?? 0
    return { ...measureDemand(this.describeJobsOf(service), capacity, arrivalRate, clock.wall()), isStarved }
  }

  /**
   * Records the outcome of a scheduling cycle for a service.
   *
   * @param service - name of the service
   * @param outcome - whether tasks have waited, and how many were started
   */
  observeStarts (service: string, outcome: { readonly isWaiting: boolean, readonly starts: number }): void {
    this.#starvationDetector.observe(service, outcome, this.#context.clock.now())
  }

  /**
   * Returns the active jobs of a service with their forecasts.
   *
   * @param service - name of the service
   */
  describeJobsOf (service: string): MeasuredJob[] {
    return this.describeJobs([...this.#context.state.activeJobs.values()].filter((job) => this.getService(job) === service))
  }

  /**
   * Returns the capacity of a worker of a service, or of any worker when the service has none at the moment.
   *
   * @param service - name of the service
   */
  findWorkerCapacity (service: string): Resources | undefined {
    const { data, workerIndex } = this.#context.state
    const [worker] = workerIndex.ofService(service).values()
    const [fallback] = data.workers.values()
    return (worker ?? fallback)?.room
  }

  /**
   * Adds forecasts to jobs.
   *
   * @param jobs - active jobs
   */
  describeJobs (jobs: readonly JobRecord[]): MeasuredJob[] {
    return jobs.map((job) => {
      const queue = this.findQueue(job)
      const estimateCorrection = this.#stats.getEstimateCorrection(job.queue)
      return {
        job,
        id: job.id,
        estimateCorrection,
        priority: queue?.priority ?? 0,
        isBeyondRate: job.isBeyondRate,
        isLasting: job.steps.some(({ isLasting }) => isLasting),
        acceptedAt: job.acceptedAt,
        forecast: forecastJob(job, job.occurrences.get(0) ?? null, queue, estimateCorrection),
        meanWork: this.#stats.getMeanWork(job.queue)
      }
    })
  }
}
