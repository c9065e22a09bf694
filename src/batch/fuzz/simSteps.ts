/** Finds the steps of simulated tasks. */
import { parseTask, type Step } from '../types.js'

/**
 * Creates a function that returns the step of a task.
 *
 * @param steps - steps by job id
 */
export function createStepLookup (steps: ReadonlyMap<string, readonly Step[]>): (task: string) => Step {
  return (task) => {
    const position = parseTask(task)
    const step = position === null ? undefined : steps.get(position.job)?.[position.step]
    if (step === undefined) throw new Error(`${task} was never submitted`)
    return step
  }
}
