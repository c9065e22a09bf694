/** Amounts of the resources that workers offer and tasks need. */

/** Capacity of a worker, or the part of it that a task needs. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number
  /** Megabytes. */
  readonly memory: number
  /** Whole accelerators. */
  readonly accelerators: number
}
