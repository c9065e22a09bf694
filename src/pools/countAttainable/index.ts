/** Counts the machines that a service can have. */
import type { PoolState } from '../planMoves/index.js'

/**
 * Returns how many machines a service can have without taking any that another needs: its own, those on their way, the
 * powered-off ones, and the surplus of the other pools.
 *
 * @param pools - all pools in use
 * @param poweredOff - number of powered-off machines
 * @param service - name of the service
 * @returns the number; infinity for a service without a pool, of which nothing is known
 */
export function countAttainable (pools: ReadonlyArray<Pick<PoolState, 'service' | 'have' | 'coming' | 'need' | 'draining'>>, poweredOff: number, service: string): number {
  if (!pools.some((pool) => pool.service === service)) return Number.POSITIVE_INFINITY
  return pools.reduce((sum, { service: other, have, coming, need, draining }) => sum + draining + (other === service ? have + coming : Math.max(0, have + coming - need)), poweredOff)
}
