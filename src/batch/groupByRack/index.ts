/** Divides workers by rack. */

/** Labels of a worker: its kind and its rack. */
interface Labelled {
  readonly labels: readonly string[]
}

/**
 * Divides workers by rack. Workers of one rack have the same labels, as long as they are of one kind.
 *
 * @param workers - the workers
 * @returns the workers of each rack, in the given order
 */
export function groupByRack<W extends Labelled> (workers: readonly W[]): W[][] {
  const racks = new Map<string, W[]>()
  for (const worker of workers) {
    const key = [...worker.labels].sort().join('\n')
    const rack = racks.get(key)
    if (rack === undefined) racks.set(key, [worker])
    else rack.push(worker)
  }
  return [...racks.values()]
}
