/**
 * Decides which machine of a wave is drained next.
 *
 * Handles waves that run while queues surge in turn: prefers a service with few unavailable machines, and there the
 * machine with the least work left.
 */

/** A machine that waits for its maintenance. */
export interface WaitingMachine {
  readonly machine: string
  readonly service: string
  /** Runs on it that must end or move first. */
  readonly runs: number
}

/** Weight of an unavailable machine, in runs. */
const UNAVAILABLE_MACHINE_COST = 8

/**
 * Returns the machine to drain next.
 *
 * @param waiting - machines that wait
 * @param unavailableByService - number of machines of each service that are draining or down
 */
export function findNextMachine (waiting: readonly WaitingMachine[], unavailableByService: ReadonlyMap<string, number>): WaitingMachine | undefined {
  let best: WaitingMachine | undefined
  let bestCost = Number.POSITIVE_INFINITY
  for (const machine of waiting) {
    const cost = (unavailableByService.get(machine.service) ?? 0) * UNAVAILABLE_MACHINE_COST + machine.runs
    if (cost < bestCost) {
      best = machine
      bestCost = cost
    }
  }
  return best
}
