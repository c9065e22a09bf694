/**
 * Decides which machines move to another pool.
 *
 * Handles pools whose demand surges in turn. A machine in a pool costs money at any time, and each move costs as much as
 * one to two seconds of it. A pool that is short takes idle machines from pools with a surplus, then powered-off
 * machines, and has busy machines of pools with a surplus drained. A pool whose surplus has lasted for some time powers
 * some machines off.
 */

/** State of one pool. */
export interface PoolState {
  readonly service: string
  /** Number of machines in the pool, without those that are draining or leaving. */
  readonly have: number
  /** Number of machines that are moving to the pool. */
  readonly coming: number
  /** Number of machines that it needs now. */
  readonly need: number
  /** Largest need during the time that a surplus must last before a machine is powered off. */
  readonly recentNeed: number
  /** Machines without runs, which can move at once. */
  readonly idle: readonly string[]
  /** Machines with runs; the first are drained soonest. */
  readonly busy: readonly string[]
  /** Number of machines that are draining. */
  readonly draining: number
}

/** One decision about a machine. */
export type MoveDecision =
  /** Moves the machine to another pool at once. */
  | { readonly kind: 'move', readonly machine: string, readonly to: string }
  /** Drains the machine, which then moves to a pool that is short or is powered off. */
  | { readonly kind: 'drain', readonly machine: string, readonly from: string }

/** Limit per pool: the runs of draining machines must find capacity on the others. */
const MAX_DRAINING = 4

/**
 * Plans moves between pools.
 *
 * @param pools - all pools in use
 * @param poweredOff - names of powered-off machines
 * @param standby - name of the pool of powered-off machines, or null when there is none
 * @returns the decisions, with the moves to the pool that lacks most machines first
 */
export function planMoves (pools: readonly PoolState[], poweredOff: readonly string[], standby: string | null): MoveDecision[] {
  const decisions: MoveDecision[] = []
  const idle = new Map(pools.map((pool) => [pool.service, [...pool.idle]]))
  const surplus = new Map(pools.map((pool) => [pool.service, pool.have + pool.coming - pool.need]))
  const available = [...poweredOff]
  const short = pools.filter((pool) => (surplus.get(pool.service) as number) < 0)
  short.sort((a, b) => (surplus.get(a.service) as number) - (surplus.get(b.service) as number))
  let unmet = 0
  for (const pool of short) {
    let missing = -(surplus.get(pool.service) as number)
    while (missing > 0) {
      const machine = takeIdle(pools, idle, surplus) ?? available.pop()
      if (machine === undefined) break
      decisions.push({ kind: 'move', machine, to: pool.service })
      missing -= 1
    }
    unmet += missing
  }
  unmet -= pools.reduce((sum, { draining }) => sum + draining, 0)
  for (const pool of pools) {
    const surplusLeft = surplus.get(pool.service) as number
    const sustainedSurplus = standby === null ? 0 : Math.min(surplusLeft, pool.have + pool.coming - pool.recentNeed)
    const machines = idle.get(pool.service) as string[]
    const poweringOff = machines.splice(0, Math.max(0, Math.min(sustainedSurplus, machines.length)))
    decisions.push(...poweringOff.map((machine): MoveDecision => ({ kind: 'move', machine, to: standby as string })))
    const drainCount = Math.max(Math.min(surplusLeft, unmet), sustainedSurplus - pool.draining) - poweringOff.length
    const toDrain = pool.busy.slice(0, Math.max(0, Math.min(drainCount, MAX_DRAINING - pool.draining)))
    unmet -= toDrain.length
    decisions.push(...toDrain.map((machine): MoveDecision => ({ kind: 'drain', machine, from: pool.service })))
  }
  return decisions
}

/** Removes an idle machine from the pool with the largest surplus and returns it. */
function takeIdle (pools: readonly PoolState[], idle: Map<string, string[]>, surplus: Map<string, number>): string | undefined {
  const donors = pools.filter(({ service }) => (surplus.get(service) as number) > 0 && (idle.get(service) as string[]).length > 0)
  const donor = donors.sort((a, b) => (surplus.get(b.service) as number) - (surplus.get(a.service) as number))[0]
  if (donor === undefined) return undefined
  surplus.set(donor.service, (surplus.get(donor.service) as number) - 1)
  return (idle.get(donor.service) as string[]).pop()
}
