/** Handlers of the commands that change jobs and the tasks placed on VMs. */
import type { TaskReport } from '../../contracts/types.js'
import type { CommandHandlers, JobSelector } from '../../state/commands.js'
import { runOnce } from '../../state/operations.js'
import type { FleetData, Job, JobState, VmRecord } from '../../state/types.js'
import { findUnschedulableReason } from '../capacity/index.js'
import { matchesSelector } from '../selector/index.js'

/** A job is parked, that is, fails permanently, once it has failed on this many VMs. */
const PARK_AFTER_FAILED_VMS = 3

/** A VM is quarantined after tasks of this many different jobs have failed on it without a success in between. */
const QUARANTINE_AFTER_JOBS = 3

/** Time for which a quarantined VM gets no new tasks. */
const QUARANTINE_MS = 60_000

const UNFINISHED_STATES: ReadonlySet<JobState> = new Set(['queued', 'placed', 'running', 'revoking'])

type JobCommands = 'submitJob' | 'cancelJobs' | 'placeTasks' | 'reportTasks' | 'revokeTasks' | 'checkpointTasks' | 'endRevocation'

/** Handlers of the commands about jobs, by command type. */
export const jobHandlers: Pick<CommandHandlers, JobCommands> = {
  submitJob: (data, command, index) => {
    const keyId = `${command.team}/${command.key}`
    const existing = data.jobs.get(data.jobKeys.get(keyId) ?? '')
    if (existing !== undefined) return { job: existing.id, state: existing.state, reason: existing.reason }
    const { type: _type, at: _at, ...req } = command
    const rejectionReason = findUnschedulableReason(data, req)
    const job: Job = {
      ...req,
      id: `job-${index}`,
      state: rejectionReason === null ? 'queued' : 'refused',
      submittedAt: data.now,
      startedAt: null,
      endedAt: rejectionReason === null ? null : data.now,
      vm: null,
      token: 0,
      checkpoint: null,
      result: null,
      failedOn: [],
      reason: rejectionReason ?? 'it waits for a VM',
      cancelRequested: false
    }
    data.jobs.set(job.id, job)
    data.jobKeys.set(keyId, job.id)
    return { job: job.id, state: job.state, reason: job.reason }
  },

  cancelJobs: (data, { operation, selector }, index) => runOnce(data, operation, () => {
    let cancelled = 0
    for (const job of selectJobs(data, selector)) {
      if (!UNFINISHED_STATES.has(job.state) || job.cancelRequested) continue
      cancelled += 1
      job.cancelRequested = true
      if (job.state === 'queued') endJob(data, job, 'cancelled', 'it was cancelled before it started')
      else if (job.state !== 'revoking') revokeTask(data, job, 'it is being cancelled', index)
    }
    return { cancelled }
  }),

  placeTasks: (data, { placements }, index) => {
    let placed = 0
    for (const { job: id, vm: vmId, boot } of placements) {
      const job = data.jobs.get(id)
      const vm = data.vms.get(vmId)
      if (job?.state !== 'queued' || vm === undefined || vm.phase !== 'serving' || vm.health !== 'up') continue
      job.state = 'placed'
      job.vm = vmId
      job.token = data.nextToken++
      job.reason = `it was placed on VM ${vmId}`
      vm.tasks.set(id, { job: id, token: job.token, boot, action: 'run', payload: job.payload, checkpoint: job.checkpoint })
      vm.rev = index
      placed += 1
    }
    return placed
  },

  reportTasks: (data, { vm: vmId, reports }, index) => {
    const vm = data.vms.get(vmId)
    let accepted = 0
    for (const report of reports) {
      const job = data.jobs.get(report.job)
      if (vm === undefined || job === undefined || job.token !== report.token || !UNFINISHED_STATES.has(job.state)) continue
      if (job.vm !== vmId && !isLateCompletion(job, report)) continue
      REPORT_HANDLERS[report.state](data, { job, vm, report, index })
      accepted += 1
    }
    return accepted
  },

  revokeTasks: (data, { jobs, reason }, index) => {
    const revocable = jobs.map((id) => data.jobs.get(id)).filter((job) => job !== undefined && (job.state === 'placed' || job.state === 'running')) as Job[]
    for (const job of revocable) revokeTask(data, job, reason, index)
    return revocable.length
  },

  checkpointTasks: (data, { jobs }, index) => {
    let requested = 0
    for (const id of jobs) {
      const job = data.jobs.get(id)
      const vm = data.vms.get(job?.vm ?? '')
      const task = vm?.tasks.get(id)
      if (job?.checkpointable !== true || vm === undefined || task === undefined || task.action === 'checkpoint') continue
      vm.tasks.set(id, { ...task, action: 'checkpoint' })
      vm.rev = index
      requested += 1
    }
    return requested
  },

  endRevocation: (data, { jobs }) => {
    let ended = 0
    for (const { job: id, token } of jobs) {
      const job = data.jobs.get(id)
      if (job?.state !== 'revoking' || job.token !== token) continue
      ended += 1
      if (!job.repeatable) endJob(data, job, 'unknown', 'it was stopped or lost, may have run, and may not be repeated')
      else if (job.cancelRequested) endJob(data, job, 'cancelled', 'it was cancelled')
      else requeueJob(job, 'its worker was lost; it waits to run again')
    }
    return ended
  }
}

/** Input of a report handler besides the state. */
interface ReportContext {
  readonly job: Job
  readonly vm: VmRecord
  readonly report: TaskReport
  /** Index of the command in the log. */
  readonly index: number
}

const REPORT_HANDLERS: Readonly<Record<TaskReport['state'], (data: FleetData, context: ReportContext) => void>> = {
  running: (data, { job, report }) => {
    if (job.state === 'placed') {
      job.state = 'running'
      job.startedAt ??= data.now
      job.reason = `it runs on VM ${job.vm ?? ''}`
    }
    if (report.checkpoint !== undefined) job.checkpoint = report.checkpoint
  },

  done: (data, { job, vm, report, index }) => {
    removeTask(vm, job, index)
    vm.failedJobs = []
    job.result = report.result ?? null
    endJob(data, job, 'done', 'it is done')
  },

  failed: (data, { job, vm, index }) => {
    removeTask(vm, job, index)
    recordFailure(data, vm, job, index)
    if (!job.failedOn.includes(vm.id)) job.failedOn.push(vm.id)
    if (job.cancelRequested) endJob(data, job, 'cancelled', 'it was cancelled')
    else if (!job.repeatable) endJob(data, job, 'unknown', `it failed on VM ${vm.id} and may not be repeated`)
    else if (job.failedOn.length >= PARK_AFTER_FAILED_VMS) endJob(data, job, 'parked', `it failed on ${job.failedOn.join(', ')}`)
    else requeueJob(job, `it failed on VM ${vm.id}; it waits to run again`)
  },

  stopped: (data, { job, vm, report, index }) => {
    removeTask(vm, job, index)
    job.checkpoint = report.checkpoint ?? job.checkpoint
    if (!job.repeatable) endJob(data, job, 'unknown', `its lease ran out on VM ${vm.id} and it may not be repeated`)
    else if (job.cancelRequested) endJob(data, job, 'cancelled', 'it was cancelled')
    else requeueJob(job, `its lease ran out on VM ${vm.id}; it waits to run again`)
  },

  checkpointed: (data, { job, vm, report, index }) => {
    removeTask(vm, job, index)
    job.checkpoint = report.checkpoint ?? job.checkpoint
    if (job.cancelRequested) endJob(data, job, 'cancelled', 'it was cancelled')
    else requeueJob(job, 'it was checkpointed to make room and waits to go on')
  }
}

function selectJobs (data: FleetData, selector: JobSelector): Job[] {
  if (selector.id !== undefined) return [data.jobs.get(selector.id)].filter((job) => job !== undefined)
  return [...data.jobs.values()].filter((job) => matchesSelector(job, selector))
}

/** Returns whether a job that waits to run again has been finished by the VM that it was taken from. */
function isLateCompletion (job: Job, report: TaskReport): boolean {
  return report.state === 'done' && job.state === 'queued' && job.token > 0
}

/** Removes the task from its VM. The worker may go on running it until its lease expires. */
function revokeTask (data: FleetData, job: Job, reason: string, index: number): void {
  const vm = data.vms.get(job.vm ?? '')
  if (vm !== undefined) removeTask(vm, job, index)
  job.state = 'revoking'
  job.reason = reason
}

function removeTask (vm: VmRecord, job: Job, index: number): void {
  if (vm.tasks.delete(job.id)) vm.rev = index
}

function requeueJob (job: Job, reason: string): void {
  job.state = 'queued'
  job.vm = null
  job.reason = reason
}

function endJob (data: FleetData, job: Job, state: JobState, reason: string): void {
  job.state = state
  job.reason = reason
  job.endedAt = data.now
}

/** Counts a failed job against its VM, and quarantines the VM after too many. */
function recordFailure (data: FleetData, vm: VmRecord, job: Job, index: number): void {
  if (!vm.failedJobs.includes(job.id)) vm.failedJobs.push(job.id)
  if (vm.failedJobs.length < QUARANTINE_AFTER_JOBS) return
  vm.quarantinedUntil = data.now + QUARANTINE_MS
  vm.failedJobs = []
  vm.rev = index
}
