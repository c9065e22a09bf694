/** Connection of the client to control, and exit codes of its commands. */
import { hostname, userInfo } from 'node:os'
import { SystemClock } from '../../clock/index.js'
import { ControlClient, type CallLimits } from '../../links/controlClient/index.js'
import { TrpcLink, type ControlCalls } from '../../links/trpcLink/index.js'
import type { Reply } from '../../links/replies.js'

/** Exit codes of the client. */
export const EXIT_CODES = { failed: 1, badInput: 2, conflict: 3, unreachable: 4 } as const

const DEFAULT_LIMITS: CallLimits = { attemptMs: 12_000, totalMs: 15_000 }

/** Thrown to end a command with a message and an exit code. */
export class CommandError extends Error {
  override readonly name = 'CommandError'

  /**
   * @param message - message for the operator
   * @param exitCode - exit code of the process
   */
  constructor (message: string, readonly exitCode: number) {
    super(message)
  }
}

/** Calls control during one invocation of the client. */
export class CtlSession {
  readonly #client: ControlClient
  readonly #token: string | undefined

  /**
   * @param addresses - addresses of control processes
   * @param token - token of operators, if any
   * @param isJson - whether results are printed as JSON
   */
  constructor (readonly addresses: readonly string[], token: string | undefined, readonly isJson: boolean) {
    this.#token = token
    this.#client = new ControlClient(addresses, token, new SystemClock())
  }

  /** User and host that the history names as the author of a change. */
  get operator (): string {
    return `${userInfo().username}@${hostname()}`
  }

  /**
   * Calls the leader.
   *
   * @param makeCall - makes the call, which may arrive more than once
   * @param limits - timeouts of one attempt and of all attempts
   * @throws CommandError when the call is refused or no leader is reached
   */
  async call<T> (makeCall: (calls: ControlCalls, signal: AbortSignal) => Promise<Reply<T>>, limits: CallLimits = DEFAULT_LIMITS): Promise<T> {
    const res = await this.#client.call(makeCall, limits)
    return res.match((value) => value, (err) => {
      throw new CommandError(err.message, err.kind === 'unreachable' ? EXIT_CODES.unreachable : EXIT_CODES.failed)
    })
  }

  /**
   * Calls one control process, which need not be the leader.
   *
   * @param address - host and port
   * @param makeCall - makes the call
   * @throws CommandError when the process does not answer or the call fails
   */
  async callProcess<T> (address: string, makeCall: (calls: ControlCalls, signal: AbortSignal) => Promise<T>): Promise<T> {
    const link = new TrpcLink(address, this.#token)
    try {
      return await link.call(makeCall, 3000)
    } catch (err) {
      throw new CommandError(`${address}: ${(err as Error).message}`, EXIT_CODES.unreachable)
    } finally {
      link.close()
    }
  }

  /** Closes all connections. */
  close (): void {
    this.#client.close()
  }
}
