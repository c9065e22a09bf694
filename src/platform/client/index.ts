/** Client of the platform that runs the VMs. */
import { TimedPool } from '../../links/timedPool/index.js'

const CALL_TIMEOUT_MS = 2000
const IDLE_CONNECTION_MS = 10_000

/** What the project asks of the platform. */
export interface PlatformClient {
  /**
   * Asks for a reboot. The platform carries an operation out once, however often it is asked.
   *
   * @param vm - name of the VM
   * @param operation - identity of the reboot
   * @returns whether the platform has accepted it
   */
  reboot (vm: string, operation: string): Promise<boolean>
}

/** Platform reached over HTTP. */
export class HttpPlatformClient implements PlatformClient {
  readonly #pool: TimedPool

  /** @param address - host and port of the platform's interface */
  constructor (address: string) {
    this.#pool = new TimedPool(address, { connections: 4, connectMs: CALL_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS })
  }

  async reboot (vm: string, operation: string): Promise<boolean> {
    try {
      const { status } = await this.#pool.requestText({
        path: `/v1/vms/${encodeURIComponent(vm)}/reboot`,
        method: 'POST',
        headers: { 'idempotency-key': operation },
        body: null
      }, CALL_TIMEOUT_MS)
      return status < 300
    } catch {
      return false
    }
  }
}

/** Stands in when no platform is configured: every reboot is left to the operator. */
export class NoPlatformClient implements PlatformClient {
  reboot (): Promise<boolean> {
    return Promise.resolve(false)
  }
}
