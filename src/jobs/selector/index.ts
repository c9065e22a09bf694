/** Matches jobs against a selector. */
import type { JobSelector } from '../../state/commands.js'
import type { Job } from '../../state/types.js'

const SELECTOR_FIELDS = ['id', 'team', 'class', 'label'] as const

/**
 * Tells whether a job matches every field that a selector sets.
 *
 * @param job - job to test
 * @param selector - the selector; a field that is not set matches any job
 */
export function matchesSelector (job: Job, selector: JobSelector): boolean {
  return SELECTOR_FIELDS.every((field) => selector[field] === undefined || selector[field] === job[field])
}
