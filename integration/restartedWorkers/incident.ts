/** Plays workers that start again at their address and are cut off soon after, while tasks keep coming, and observes overlapping runs. */
import { encodeSingleStepJob } from '../../platform/standin/caller.js'
import type { ObservedRun, WorkerObserver } from '../../platform/standin/worker.js'
import { Random } from '../../src/batch/fuzz/random.js'
import { JobDeployment, LOOPBACK_NETWORK, waitUntil } from '../jobs/deployment.js'
import { ProxiedWorker } from '../jobs/proxiedWorker.js'

const WORKER_COUNT = 16
const CRASHED_COUNT = 10

/** Shortest and longest time, in milliseconds. */
type TimeRange = readonly [number, number]

/** Times of one restart. */
export interface RestartTimes {
  readonly downMs: TimeRange
  /** From the start of the next incarnation to its first report. */
  readonly firstReportMs: TimeRange
  /** From the start of the next incarnations to the cut. */
  readonly cutAfterMs: TimeRange
  readonly cutMs: TimeRange
}

const DEFAULT_TIMES: RestartTimes = { downMs: [300, 700], firstReportMs: [300, 500], cutAfterMs: [1000, 2000], cutMs: [3000, 6000] }

const PAUSE_MS = [1000, 2000] as const
const CONTROL_FAULT_MS = [500, 4000] as const

/** Longest time that a stop takes on any deployment. */
const STOP_GRACE_MS = 400

const JOB_INTERVAL_MS = 80
const MAX_TASKS = 3
const TASK_MS = [300, 4000] as const

/** What happens to the control processes while the workers start again. */
export type ControlFault = 'none' | 'killLeader' | 'pauseLeader' | 'pauseFollower'

/** Collects pairs of runs of one task that overlap on workers that are up. */
export class OverlapObserver implements WorkerObserver {
  /** Descriptions of the pairs. */
  readonly overlaps: string[] = []
  /** Number of runs that have started. */
  startCount = 0
  readonly #activeRuns = new Map<string, Set<ObservedRun>>()

  onStart (started: ObservedRun): void {
    this.startCount += 1
    const activeRuns = this.#activeRuns.get(started.task) ?? new Set<ObservedRun>()
    for (const other of [...activeRuns]) other.settle()
    for (const other of activeRuns) this.overlaps.push(`run ${started.run} of ${started.task} starts on ${started.worker} while run ${other.run} is on ${other.worker}${other.stopsAt < Number.POSITIVE_INFINITY ? ', being stopped' : ''}`)
    this.#activeRuns.set(started.task, activeRuns.add(started))
  }

  onEnd (ended: ObservedRun): void {
    this.#activeRuns.get(ended.task)?.delete(ended)
  }

  onAcknowledged (): void {}

  onCrash (worker: string): void {
    for (const runs of this.#activeRuns.values()) for (const run of runs) if (run.worker === worker) runs.delete(run)
  }
}

/** Deployment under load whose workers start again. */
export class RestartIncident {
  readonly deployment = new JobDeployment()
  readonly observer = new OverlapObserver()
  readonly #random: Random
  readonly #workers: ProxiedWorker[]
  readonly #submissions = new Set<Promise<void>>()
  readonly #times: RestartTimes
  #isLoaded = false
  #jobCount = 0

  /**
   * @param seed - seed of the times and of the tasks
   * @param times - times that differ from the usual ones
   */
  constructor (seed: number, times: Partial<RestartTimes> = {}) {
    this.#random = new Random(seed)
    this.#times = { ...DEFAULT_TIMES, ...times }
    this.#workers = Array.from({ length: WORKER_COUNT }, (_, i) => new ProxiedWorker({ id: `i-${i}`, address: `${LOOPBACK_NETWORK}.1.${i + 1}:18570`, service: 'pool', control: this.deployment.controlAddresses, taskMs: Number, stopGraceMs: STOP_GRACE_MS, observer: this.observer }))
  }

  /** Starts all processes and workers, and the load. */
  async start (): Promise<void> {
    await this.deployment.start()
    await this.deployment.configure(1)
    for (const worker of this.#workers) await worker.start()
    await waitUntil(() => this.deployment.lines.filter(({ event }) => event === 'worker.enrolled').length >= WORKER_COUNT)
    this.#isLoaded = true
    void this.#generateLoad(new Random(this.#random.nextInt(1e9)))
  }

  /**
   * Lets several workers crash at the same moment, start again and be cut off. Resolves when all of them have been reachable for a while.
   *
   * @param controlFault - what happens to a control process meanwhile
   */
  async playRound (controlFault: ControlFault): Promise<void> {
    const { downMs, firstReportMs, cutAfterMs, cutMs } = this.#times
    const first = this.#random.nextInt(WORKER_COUNT)
    const crashed = Array.from({ length: CRASHED_COUNT }, (_, i) => this.#workers[(first + i) % WORKER_COUNT] as ProxiedWorker)
    const disturbed = this.#disturbControl(controlFault, this.#randomIn([0, 1500]), this.#randomIn(CONTROL_FAULT_MS))
    for (const worker of crashed) worker.crashDark()
    await pause(this.#randomIn(downMs))
    await Promise.all(crashed.map((worker) => worker.startAgain(this.#randomIn(firstReportMs))))
    await pause(this.#randomIn(cutAfterMs))
    for (const worker of crashed) worker.cutOff()
    await pause(this.#randomIn(cutMs))
    for (const worker of crashed) worker.rejoin()
    await pause(this.#randomIn(PAUSE_MS))
    await disturbed
  }

  /** Ends the load and all processes. */
  async stop (): Promise<void> {
    this.#isLoaded = false
    await Promise.all(this.#submissions)
    for (const worker of this.#workers) worker.stop()
    await this.deployment.stop()
  }

  async #disturbControl (fault: ControlFault, delayMs: number, durationMs: number): Promise<void> {
    const { deployment } = this
    await pause(delayMs)
    const leader = deployment.leader
    if (fault === 'none' || leader === undefined) return
    const name = fault === 'pauseFollower' ? `control-${(Number(leader.slice(-1)) + 1) % 3}` : leader
    if (fault === 'killLeader') await deployment.end(name)
    else deployment.signal(name, 'SIGSTOP')
    await pause(durationMs)
    if (fault === 'killLeader') deployment.startControl(Number(name.slice(-1)), false)
    else deployment.signal(name, 'SIGCONT')
  }

  async #generateLoad (random: Random): Promise<void> {
    while (this.#isLoaded) {
      const id = (++this.#jobCount).toString(16).padStart(16, '0')
      const taskMs = Math.round(TASK_MS[0] * (TASK_MS[1] / TASK_MS[0]) ** random.next())
      const job = encodeSingleStepJob(1 + random.nextInt(MAX_TASKS), taskMs, String(taskMs))
      // Which submissions are accepted doesn't matter here.
      const submission = this.deployment.ask('POST', `/queue/${id}`, job, 3000).then(() => {}, () => {}).finally(() => { this.#submissions.delete(submission) })
      this.#submissions.add(submission)
      await pause(JOB_INTERVAL_MS)
    }
  }

  #randomIn ([low, high]: TimeRange): number {
    return low + this.#random.nextInt(high - low)
  }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
