/** Replicated state of jobs, workers and waves, with indexes derived from it. */
import { Packr } from 'msgpackr/pack'
import type { StateMachine } from '../../consensus/types.js'
import { formatTask, parseTask } from '../types.js'
import { BATCH_HANDLERS, type StateObserver } from './handlers.js'
import type { ActiveRun, BatchCommand, BatchData, JobRecord, TaskRecord } from './records.js'
import { WorkerIndex } from './workerIndex/index.js'
import { WorkspaceUse } from '../../workspaces/workspaceUse/index.js'

/** Number of active jobs of which no run has begun, by queue key. */
type PendingCounts = Map<string, number>

/** Applies commands to {@link BatchData}, and writes and restores its snapshots. */
export class BatchState implements StateMachine {
  #data = createBatchData()
  #activeJobs = new Map<string, JobRecord>()
  #pendingCounts: PendingCounts = new Map()
  #runsByWorker = new Map<string, Map<string, ActiveRun>>()
  #workerIndex = new WorkerIndex()
  #workspaceUse = new WorkspaceUse()
  /** Runs that may be running although their task is done or their job has ended, with their task. */
  #unneededRuns = new Map<ActiveRun, string>()
  /** Updates the indexes with each change that a handler makes. */
  readonly #observer: StateObserver = {
    onJobAdded: (job) => {
      this.#activeJobs.set(job.id, job)
      if (job.repeatCount === 0) this.#addToPendingCount(job, 1)
    },
    onJobStarted: (job) => { if (job.repeatCount === 0) this.#addToPendingCount(job, -1) },
    onJobEnded: (job) => {
      this.#activeJobs.delete(job.id)
      if (!job.hasStarted && job.repeatCount === 0) this.#addToPendingCount(job, -1)
      forEachActiveTask(job, (task, record) => { this.#addUnneededRuns(task, record) })
    },
    onTaskDone: (task, record) => { this.#addUnneededRuns(task, record) },
    onRunAdded: (worker, task, run) => {
      const runs = this.#runsByWorker.get(worker) ?? new Map<string, ActiveRun>()
      this.#runsByWorker.set(worker, runs.set(task, run))
      this.#countUse(task, 'add')
    },
    onRunEnded: (task, run) => {
      const runs = this.#runsByWorker.get(run.worker)
      if (runs?.get(task)?.run === run.run) runs.delete(task)
      if (runs?.size === 0) this.#runsByWorker.delete(run.worker)
      this.#unneededRuns.delete(run)
      this.#countUse(task, 'remove')
    },
    onWorkerSet: (key, record, previous) => { this.#workerIndex.set(key, record, previous) },
    onWorkerRemoved: (key, record) => { this.#workerIndex.delete(key, record) }
  }

  get data (): BatchData {
    return this.#data
  }

  /** Jobs that have not ended. */
  get activeJobs (): ReadonlyMap<string, JobRecord> {
    return this.#activeJobs
  }

  /** The workers by what identifies them. */
  get workerIndex (): WorkerIndex {
    return this.#workerIndex
  }

  /** What the active runs of each workspace use. */
  get workspaceUse (): WorkspaceUse {
    return this.#workspaceUse
  }

  /**
   * Returns how many active jobs of a queue have not started, without repeating ones.
   *
   * @param queue - key of the queue
   */
  getPendingCount (queue: string): number {
    return this.#pendingCounts.get(queue) ?? 0
  }

  /**
   * Returns the runs that may be running on a worker, by task.
   *
   * @param worker - key of the worker's incarnation
   */
  runsOn (worker: string): ReadonlyMap<string, ActiveRun> {
    return this.#runsByWorker.get(worker) ?? NO_RUNS
  }

  /** Runs that may be running although their task is done or their job has ended, with their task. */
  get unneededRuns (): ReadonlyMap<ActiveRun, string> {
    return this.#unneededRuns
  }

  /**
   * Returns whether a placed run should still be started: its job is active, its task not done and its end not recorded.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  isRunNeeded (task: string, run: number): boolean {
    const position = parseTask(task)
    const job = position === null ? undefined : this.#data.jobs.get(position.job)
    if (position === null || job?.state !== 'active') return false
    const record = job.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
    return record !== undefined && !record.isDone && record.active.some((active) => active.run === run)
  }

  /** Keys of all workers that may have runs, including dismissed ones. */
  get workersWithRuns (): Iterable<string> {
    return this.#runsByWorker.keys()
  }

  apply (_index: number, command: unknown): unknown {
    const typedCommand = command as BatchCommand
    this.#data.now = Math.max(this.#data.now, typedCommand.at)
    const handler = BATCH_HANDLERS[typedCommand.type] as (data: BatchData, command: BatchCommand, observer: StateObserver) => unknown
    return handler(this.#data, typedCommand, this.#observer)
  }

  serialize (): Uint8Array {
    return new Packr({ useRecords: true, moreTypes: true }).pack(this.#data)
  }

  restore (data: Uint8Array): void {
    this.#data = new Packr({ useRecords: true, moreTypes: true }).unpack(data) as BatchData
    // Snapshots of earlier builds lack these fields.
    this.#data.unconfirmedCrashes ??= new Map()
    this.#data.incarnations ??= new Map()
    this.#data.retiredQueues ??= new Map()
    this.#data.retiredWorkspaces ??= new Map()
    this.#data.rateBuckets ??= new Map()
    if (this.#data.config !== null) this.#data.config = { ...this.#data.config, workspaces: this.#data.config.workspaces ?? null }
    this.#activeJobs = new Map()
    this.#pendingCounts = new Map()
    this.#runsByWorker = new Map()
    this.#unneededRuns = new Map()
    this.#workerIndex = new WorkerIndex()
    this.#workspaceUse = new WorkspaceUse()
    for (const [key, record] of this.#data.workers) this.#workerIndex.set(key, record, undefined)
    for (const job of this.#data.jobs.values()) this.#index(job)
  }

  #index (job: JobRecord): void {
    addMissingFields(job)
    if (job.state === 'active') {
      this.#activeJobs.set(job.id, job)
      if (!job.hasStarted && job.repeatCount === 0) this.#addToPendingCount(job, 1)
    }
    forEachActiveTask(job, (task, record) => {
      for (const run of record.active) this.#observer.onRunAdded(run.worker, task, run)
      if (job.state !== 'active' || record.isDone) this.#addUnneededRuns(task, record)
    })
  }

  #countUse (task: string, change: 'add' | 'remove'): void {
    const position = parseTask(task)
    const job = position === null ? undefined : this.#data.jobs.get(position.job)
    const step = position === null ? undefined : job?.steps[position.step]
    if (job !== undefined && step !== undefined) this.#workspaceUse[change](job.workspace, job.queue, step)
  }

  #addUnneededRuns (task: string, { active }: TaskRecord): void {
    for (const run of active) this.#unneededRuns.set(run, task)
  }

  #addToPendingCount (job: JobRecord, change: number): void {
    this.#pendingCounts.set(job.queue, (this.#pendingCounts.get(job.queue) ?? 0) + change)
  }
}

/** Calls a function for each task with runs that may be running. */
function forEachActiveTask (job: JobRecord, onTask: (task: string, record: TaskRecord) => void): void {
  for (const [occurrence, steps] of job.occurrences) {
    steps.forEach(({ tasks }, step) => {
      tasks.forEach((record, index) => { if (record.active.length > 0) onTask(formatTask({ job: job.id, occurrence, step, index }), record) })
    })
  }
}

/** Adds the fields that snapshots of earlier builds lack. */
function addMissingFields (job: Omit<JobRecord, 'isSuspect' | 'workspace' | 'isBeyondRate'> & { isSuspect?: boolean, workspace?: string, isBeyondRate?: boolean }): void {
  job.workspace ??= ''
  job.isBeyondRate ??= false
  if (job.isSuspect !== undefined) return
  job.isSuspect = false
  for (const steps of job.occurrences.values()) {
    for (const { tasks } of steps) for (const task of tasks) Object.assign(task, { crashes: 0, soleCrashesOn: [] })
  }
}

const NO_RUNS: ReadonlyMap<string, ActiveRun> = new Map()

function createBatchData (): BatchData {
  return { now: 0, config: null, retiredQueues: new Map(), retiredWorkspaces: new Map(), rateBuckets: new Map(), jobs: new Map(), workers: new Map(), waves: new Map(), unconfirmedCrashes: new Map(), incarnations: new Map() }
}
