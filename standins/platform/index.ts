/** Stand-in for the platform: reboots VMs on requests to its HTTP interface. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { StandInEndpoint } from '../endpoint/index.js'

/** Platform that hosts a set of stand-in endpoints. */
export class StandInPlatform {
  readonly #endpoints: ReadonlyMap<string, StandInEndpoint>
  readonly #rebootMs: () => number
  /** Idempotency keys of reboots. A repeated key starts no second reboot. */
  readonly #acceptedOperations = new Set<string>()
  #server: Server | null = null
  /** VMs that never come back from a reboot. */
  readonly lost = new Set<string>()
  /** Number of reboots begun. */
  rebootCount = 0

  /**
   * @param endpoints - endpoints by VM
   * @param rebootMs - returns the duration of a reboot, in milliseconds
   */
  constructor (endpoints: ReadonlyMap<string, StandInEndpoint>, rebootMs: () => number) {
    this.#endpoints = endpoints
    this.#rebootMs = rebootMs
  }

  /**
   * Starts listening on a free port of 127.0.0.1.
   *
   * @returns the address, as `host:port`
   */
  async start (): Promise<string> {
    const server = createServer((req, res) => { this.#handleRequest(req, res) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.#server = server
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /** Stops listening and closes all connections. */
  stop (): void {
    this.#server?.close()
    this.#server?.closeAllConnections()
  }

  #handleRequest (req: IncomingMessage, res: ServerResponse): void {
    const vm = /^\/v1\/vms\/([^/]+)\/reboot$/.exec(req.url ?? '')?.[1]
    const endpoint = this.#endpoints.get(decodeURIComponent(vm ?? ''))
    const operation = String(req.headers['idempotency-key'] ?? '')
    if (req.method !== 'POST' || endpoint === undefined || operation === '') {
      res.writeHead(404).end()
      return
    }
    if (!this.#acceptedOperations.has(operation)) {
      this.#acceptedOperations.add(operation)
      void this.#reboot(endpoint)
    }
    res.writeHead(202).end()
  }

  async #reboot (endpoint: StandInEndpoint): Promise<void> {
    this.rebootCount += 1
    endpoint.stop(true)
    await sleep(this.#rebootMs())
    if (!this.lost.has(endpoint.vm)) await endpoint.start()
  }
}
