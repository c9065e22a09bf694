/** Simulated control processes that make calls to workers for successive leaders, and that are paused, killed and cut off. */
import type { ManualClock, Millis } from '../../clock/index.js'
import { ProcessClock } from '../../clock/processClock/index.js'
import { RemoteClock } from '../../clock/remoteClock/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'
import { ConnectionLostError, NotConnectedError } from '../../links/msgpackLink/index.js'
import { WorkerRelay, type ConnectWorkerAddress } from '../../workers/relay/index.js'
import type { RelayRequest } from '../../workers/relay/types.js'
import type { RelayMember } from '../../workers/relayRouter/index.js'
import type { Random } from './random.js'

const LATENCY_MS: Millis = 1
const RESUME_CHECK_INTERVAL_MS: Millis = 20

/** Calls that a relay makes later than this are printed. */
const MAX_PROMPT_MS: Millis = 100

/** `paused`: it makes the calls that it has received when it runs again; `cutOff`: no calls and answers pass; `down`: it refuses connections. */
type RelayPhase = 'running' | 'paused' | 'cutOff' | 'down'

class SimRelay {
  phase: RelayPhase = 'running'
  /** Term that it knows; a relay that does not run learns of no later one. */
  term = 0
  confirmedAt: Millis = 0
  readonly relay: WorkerRelay
  readonly processClock: ProcessClock
  /** The leader's knowledge of the relay's clock. */
  readonly clock: RemoteClock

  constructor (clock: ManualClock, connect: ConnectWorkerAddress, process: number) {
    this.processClock = new ProcessClock(clock, process)
    this.clock = new RemoteClock(clock)
    this.relay = new WorkerRelay(clock, connect, (term) => this.term === term, this.processClock)
  }
}

/** The relays of a simulation. */
export class SimRelays {
  readonly #clock: ManualClock
  readonly #random: Random
  readonly #trace: (event: string) => void
  readonly #relays = new Map<string, SimRelay>()

  /**
   * @param clock - source of time
   * @param random - source of faults
   * @param connect - creates the client of a worker
   * @param count - number of relays
   * @param trace - prints late calls
   */
  constructor (clock: ManualClock, random: Random, connect: ConnectWorkerAddress, count: number, trace: (event: string) => void) {
    this.#clock = clock
    this.#random = random
    this.#trace = trace
    for (let i = 0; i < count; i++) this.#relays.set(`relay-${i}`, new SimRelay(clock, connect, i))
  }

  /** Links of the leader to the relays. */
  get links (): MsgpackLinks {
    return { to: (address: string) => ({ call: (_name: string, input: RelayRequest, timeoutMs: Millis) => this.#call(this.#find(address), input, timeoutMs) }) } as unknown as MsgpackLinks
  }

  /** @param term - term that all relays learn of which run */
  announceTerm (term: number): void {
    for (const relay of this.#relays.values()) if (relay.phase === 'running') relay.term = term
  }

  /** Lists the relays as the leader sees them. */
  listMembers (term: number): RelayMember[] {
    for (const relay of this.#relays.values()) {
      if (relay.phase !== 'running') continue
      relay.term = Math.max(relay.term, term)
      relay.confirmedAt = this.#clock.now()
      relay.clock.record(relay.processClock.read())
    }
    return [...this.#relays].map(([address, { confirmedAt, clock }]) => ({ address, confirmedAt, clock }))
  }

  /** Changes the phase of one relay, or brings it back. */
  injectFault (): void {
    const relay = this.#find(`relay-${this.#random.nextInt(this.#relays.size)}`)
    const phases: readonly RelayPhase[] = ['running', 'running', 'paused', 'cutOff', 'down']
    relay.phase = phases[this.#random.nextInt(phases.length)] as RelayPhase
  }

  /** Brings all relays back. */
  recover (): void {
    for (const relay of this.#relays.values()) relay.phase = 'running'
  }

  #find (address: string): SimRelay {
    return this.#relays.get(address) as SimRelay
  }

  async #call (relay: SimRelay, req: RelayRequest, timeoutMs: Millis): Promise<unknown> {
    let isOver = false
    const sentAt = this.#clock.now()
    const timedOut = this.#clock.sleep(timeoutMs).then(() => {
      isOver = true
      throw new ConnectionLostError('no answer')
    })
    timedOut.catch(() => {})
    await this.#clock.sleep(LATENCY_MS)
    if (relay.phase === 'down') throw new NotConnectedError('refused')
    if (relay.phase === 'cutOff') return await timedOut
    while (relay.phase === 'paused') await this.#clock.sleep(RESUME_CHECK_INTERVAL_MS)
    const lateMs = this.#clock.now() - sentAt
    if (lateMs > MAX_PROMPT_MS) this.#trace(`a relay that was paused makes a call ${lateMs} ms after it was sent: ${describeCall(req)}`)
    // A call that a paused process has received is made when it runs again, also after the caller has given it up.
    const making = relay.relay.make(req)
    if (isOver) return await timedOut
    const answer = await Promise.race([making, timedOut])
    return relay.phase === 'running' ? answer : await timedOut
  }
}

function describeCall ({ worker: { id }, call, req }: RelayRequest): string {
  return `${call}${'run' in req ? ` of run ${req.run} of ${req.task}` : ''} to ${id} with token ${req.token}`
}
