/** Queue that serves classes by priority and teams by weight. */
import { WORK_CLASSES, type WorkClass } from '../../contracts/types.js'

/** Properties of an item that determine its order in the queue. */
export interface QueueItem {
  readonly team: string
  readonly class: WorkClass
}

/** Items of one team within one class, in order of arrival. */
interface Flow<T> {
  readonly team: string
  readonly items: T[]
  /** Items that may still be served in the flow's current turn (the deficit counter of deficit round robin). */
  deficit: number
}

/** Applies strict priority between classes and deficit round robin between the teams of a class. */
export class FairQueue<T extends QueueItem> {
  readonly #weightOf: (team: string) => number
  readonly #flows: Readonly<Record<WorkClass, Array<Flow<T>>>> = { urgent: [], normal: [], bulk: [] }
  readonly #sizes: Record<WorkClass, number> = { urgent: 0, normal: 0, bulk: 0 }

  /**
   * @param weightOf - returns the weight of a team; a team with twice the weight of another is served twice as often
   */
  constructor (weightOf: (team: string) => number) {
    this.#weightOf = weightOf
  }

  /** Number of items in the queue. */
  get size (): number {
    return this.#sizes.urgent + this.#sizes.normal + this.#sizes.bulk
  }

  /**
   * Counts the items that are served before a new item of a class, assuming that all teams have the same weight.
   *
   * @param workClass - class of the new item
   * @returns the number of items of this and higher classes
   */
  countAhead (workClass: WorkClass): number {
    const classes = WORK_CLASSES.slice(0, WORK_CLASSES.indexOf(workClass) + 1)
    return classes.reduce((sum, each) => sum + this.#sizes[each], 0)
  }

  /**
   * Adds an item to the end of its team's flow.
   *
   * @param item - item to add
   */
  push (item: T): void {
    const flows = this.#flows[item.class]
    const flow = flows.find((each) => each.team === item.team)
    if (flow === undefined) flows.push({ team: item.team, items: [item], deficit: 0 })
    else flow.items.push(item)
    this.#sizes[item.class] += 1
  }

  /** Returns the next item without removing it. */
  peek (): T | undefined {
    return this.#selectFlow()?.items[0]
  }

  /** Removes and returns the next item. */
  shift (): T | undefined {
    const flow = this.#selectFlow()
    const item = flow?.items.shift()
    if (flow === undefined || item === undefined) return undefined
    flow.deficit -= 1
    this.#sizes[item.class] -= 1
    if (flow.items.length === 0) this.#removeFlow(item.class, flow)
    else if (flow.deficit < 1) this.#moveToBack(item.class, flow)
    return item
  }

  /**
   * Removes all items that match a predicate.
   *
   * @param shouldRemove - tells whether an item is removed
   * @returns the removed items
   */
  removeWhere (shouldRemove: (item: T) => boolean): T[] {
    const removed: T[] = []
    for (const workClass of WORK_CLASSES) {
      for (const flow of [...this.#flows[workClass]]) {
        const matching = flow.items.filter(shouldRemove)
        if (matching.length === 0) continue
        removed.push(...matching)
        const remaining = flow.items.filter((item) => !matching.includes(item))
        flow.items.splice(0, flow.items.length, ...remaining)
        this.#sizes[workClass] -= matching.length
        if (remaining.length === 0) this.#removeFlow(workClass, flow)
      }
    }
    return removed
  }

  /**
   * Returns the flow whose turn it is in the highest non-empty class, adding each flow's weight to its deficit when its
   * turn begins.
   */
  #selectFlow (): Flow<T> | undefined {
    const workClass = WORK_CLASSES.find((each) => this.#sizes[each] > 0)
    if (workClass === undefined) return undefined
    const flows = this.#flows[workClass]
    for (;;) {
      const flow = flows[0]
      if (flow === undefined || flow.deficit >= 1) return flow
      flow.deficit += Math.max(0.01, this.#weightOf(flow.team))
      if (flow.deficit >= 1) return flow
      this.#moveToBack(workClass, flow)
    }
  }

  #moveToBack (workClass: WorkClass, flow: Flow<T>): void {
    this.#removeFlow(workClass, flow)
    this.#flows[workClass].push(flow)
  }

  #removeFlow (workClass: WorkClass, flow: Flow<T>): void {
    const flows = this.#flows[workClass]
    flows.splice(flows.indexOf(flow), 1)
  }
}
