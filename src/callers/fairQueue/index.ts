/** A queue that serves classes by priority and teams by weight. */
import { WORK_CLASSES, type WorkClass } from '../../contracts/types.js'

/** What the queue needs to know of an item. */
export interface QueueItem {
  readonly team: string
  readonly class: WorkClass
}

interface Flow<T> {
  readonly team: string
  readonly items: T[]
  /** Turns that the team may still take in this round. */
  deficit: number
}

/** Strict priority between classes, deficit round robin between the teams of a class. */
export class FairQueue<T extends QueueItem> {
  readonly #weightOf: (team: string) => number
  readonly #flows: Readonly<Record<WorkClass, Array<Flow<T>>>> = { urgent: [], normal: [], bulk: [] }
  readonly #sizes: Record<WorkClass, number> = { urgent: 0, normal: 0, bulk: 0 }

  /** @param weightOf - weight of a team; one that is twice another's is served twice as often */
  constructor (weightOf: (team: string) => number) {
    this.#weightOf = weightOf
  }

  get size (): number {
    return this.#sizes.urgent + this.#sizes.normal + this.#sizes.bulk
  }

  /**
   * Counts the items that are served before a new one of a class, if teams are alike.
   *
   * @param workClass - class of the new item
   */
  countAhead (workClass: WorkClass): number {
    const classes = WORK_CLASSES.slice(0, WORK_CLASSES.indexOf(workClass) + 1)
    return classes.reduce((sum, each) => sum + this.#sizes[each], 0)
  }

  /** @param item - joins the end of its team's lane */
  push (item: T): void {
    const flows = this.#flows[item.class]
    const flow = flows.find((each) => each.team === item.team)
    if (flow === undefined) flows.push({ team: item.team, items: [item], deficit: 0 })
    else flow.items.push(item)
    this.#sizes[item.class] += 1
  }

  /** Returns the item to be served next without removing it. */
  peek (): T | undefined {
    return this.#selectFlow()?.items[0]
  }

  /** Removes and returns the item to be served next. */
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
   * Removes items wherever they stand.
   *
   * @param shouldRemove - which items
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

  /** Finds the lane whose turn it is, giving all lanes new turns when none has any left. */
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
