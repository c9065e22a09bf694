/** Bootstraps the group at the first start, and lets a process join an existing group. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'

const HELLO_TIMEOUT_MS = 500
const JOIN_TIMEOUT_MS = 1000
const CYCLE_INTERVAL_MS = 150

/** Time without contact with a leader after which a member asks to join again, in case it was removed from the group. */
const MAX_TIME_WITHOUT_LEADER_MS: Millis = 1500

/** Identity of a process and state of its data folder, as sent to other processes. */
export interface Hello {
  readonly id: string
  readonly instance: string
  readonly address: string
  /** Whether the data folder belongs to no group yet. */
  readonly isEmpty: boolean
}

/** Dependencies of {@link GroupBootstrapper}. */
export interface GroupBootstrapperDeps {
  readonly replica: Replica
  readonly clock: Clock
  readonly links: MsgpackLinks
  readonly log: EventLog
  readonly id: string
  /** This process's address on the internal network. */
  readonly address: string
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  /** Returns the addresses of the initial members on the internal network; called again in each cycle. */
  readonly seeds: () => readonly string[]
}

/** Makes this process a member of the group, and joins again when contact with the leader is lost. */
export class GroupBootstrapper {
  readonly #deps: GroupBootstrapperDeps
  /** Addresses whose answer to a request to join is outstanding. */
  readonly #askedAddresses = new Set<string>()

  /** @param deps - dependencies of the bootstrapper */
  constructor (deps: GroupBootstrapperDeps) {
    this.#deps = deps
  }

  /** Returns the identity of this process and whether its data folder is empty. */
  hello (): Hello {
    const { replica, id, address } = this.#deps
    const { instance, lastIndex } = replica.status()
    return { id, instance, address, isEmpty: lastIndex === 0 }
  }

  /**
   * Bootstraps or joins the group as needed, until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, replica, address, isFirstStart } = this.#deps
    const startedAt = clock.now()
    while (!signal.aborted) {
      const isEmpty = this.hello().isEmpty
      const lastLeaderContactAt = Math.max(startedAt, replica.lastLeaderContactAt)
      if (isEmpty && isFirstStart && this.#deps.seeds().includes(address)) await this.#bootstrapGroup()
      else if (isEmpty || clock.now() - lastLeaderContactAt > MAX_TIME_WITHOUT_LEADER_MS) this.#requestJoin()
      await clock.sleep(CYCLE_INTERVAL_MS, signal)
    }
  }

  /**
   * Bootstraps the group if this process has the lowest address of all seeds and all others have answered with an empty
   * data folder. Joins the group instead if one of them already belongs to it.
   */
  async #bootstrapGroup (): Promise<void> {
    const { replica, links, log, address } = this.#deps
    const others = this.#deps.seeds().filter((seed) => seed !== address)
    const answers = await Promise.all(others.map(async (seed) => {
      try {
        return await links.to(seed).call<Hello>('hello', {}, HELLO_TIMEOUT_MS)
      } catch {
        return null
      }
    }))
    const hellos = answers.filter((answer) => answer !== null)
    if (hellos.some((answer) => !answer.isEmpty)) {
      this.#requestJoin()
      return
    }
    const hasLowestAddress = others.every((seed) => address < seed)
    if (!hasLowestAddress || hellos.length < others.length || !this.hello().isEmpty) return
    const members = [this.hello(), ...hellos].map(({ id, instance, address }) => ({ id: createMemberId(id, instance), instance, address }))
    await replica.bootstrap(members)
    log.info('group.formed', { members: members.map(({ id }) => id) })
  }

  /** Asks all known processes for membership, apart from those that have not answered the last request yet. */
  #requestJoin (): void {
    const { replica, address } = this.#deps
    const { instance, members } = replica.status()
    const targets = new Set([...this.#deps.seeds(), ...members.map((member) => member.address)])
    targets.delete(address)
    for (const target of targets) if (!this.#askedAddresses.has(target)) void this.#requestJoinAt(target, instance)
  }

  async #requestJoinAt (target: string, instance: string): Promise<void> {
    const { links, address, id } = this.#deps
    this.#askedAddresses.add(target)
    try {
      await links.to(target).call('join', { id: createMemberId(id, instance), instance, address }, JOIN_TIMEOUT_MS)
    } catch {
      // The next cycle retries; a group without a leader can't add members.
    }
    this.#askedAddresses.delete(target)
  }
}

/** Creates the name of a member. It includes the instance, since a process with an emptied data folder is a new member. */
function createMemberId (id: string, instance: string): string {
  return `${id}#${instance.slice(0, 8)}`
}
