/** Selections of jobs. */
import type { JobSelector } from '../../state/commands.js'
import type { Job } from '../../state/types.js'

const SELECTOR_FIELDS = ['id', 'team', 'class', 'label'] as const

/**
 * Tells whether a job has every field that a selection names.
 *
 * @param job - the job
 * @param selector - the selection
 */
export function matchesSelector (job: Job, selector: JobSelector): boolean {
  return SELECTOR_FIELDS.every((field) => selector[field] === undefined || selector[field] === job[field])
}
