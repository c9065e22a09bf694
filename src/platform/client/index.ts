/** Clients of the platform that runs the VMs. */
import { KeepAliveCalls } from '../../links/keepAliveCalls/index.js'

const CALL_TIMEOUT_MS = 2000
const IDLE_CONNECTION_MS = 10_000

/** Operations of the platform. */
export interface PlatformClient {
  /**
   * Requests a reboot. The platform performs an operation once, even if it is requested several times.
   *
   * @param vm - name of the VM
   * @param operation - idempotency key of the reboot
   * @returns whether the platform has accepted the request; false when it does not answer
   */
  reboot (vm: string, operation: string): Promise<boolean>
}

/** Calls the platform over HTTP. */
export class HttpPlatformClient implements PlatformClient {
  readonly #calls: KeepAliveCalls

  /** @param address - host and port of the platform */
  constructor (address: string) {
    this.#calls = new KeepAliveCalls(address, { connections: 4, idleMs: IDLE_CONNECTION_MS })
  }

  async reboot (vm: string, operation: string): Promise<boolean> {
    try {
      const { status } = await this.#calls.request({
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

/** Accepts no reboot. Used when no platform is configured, so that operators reboot VMs themselves. */
export class NoPlatformClient implements PlatformClient {
  reboot (): Promise<boolean> {
    return Promise.resolve(false)
  }
}
