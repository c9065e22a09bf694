/** Announces many endpoints from one process; the endpoints serve no requests. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Pool } from 'undici'

/** Interval between two announcements of an endpoint: one that doesn't announce itself for 3 s counts as lost. */
const ANNOUNCE_INTERVAL_MS = 2500
const TICK_MS = 25

/** Sends the announcements of the endpoints in turn, evenly spread over the interval. */
export class Announcer {
  readonly #vms: readonly string[]
  readonly #pools: readonly Pool[]
  readonly #abortController = new AbortController()
  readonly #bootedAt = Date.now()
  /** Number of announcements sent. */
  sent = 0

  /**
   * @param vms - ids of the VMs
   * @param entries - addresses of the entries
   */
  constructor (vms: readonly string[], entries: readonly string[]) {
    this.#vms = vms
    this.#pools = entries.map((address) => new Pool(`http://${address}`, { connections: 8 }))
  }

  /** Announces until {@link stop} is called. */
  async run (): Promise<void> {
    const startedAt = Date.now()
    while (!this.#abortController.signal.aborted) {
      const due = (Date.now() - startedAt) / ANNOUNCE_INTERVAL_MS * this.#vms.length
      for (; this.sent < due; this.sent += 1) this.#announce(this.sent)
      await sleep(TICK_MS)
    }
    await Promise.all(this.#pools.map((pool) => pool.destroy()))
  }

  stop (): void {
    this.#abortController.abort()
  }

  #announce (sequenceNumber: number): void {
    const vm = this.#vms[sequenceNumber % this.#vms.length] ?? ''
    const pool = this.#pools[sequenceNumber % this.#pools.length]
    const body = JSON.stringify({ vm, boot: vm, bootedAt: this.#bootedAt, revision: 0, address: '127.0.0.1:9', services: ['s0'], slots: 8, connections: 64, state: 'ready', inFlight: 0, tasks: [] })
    void pool?.request({ path: '/v1/announce', method: 'POST', body }).then((res) => res.body.dump()).catch(() => {})
  }
}
