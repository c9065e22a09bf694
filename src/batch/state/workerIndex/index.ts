/** Finds workers of the replicated state without a look at all of them. Answers reports and orders on fleets of thousands of workers. */
import type { WorkerRecord } from '../records.js'

/** What identifies a worker: its id, its address and its machine. */
export interface WorkerIdentity {
  readonly id: string
  readonly address: string
  /** Empty when the worker has not named its machine. */
  readonly machine: string
}

/** Records by key of the incarnation. */
type Group = Map<string, WorkerRecord>

const NO_WORKERS: ReadonlyMap<string, WorkerRecord> = new Map()

/** Indexes of the workers by id, address, machine and service. */
export class WorkerIndex {
  readonly #byId = new Map<string, Group>()
  readonly #byAddress = new Map<string, Group>()
  readonly #byMachine = new Map<string, Group>()
  readonly #byService = new Map<string, Group>()

  /**
   * Adds a worker, or replaces its record.
   *
   * @param key - key of the incarnation
   * @param record - its new record
   * @param previous - its record before, if any
   */
  set (key: string, record: WorkerRecord, previous: WorkerRecord | undefined): void {
    if (previous !== undefined) this.#deleteChanged(key, record, previous)
    add(this.#byId, record.id, key, record)
    add(this.#byAddress, record.address, key, record)
    add(this.#byService, record.service, key, record)
    if (record.machine !== '') add(this.#byMachine, record.machine, key, record)
  }

  /**
   * Removes a worker.
   *
   * @param key - key of the incarnation
   * @param record - its record
   */
  delete (key: string, record: WorkerRecord): void {
    remove(this.#byId, record.id, key)
    remove(this.#byAddress, record.address, key)
    remove(this.#byMachine, record.machine, key)
    remove(this.#byService, record.service, key)
  }

  /**
   * Returns the incarnations of a worker.
   *
   * @param id - id of the worker
   */
  withId (id: string): ReadonlyMap<string, WorkerRecord> {
    return this.#byId.get(id) ?? NO_WORKERS
  }

  /**
   * Returns the workers that have named a machine.
   *
   * @param machine - name of the machine
   */
  onMachine (machine: string): ReadonlyMap<string, WorkerRecord> {
    return this.#byMachine.get(machine) ?? NO_WORKERS
  }

  /**
   * Returns the workers of a service, in the order of their first reports.
   *
   * @param service - name of the service
   */
  ofService (service: string): ReadonlyMap<string, WorkerRecord> {
    return this.#byService.get(service) ?? NO_WORKERS
  }

  /**
   * Returns the workers that share the id, the address or the machine of a worker, possibly itself among them, and possibly twice.
   *
   * @param identity - the worker
   */
  * related ({ id, address, machine }: WorkerIdentity): Generator<readonly [key: string, record: WorkerRecord]> {
    yield * this.withId(id)
    yield * this.#byAddress.get(address) ?? NO_WORKERS
    if (machine !== '') yield * this.onMachine(machine)
  }

  /** Removes the entries that the new record would leave behind. A kept entry keeps its position. */
  #deleteChanged (key: string, record: WorkerRecord, previous: WorkerRecord): void {
    if (record.address !== previous.address) remove(this.#byAddress, previous.address, key)
    if (record.machine !== previous.machine) remove(this.#byMachine, previous.machine, key)
    if (record.service !== previous.service) remove(this.#byService, previous.service, key)
  }
}

function add (groups: Map<string, Group>, name: string, key: string, record: WorkerRecord): void {
  const group = groups.get(name)
  if (group === undefined) groups.set(name, new Map([[key, record]]))
  else group.set(key, record)
}

function remove (groups: Map<string, Group>, name: string, key: string): void {
  const group = groups.get(name)
  group?.delete(key)
  if (group?.size === 0) groups.delete(name)
}
