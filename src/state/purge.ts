/** Deletes records past their retention, so that the replicated state stays bounded. */
import type { CommandHandlers } from './commands.js'
import type { FleetData, JobState } from './types.js'

const OPERATION_RETENTION_MS = 24 * 3_600_000
const MAX_OPERATIONS = 20_000
const ENDED_JOB_RETENTION_MS = 3_600_000
const MAX_ENDED_JOBS = 20_000
const MAX_ENDED_WAVES = 200

const ENDED_STATES: ReadonlySet<JobState> = new Set(['done', 'cancelled', 'unknown', 'parked', 'refused'])

/** Handlers of the commands that delete such records, by command type. */
export const purgeHandlers: Pick<CommandHandlers, 'purge'> = {
  purge: (data) => purgeOperations(data) + purgeJobs(data) + purgeWaves(data)
}

function purgeOperations (data: FleetData): number {
  let purged = 0
  for (const [id, operation] of data.operations) {
    const isExpired = operation.at < data.now - OPERATION_RETENTION_MS
    if (!isExpired && data.operations.size <= MAX_OPERATIONS) break
    data.operations.delete(id)
    purged += 1
  }
  return purged
}

function purgeJobs (data: FleetData): number {
  const ended = [...data.jobs.values()].filter((job) => ENDED_STATES.has(job.state))
  const surplusCount = ended.length - MAX_ENDED_JOBS
  const purgeable = ended.filter((job, order) => order < surplusCount || (job.endedAt ?? 0) < data.now - ENDED_JOB_RETENTION_MS)
  for (const job of purgeable) {
    data.jobs.delete(job.id)
    data.jobKeys.delete(`${job.team}/${job.key}`)
  }
  return purgeable.length
}

function purgeWaves (data: FleetData): number {
  const ended = [...data.waves.values()].filter((wave) => wave.endedAt !== null)
  const purgeable = ended.slice(0, Math.max(0, ended.length - MAX_ENDED_WAVES))
  for (const wave of purgeable) data.waves.delete(wave.id)
  return purgeable.length
}
