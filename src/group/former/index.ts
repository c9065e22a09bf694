/** Forms the group at the first start, and lets a process join a group that exists. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'

const HELLO_TIMEOUT_MS = 500
const JOIN_TIMEOUT_MS = 1000

/** Pause between two rounds, in milliseconds. */
const ROUND_MS = 150

/** A member that has not heard a leader for this long asks whether it still belongs to the group. */
const SILENCE_MS: Millis = 1500

/** What a process tells of its data folder. */
export interface Hello {
  readonly id: string
  readonly instance: string
  readonly address: string
  /** The data folder belongs to no group yet. */
  readonly isEmpty: boolean
}

/** Surroundings of {@link GroupFormer}. */
export interface FormerDeps {
  readonly replica: Replica
  readonly clock: Clock
  readonly links: MsgpackLinks
  readonly log: EventLog
  readonly id: string
  /** This process's address on the internal network. */
  readonly address: string
  /** The whole system starts for the first time. */
  readonly isFirstStart: boolean
  /** Addresses of the first members on the internal network; read again in each round. */
  readonly seeds: () => readonly string[]
}

/** Makes this process a member, and keeps it one. */
export class GroupFormer {
  readonly #deps: FormerDeps

  /** @param deps - the process's parts */
  constructor (deps: FormerDeps) {
    this.#deps = deps
  }

  /** Returns what other processes are told. */
  hello (): Hello {
    const { replica, id, address } = this.#deps
    const { instance, lastIndex } = replica.status()
    return { id, instance, address, isEmpty: lastIndex === 0 }
  }

  /**
   * Runs until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, replica, address, isFirstStart } = this.#deps
    const startedAt = clock.now()
    while (!signal.aborted) {
      const isEmpty = this.hello().isEmpty
      const silentSince = Math.max(startedAt, replica.heardAt)
      if (isEmpty && isFirstStart && this.#deps.seeds().includes(address)) await this.#found()
      else if (isEmpty || clock.now() - silentSince > SILENCE_MS) await this.#join()
      await clock.sleep(ROUND_MS, signal)
    }
  }

  /** The seed with the lowest address forms the group once all seeds have answered with empty folders. */
  async #found (): Promise<void> {
    const { replica, links, log, address } = this.#deps
    const others = this.#deps.seeds().filter((seed) => seed !== address)
    const answers = await Promise.all(others.map(async (seed) => {
      try {
        return await links.to(seed).call<Hello>('hello', {}, HELLO_TIMEOUT_MS)
      } catch {
        return null
      }
    }))
    const known = answers.filter((answer) => answer !== null)
    if (known.some((answer) => !answer.isEmpty)) {
      await this.#join()
      return
    }
    const isFounder = others.every((seed) => address < seed)
    if (!isFounder || known.length < others.length || !this.hello().isEmpty) return
    const members = [this.hello(), ...known].map(({ id, instance, address }) => ({ id: memberName(id, instance), instance, address }))
    await replica.bootstrap(members)
    log.info('group.formed', { members: members.map(({ id }) => id) })
  }

  async #join (): Promise<void> {
    const { replica, links, address, id } = this.#deps
    const { instance, members } = replica.status()
    const targets = new Set([...this.#deps.seeds(), ...members.map((member) => member.address)])
    targets.delete(address)
    await Promise.all([...targets].map(async (target) => {
      try {
        await links.to(target).call('join', { id: memberName(id, instance), instance, address }, JOIN_TIMEOUT_MS)
      } catch {
        // Another round follows; a group without a leader can't take members in.
      }
    }))
  }
}

/** Name of a member: an emptied data folder is another member of the same process name. */
function memberName (id: string, instance: string): string {
  return `${id}#${instance.slice(0, 8)}`
}
