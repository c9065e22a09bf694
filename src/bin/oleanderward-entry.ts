/** Composition root of the entry process. */
import { randomUUID } from 'node:crypto'
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix/browser'
import { SystemClock } from '../clock/index.js'
import { Dispatcher } from '../callers/dispatcher/index.js'
import { RequestRunner } from '../callers/requests/index.js'
import { Settler } from '../callers/settler/index.js'
import type { Finding } from '../contracts/findings/index.js'
import { AnnouncementHandler } from '../endpoints/announce/index.js'
import { EntryDaemon } from '../entry/daemon/index.js'
import { ViewPoller } from '../entry/poller/index.js'
import { Reporter } from '../entry/reporter/index.js'
import { EntryServer } from '../entry/server/index.js'
import { JobRequestHandler } from '../jobs/requestHandler/index.js'
import { ClientLimits, PRODUCT_LIMITS } from '../links/clientLimits/index.js'
import { ControlClient } from '../links/controlClient/index.js'
import { TokenGuard } from '../links/tokens/index.js'
import { createLogger, type Logger } from '../logs/index.js'
import { FleetView } from '../machines/fleetView/index.js'
import { Metrics } from '../metrics/index.js'
import { registerProcessMetrics } from '../metrics/process/index.js'
import { checkClientLimits, COMMON_SETTINGS, createHeldBytesSetting, readClientLimits, readTokens } from '../settings/common.js'
import { loadSettings, type SettingValues } from '../settings/index.js'
import { oneOf, parseAddress, parseAddresses, parseName } from '../settings/parsers.js'
import { waitForStopSignal } from './waitForStopSignal.js'

/** Bodies of callers, of up to 1 MiB each, are held until their requests are answered. */
const ENTRY_HELD_BYTES = 64 * 1024 * 1024

const DESCRIPTION = `Entry of an oleanderward group: serves callers' requests and endpoints' announcements.
Run one on each entry VM behind the platform's balancer.`

const SPECS = {
  id: { flag: 'id', value: 'name', help: 'name of this entry', isRequired: true, parse: parseName },
  listen: { flag: 'listen', value: 'address', help: 'address for callers and endpoints', isRequired: true, parse: parseAddress },
  control: { flag: 'control', value: 'addresses', help: 'comma-separated addresses of control processes', isRequired: true, parse: parseAddresses },
  slotSharing: { flag: 'slot-sharing', value: 'way', help: 'how entries share slots of endpoints: adaptive, split or refusal', fallback: 'adaptive', parse: oneOf('adaptive', 'split', 'refusal') },
  maxHeldBytes: createHeldBytesSetting(ENTRY_HELD_BYTES),
  ...COMMON_SETTINGS
} as const

/** Idle time after which a connection is closed; the platform's balancer should close its connections earlier. */
const IDLE_TIMEOUT_MS = 72_000

type Settings = SettingValues<typeof SPECS>

interface Components {
  readonly entry: string
  readonly clock: SystemClock
  readonly log: Logger
  readonly guard: TokenGuard
  readonly metrics: Metrics
  readonly view: FleetView
  readonly control: ControlClient
  readonly dispatcher: Dispatcher
  readonly settler: Settler
  readonly runner: RequestRunner
  readonly reporter: Reporter
  readonly announcementHandler: AnnouncementHandler
  readonly jobs: JobRequestHandler
  readonly poller: ViewPoller
  readonly server: EntryServer
  readonly daemon: EntryDaemon
}

async function main (): Promise<void> {
  const loaded = loadSettings('oleanderward-entry', DESCRIPTION, SPECS, process.argv.slice(2), validateTokens)
  if ('exitCode' in loaded) process.exit(loaded.exitCode)
  if (loaded.isCheck) return
  const { values: cfg } = loaded
  const log = createLogger(cfg.logLevel, cfg.logFormat).withTag('entry')
  try {
    const { daemon, guard } = compose(cfg, log)
    for (const role of ['peer', 'endpoint'] as const) {
      if (!guard.hasTokenFor(role)) log.warn(`No token for the role ${role} is set: only requests from loopback may act as ${role}.`)
    }
    await daemon.start(cfg.listen)
    log.info(`Listening on ${cfg.listen} as ${cfg.id}.`)
    await waitForStopSignal(log)
    await daemon.stop()
    log.info('Stopped.')
    process.exit(0)
  } catch (err) {
    log.error((err as Error).message)
    process.exit(1)
  }
}

function compose (cfg: Settings, log: Logger): Components {
  const traffic = { sentBytes: 0, receivedBytes: 0 }
  const tokens = readTokens(cfg, [])
  const container = createContainer<Components>({ injectionMode: InjectionMode.PROXY })
  container.register({
    // A restarted entry must not share leases and claims with its earlier incarnation.
    entry: asValue(`${cfg.id}#${randomUUID().slice(0, 8)}`),
    clock: asValue(new SystemClock()),
    log: asValue(log),
    guard: asValue(new TokenGuard(tokens)),
    metrics: asValue(new Metrics()),
    view: asFunction(({ clock }: Components) => new FleetView(clock, cfg.slotSharing)).singleton(),
    control: asFunction(({ clock }: Components) => new ControlClient(cfg.control, tokens.peer, clock, { traffic })).singleton(),
    dispatcher: asFunction(({ view, clock }: Components) => new Dispatcher(view, clock, Math.random)).singleton(),
    settler: asFunction(({ control, clock }: Components) => new Settler(control, clock)).singleton(),
    runner: asFunction(({ entry, clock, view, dispatcher, control, settler }: Components) => new RequestRunner({ entry, clock, view, dispatcher, control, settler, onEjected: (vm) => { log.warn(`VM ${vm} is ejected after consecutive failures of its requests.`) } })).singleton(),
    reporter: asFunction(({ entry, clock, view, control, dispatcher }: Components) => new Reporter({ entry, clock, view, control, dispatcher, announcementHandler: () => container.cradle.announcementHandler })).singleton(),
    announcementHandler: asFunction(({ view, clock, reporter }: Components) => new AnnouncementHandler(view, clock, () => { reporter.requestReport() })).singleton(),
    jobs: asFunction(({ control }: Components) => new JobRequestHandler(control)).singleton(),
    poller: asFunction(({ entry, clock, view, control, dispatcher, reporter }: Components) => new ViewPoller({ entry, clock, view, control, reporter, log, onRenewed: () => { dispatcher.serveWaiting() } })).singleton(),
    server: asFunction(({ clock, view, runner, announcementHandler, jobs, guard, metrics }: Components) => new EntryServer({ clock, view, runner, announcementHandler, jobs, guard, metrics, limits: new ClientLimits({ ...PRODUCT_LIMITS, ...readClientLimits(cfg), idleTimeoutMs: IDLE_TIMEOUT_MS }, metrics) })).singleton(),
    daemon: asFunction(({ entry, clock, control, poller, reporter, server, settler }: Components) => new EntryDaemon({ entry, clock, control, log, poller, reporter, server, settler })).singleton()
  })
  const { control, dispatcher, metrics, settler, view } = container.cradle
  registerProcessMetrics(metrics, traffic)
  metrics.gauge('oleanderward_view_lease_ms', () => Math.round(view.leaseMs))
  metrics.gauge('oleanderward_view_revision', () => view.rev)
  metrics.gauge('oleanderward_control_members', () => control.members.length)
  metrics.gauge('oleanderward_config_version', () => view.version)
  metrics.gauge('oleanderward_requests_waiting', () => dispatcher.waiting)
  metrics.gauge('oleanderward_settlements_pending', () => settler.pending)
  return container.cradle
}

function validateTokens (cfg: Settings, findings: Finding[]): void {
  readTokens(cfg, findings)
  checkClientLimits(cfg, findings)
}

await main()
