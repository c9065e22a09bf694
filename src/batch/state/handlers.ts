/** Command handlers of the replicated state. All handlers are deterministic. */
import type { Millis } from '../../clock/index.js'
import { judgeEnd } from '../judgeEnd/index.js'
import { confirmCrashes, MAX_REMEMBERED_WORKERS, recordCrashEvidence } from './crashes.js'
import { recordIncarnation, recordPlacement, purgeIncarnations } from './incarnations.js'
import { findQueue, retireQueues } from './queues/index.js'
import { countJobOf, retireWorkspaces } from './workspaces/index.js'
import { formatTask, parseTask, workerKey, type TaskPosition } from '../types.js'
import type { ActiveRun, BatchCommandOf, BatchCommandType, BatchData, Placement, RunEnd, JobRecord, StepRecord, TaskRecord, MaintenanceState, WorkerRecord } from './records.js'

/** Failures after which a task is given up whose queue had been removed before the state kept the settings of such queues. */
const FALLBACK_MAX_ATTEMPTS = 4

const MAINTENANCE_STATE_ORDER: readonly MaintenanceState[] = ['waiting', 'ordered', 'begun', 'done', 'gone']

/** Receives the changes that indexes over the state depend on. */
export interface StateObserver {
  onJobAdded (job: JobRecord): void
  onJobStarted (job: JobRecord): void
  onJobEnded (job: JobRecord): void
  onRunAdded (worker: string, task: string, run: ActiveRun): void
  onRunEnded (task: string, run: ActiveRun): void
  /** Called when a worker is added or its record replaced. */
  onWorkerSet (key: string, record: WorkerRecord, previous: WorkerRecord | undefined): void
  onWorkerRemoved (key: string, record: WorkerRecord): void
  /** Called when a task is done while other runs of it are still active. */
  onTaskDone (task: string, record: TaskRecord): void
}

type Handler<K extends BatchCommandType> = (data: BatchData, command: BatchCommandOf<K>, observer: StateObserver) => unknown

/** Handlers by command name. */
export const BATCH_HANDLERS: { readonly [K in BatchCommandType]: Handler<K> } = {
  configure: (data, { config }) => {
    if (data.config !== null && config.version <= data.config.version) return false
    retireQueues(data, config)
    retireWorkspaces(data, config)
    // Commands of earlier builds lack the workspaces.
    data.config = { ...config, workspaces: config.workspaces ?? null }
    return true
  },

  accept: (data, { jobs, at }, observer) => jobs.map(({ queue, service, workspace = '', ...spec }) => {
    if (data.jobs.has(spec.id)) return 'known'
    const job: JobRecord = { ...spec, queue, service, workspace, isBeyondRate: countJobOf(data, workspace, at), acceptedAt: at, state: 'active', hasStarted: false, isSuspect: false, endedAt: 0, occurrences: new Map(), doneOccurrences: 0 }
    data.jobs.set(job.id, job)
    observer.onJobAdded(job)
    return 'added'
  }),

  cancel: (data, { ids, at }, observer) => ids.map((id) => {
    const job = data.jobs.get(id)
    if (job === undefined) return 'unknown'
    endJob(job, 'cancelled', at, observer)
    return job.state
  }),

  end: (data, { ends, at }, observer) => {
    for (const end of ends) recordRunEnd(data, end, at, observer)
  },

  place: (data, { placements, recordsStarts = false, started = [], at }, observer) => {
    for (const run of started) recordStart(data, run, observer)
    return placements.map((placement) => recordPlacedRun(data, placement, at, recordsStarts, observer))
  },

  enrol: (data, { workers, at }, observer) => {
    for (const worker of workers) {
      for (const job of confirmCrashes(data, worker)) endJob(job, 'failed', at, observer)
      const key = workerKey(worker)
      // A worker that reports again under the same incarnation was only cut off.
      data.unconfirmedCrashes.delete(key)
      observer.onWorkerSet(key, worker, data.workers.get(key))
      data.workers.set(key, worker)
      recordIncarnation(data, worker, at)
    }
  },

  dismiss: (data, { workers, at }, observer) => {
    for (const key of workers) {
      const record = data.workers.get(key)
      if (record === undefined) continue
      observer.onWorkerRemoved(key, record)
      recordIncarnation(data, record, at)
      data.workers.delete(key)
    }
  },

  startWave: (data, { wave, at }) => {
    if (data.waves.has(wave.id)) return false
    const machines = new Map(wave.machines.map((machine): [string, MaintenanceState] => [machine, 'waiting']))
    data.waves.set(wave.id, { id: wave.id, machines, startedAt: at, deadlineMs: wave.deadlineMs, cap: wave.cap, isCompleted: machines.size === 0 })
    return true
  },

  markUpkeep: (data, { wave: id, marks }) => {
    const wave = data.waves.get(id)
    if (wave === undefined) return
    for (const { machine, state } of marks) {
      const previous = wave.machines.get(machine)
      if (previous === undefined || previous === 'done') continue
      // A machine that was marked as gone may return; all other states only advance.
      if (previous !== 'gone' && MAINTENANCE_STATE_ORDER.indexOf(state) < MAINTENANCE_STATE_ORDER.indexOf(previous)) continue
      wave.machines.set(machine, state)
    }
    wave.isCompleted = [...wave.machines.values()].every((state) => state === 'done' || state === 'gone' || state === 'begun')
  },

  purge: (data, { endedBefore }) => {
    for (const [key, { at }] of data.unconfirmedCrashes) if (at < endedBefore) data.unconfirmedCrashes.delete(key)
    purgeIncarnations(data, endedBefore)
    let purged = 0
    for (const [id, job] of data.jobs) {
      if (job.state === 'active' || job.endedAt >= endedBefore || hasActiveRun(job)) continue
      data.jobs.delete(id)
      purged += 1
    }
    return purged
  }
}

/** Records a placement; returns false when the run may not be placed any more. */
function recordPlacedRun (data: BatchData, { task, run, worker }: Placement, at: Millis, recordsStarts: boolean, observer: StateObserver): boolean {
  const position = parseTask(task)
  const job = position === null ? undefined : data.jobs.get(position.job)
  const workerRecord = data.workers.get(worker)
  if (position === null || job === undefined || job.state !== 'active' || workerRecord === undefined) return false
  const record = ensureOccurrence(job, position.occurrence)[position.step]?.tasks[position.index]
  if (record === undefined || record.isDone || run <= record.lastRun) return false
  const active: ActiveRun = { run, worker, placedAt: at }
  record.active.push(active)
  record.lastRun = run
  observer.onRunAdded(worker, task, active)
  recordPlacement(data, workerRecord, at)
  // Earlier builds never tell that a run has begun.
  if (!recordsStarts) markStarted(job, observer)
  return true
}

/** Records that a placed run has begun, unless its end was recorded before. */
function recordStart (data: BatchData, { task, run, worker }: Placement, observer: StateObserver): void {
  const position = parseTask(task)
  const job = position === null ? undefined : data.jobs.get(position.job)
  const record = position === null ? undefined : job?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
  const active = record?.active.find((other) => other.run === run && other.worker === worker)
  if (job === undefined || active === undefined) return
  active.hasBegun = true
  markStarted(job, observer)
}

function markStarted (job: JobRecord, observer: StateObserver): void {
  if (job.hasStarted || job.state !== 'active') return
  job.hasStarted = true
  observer.onJobStarted(job)
}

function hasActiveRun (job: JobRecord): boolean {
  for (const steps of job.occurrences.values()) {
    for (const step of steps) if (step.tasks.some((task) => task.active.length > 0)) return true
  }
  return false
}

/**
 * Returns the step records of an occurrence, and creates them on first use.
 *
 * @param job - the job
 * @param occurrence - number of the occurrence, from 0
 */
export function ensureOccurrence (job: JobRecord, occurrence: number): StepRecord[] {
  let steps = job.occurrences.get(occurrence)
  if (steps === undefined) {
    steps = job.steps.map(({ count }) => ({ tasks: Array.from({ length: count }, createTask), doneCount: 0 }))
    job.occurrences.set(occurrence, steps)
  }
  return steps
}

function createTask (): TaskRecord {
  return { isDone: false, failures: 0, crashes: 0, soleCrashesOn: [], lastRun: 0, checkpoint: '', active: [], failedOn: [], lastEndAt: 0 }
}

function recordRunEnd (data: BatchData, end: RunEnd, at: Millis, observer: StateObserver): void {
  const effect = judgeEnd(data, end)
  if (effect !== 'recorded' && effect !== 'completed') return
  const position = parseTask(end.task) as TaskPosition
  const job = data.jobs.get(position.job) as JobRecord
  const step = job.occurrences.get(position.occurrence)?.[position.step] as StepRecord
  const task = step.tasks[position.index] as TaskRecord
  const isGang = job.steps[position.step]?.isGang === true
  if (effect === 'recorded') {
    const active = task.active.find(({ run, worker }) => run === end.run && worker === end.worker) as ActiveRun
    task.active = task.active.filter((other) => other !== active)
    task.lastEndAt = at
    observer.onRunEnded(end.task, active)
    if (end.checkpoint !== '' && !task.isDone) {
      for (const member of isGang ? step.tasks : [task]) member.checkpoint = end.checkpoint
    }
  }
  if (job.state !== 'active') return
  if (hasBegun(end)) markStarted(job, observer)
  if (recordCrashEvidence(data, job, task, end, at)) {
    endJob(job, 'failed', at, observer)
    return
  }
  // Long-running tasks are restarted after every outcome, until the job is cancelled.
  if (job.steps[position.step]?.isLasting === true) return
  if (end.outcome === 'done') completeTask(job, position, at, observer)
  else if (end.outcome === 'failed') {
    task.failures += 1
    task.failedOn = [...task.failedOn, end.worker].slice(-MAX_REMEMBERED_WORKERS)
    const limit = findQueue(data, job.queue)?.maxAttempts ?? FALLBACK_MAX_ATTEMPTS
    if (limit > 0 && task.failures >= limit) endJob(job, 'failed', at, observer)
  }
}

/** Whether a worker has listed the end of a run, so that it had begun there; other ends are concluded by the leader. */
function hasBegun ({ outcome, evidence }: RunEnd): boolean {
  return outcome !== 'refused' && outcome !== 'lost' && evidence === undefined
}

/** Marks a task as done, or all tasks of its gang, and ends the job after its last one. */
function completeTask (job: JobRecord, position: TaskPosition, at: Millis, observer: StateObserver): void {
  const steps = job.occurrences.get(position.occurrence) as StepRecord[]
  const step = steps[position.step] as StepRecord
  const isGang = job.steps[position.step]?.isGang === true
  const wasDone = areAllDone(steps)
  for (const index of isGang ? step.tasks.keys() : [position.index]) {
    const member = step.tasks[index] as TaskRecord
    if (member.isDone) continue
    member.isDone = true
    step.doneCount += 1
    if (member.active.length > 0) observer.onTaskDone(formatTask({ ...position, index }), member)
  }
  if (!wasDone && areAllDone(steps)) job.doneOccurrences += 1
  if (job.doneOccurrences >= Math.max(1, job.repeatCount)) endJob(job, 'completed', at, observer)
}

function areAllDone (steps: readonly StepRecord[]): boolean {
  return steps.every(({ tasks, doneCount }) => doneCount === tasks.length)
}

function endJob (job: JobRecord, state: 'completed' | 'failed' | 'cancelled', at: Millis, observer: StateObserver): void {
  if (job.state !== 'active') return
  job.state = state
  job.endedAt = at
  observer.onJobEnded(job)
}
