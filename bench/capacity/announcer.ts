/** Announces many endpoints from one process; they serve nothing. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Pool } from 'undici'

/** Longest time between two announcements of one endpoint: an endpoint not heard for 3 s is lost. */
const ANNOUNCE_INTERVAL_MS = 2500
const TICK_MS = 25

/** Sends the announcements of endpoints in turn. */
export class Announcer {
  readonly #vms: readonly string[]
  readonly #pools: readonly Pool[]
  readonly #abortController = new AbortController()
  readonly #bootedAt = Date.now()
  sent = 0

  /**
   * @param vms - names of the VMs
   * @param entries - addresses of the entries
   */
  constructor (vms: readonly string[], entries: readonly string[]) {
    this.#vms = vms
    this.#pools = entries.map((address) => new Pool(`http://${address}`, { connections: 8 }))
  }

  /** Announces until stopped. */
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
