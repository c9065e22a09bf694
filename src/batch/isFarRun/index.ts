/** Tells whether a run is away from its data or spread over racks, which makes it slower. */
import type { BatchState } from '../state/index.js'
import type { TaskPosition } from '../types.js'

/** A run of a task on a worker. */
interface PlacedRun {
  readonly position: TaskPosition
  readonly run: number
  /** Key of the worker's incarnation. */
  readonly worker: string
}

/**
 * Tells whether a run is away from the rack of its data, or belongs to a gang that is spread over several racks.
 *
 * @param state - replicated state, in which the run has not ended
 * @param placed - the run
 * @returns null when the step has no preference, or when the workers that tell it are not known any more
 */
export function isFarRun (state: BatchState, { position, run, worker }: PlacedRun): boolean | null {
  const job = state.data.jobs.get(position.job)
  const step = job?.steps[position.step]
  const isSpreadSlow = step?.isGang === true && step.prefersOneRack
  if (job === undefined || step === undefined || (step.dataRack === '' && !isSpreadSlow)) return null
  const labels = state.data.workers.get(worker)?.labels
  if (labels === undefined) return null
  if (step.dataRack !== '' && !labels.includes(step.dataRack)) return true
  if (!isSpreadSlow) return false
  const members = job.occurrences.get(position.occurrence)?.[position.step]?.tasks.flatMap(({ active }) => active.filter((other) => other.run === run)) ?? []
  if (members.length < step.count) return null
  return members.some((member) => state.data.workers.get(member.worker)?.labels.some((label) => !labels.includes(label)) !== false)
}
