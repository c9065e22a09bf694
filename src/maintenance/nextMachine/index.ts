/**
 * Decides which machine of a wave is emptied next.
 *
 * Answers waves that come while queues surge by turns: the machines of a service that has the fewest others out go
 * first, and among them the one with the least work left.
 */

/** A machine that waits for its upkeep. */
export interface WaitingMachine {
  readonly machine: string
  readonly service: string
  /** Runs on it that must end or move first. */
  readonly runs: number
}

const UNAVAILABLE_MACHINE_COST = 8

/**
 * Returns the machine to empty next.
 *
 * @param waiting - machines that wait
 * @param unavailableByService - machines of each service that are being emptied or are down
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
