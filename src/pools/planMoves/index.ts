/**
 * Decides which machines change their pool.
 *
 * Answers pools whose demand surges by turns, where a machine in a pool costs money at any time and each move costs as
 * much as one to two seconds of it: a pool that is short takes idle machines of pools that have more than they need,
 * then parked ones, and has busy ones of such pools emptied; a pool that has had too many for some time parks some.
 */

/** One pool. */
export interface PoolState {
  readonly service: string
  /** Machines that work in it, without those that are on their way out. */
  readonly have: number
  /** Machines on their way to it. */
  readonly coming: number
  readonly need: number
  /** Largest need in the time that a surplus must last before a machine is parked. */
  readonly recentNeed: number
  /** Machines without work, which can go at once. */
  readonly idle: readonly string[]
  /** Machines with work, those that are emptied soonest first. */
  readonly busy: readonly string[]
  /** Machines that are being emptied already. */
  readonly draining: number
}

/** One decision. */
export type MoveDecision =
  /** The machine goes to another pool at once. */
  | { readonly kind: 'move', readonly machine: string, readonly to: string }
  /** The machine is emptied, and then goes where it is needed, or is parked. */
  | { readonly kind: 'empty', readonly machine: string, readonly from: string }

/** Most machines of one pool that are emptied at a time: what they run must find room on the others. */
const MAX_DRAINING = 4

/**
 * Plans moves.
 *
 * @param pools - all pools that are in use
 * @param poweredOff - machines that are switched off
 * @param standby - the pool of machines that are switched off, or null when there is none
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
    const sustained = standby === null ? 0 : Math.min(surplusLeft, pool.have + pool.coming - pool.recentNeed)
    const machines = idle.get(pool.service) as string[]
    const poweringOff = machines.splice(0, Math.max(0, Math.min(sustained, machines.length)))
    decisions.push(...poweringOff.map((machine): MoveDecision => ({ kind: 'move', machine, to: standby as string })))
    const drainCount = Math.max(Math.min(surplusLeft, unmet), sustained - pool.draining) - poweringOff.length
    const toDrain = pool.busy.slice(0, Math.max(0, Math.min(drainCount, MAX_DRAINING - pool.draining)))
    unmet -= toDrain.length
    decisions.push(...toDrain.map((machine): MoveDecision => ({ kind: 'empty', machine, from: pool.service })))
  }
  return decisions
}

/** Takes an idle machine from the pool with the largest surplus. */
function takeIdle (pools: readonly PoolState[], idle: Map<string, string[]>, surplus: Map<string, number>): string | undefined {
  const donors = pools.filter(({ service }) => (surplus.get(service) as number) > 0 && (idle.get(service) as string[]).length > 0)
  const donor = donors.sort((a, b) => (surplus.get(b.service) as number) - (surplus.get(a.service) as number))[0]
  if (donor === undefined) return undefined
  surplus.set(donor.service, (surplus.get(donor.service) as number) - 1)
  return (idle.get(donor.service) as string[]).pop()
}
