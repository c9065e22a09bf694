/** Sums of resources. */
import type { Resources } from '../batch/types.js'

/** A sum of resources that changes. */
export interface Amounts {
  cpu: number
  memory: number
  accelerators: number
}

/** No resources. */
export const NO_AMOUNTS: Resources = { cpu: 0, memory: 0, accelerators: 0 }

/** Names of the resources. */
export const RESOURCE_NAMES = ['cpu', 'memory', 'accelerators'] as const

/**
 * Adds resources to a sum.
 *
 * @param sum - the sum, which changes
 * @param amount - what is added
 * @param times - how often; negative to subtract
 */
export function addAmounts (sum: Amounts, amount: Resources, times = 1): void {
  for (const name of RESOURCE_NAMES) sum[name] += times * amount[name]
}
