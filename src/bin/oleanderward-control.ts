/** Composition root of the control process. */
import { asValue, createContainer, asFunction, InjectionMode } from 'awilix/browser'
import { SystemClock } from '../clock/index.js'
import { DEFAULT_COMPACTION, DEFAULT_TIMINGS } from '../consensus/constants.js'
import { Replica } from '../consensus/replica/index.js'
import { Wal } from '../consensus/wal/index.js'
import type { Finding } from '../contracts/findings/index.js'
import { ControlDaemon } from '../control/daemon/index.js'
import { ControlServer } from '../control/server/index.js'
import { ClientLimits, PRODUCT_LIMITS } from '../links/clientLimits/index.js'
import { TrpcTransport } from '../links/trpcTransport/index.js'
import { TokenGuard } from '../links/tokens/index.js'
import { createLogger, type Logger } from '../logs/index.js'
import { Metrics } from '../metrics/index.js'
import { registerProcessMetrics } from '../metrics/process/index.js'
import { HttpPlatformClient, NoPlatformClient } from '../platform/client/index.js'
import { checkClientLimits, COMMON_SETTINGS, createHeldBytesSetting, readClientLimits, readTokens } from '../settings/common.js'
import { loadSettings, type SettingValues } from '../settings/index.js'
import { parseAddress, parseName, parsePath } from '../settings/parsers.js'
import { FleetState } from '../state/index.js'
import { waitForStopSignal } from './waitForStopSignal.js'

const DESCRIPTION = `Replicated control of an oleanderward group. Run three or five of them on VMs with a disk,
then form the group once with "oleanderctl init".`

const SPECS = {
  id: { flag: 'id', value: 'name', help: 'name of this member', isRequired: true, parse: parseName },
  listen: { flag: 'listen', value: 'address', help: 'address for peers, entries and operators', isRequired: true, parse: parseAddress },
  dataFolder: { flag: 'data-folder', value: 'path', help: 'folder of the replicated log', isRequired: true, parse: parsePath },
  platform: { flag: 'platform', value: 'address', help: 'address of the platform that reboots VMs; without it, operators reboot them', parse: parseAddress },
  maxHeldBytes: createHeldBytesSetting(PRODUCT_LIMITS.maxHeldBytes),
  ...COMMON_SETTINGS
} as const

type Settings = SettingValues<typeof SPECS>

/** Idle time after which a connection is closed; links close theirs earlier. */
const IDLE_TIMEOUT_MS = 30_000

/** Exit code after a failure of storage. */
const STORAGE_FAILED_EXIT_CODE = 3

interface Components {
  readonly log: Logger
  readonly daemon: ControlDaemon
  readonly server: ControlServer
  readonly transport: TrpcTransport
  readonly guard: TokenGuard
}

async function main (): Promise<void> {
  const loaded = loadSettings('oleanderward-control', DESCRIPTION, SPECS, process.argv.slice(2), validateTokens)
  if ('exitCode' in loaded) process.exit(loaded.exitCode)
  if (loaded.isCheck) return
  const { values: cfg } = loaded
  const log = createLogger(cfg.logLevel, cfg.logFormat).withTag('control')
  try {
    const components = compose(cfg, log, await Wal.open(cfg.dataFolder, { onFull: (err) => { log.warn(`No space is left in the data folder; the process waits for some: ${err.message}`) } }))
    warnWithoutTokens(components.guard, log)
    await components.daemon.start()
    await components.server.listen(cfg.listen)
    log.info(`Listening on ${cfg.listen} as ${cfg.id}.`)
    await waitForStopSignal(log)
    await components.daemon.stop()
    components.server.close()
    components.transport.close()
    log.info('Stopped.')
    process.exit(0)
  } catch (err) {
    log.error((err as Error).message)
    process.exit(1)
  }
}

function compose (cfg: Settings, log: Logger, store: Wal): Components {
  const traffic = { sentBytes: 0, receivedBytes: 0 }
  const tokens = readTokens(cfg, [])
  const clock = new SystemClock()
  const container = createContainer<Components & { state: FleetState, replica: Replica, metrics: Metrics }>({ injectionMode: InjectionMode.PROXY })
  container.register({
    log: asValue(log),
    guard: asValue(new TokenGuard(tokens)),
    state: asValue(new FleetState()),
    metrics: asValue(new Metrics()),
    transport: asFunction(() => new TrpcTransport(tokens.peer, traffic)).singleton(),
    replica: asFunction(({ state, transport }: { state: FleetState, transport: TrpcTransport }) => new Replica({
      id: cfg.id,
      address: cfg.listen,
      store,
      machine: state,
      transport,
      clock,
      timings: DEFAULT_TIMINGS,
      compaction: DEFAULT_COMPACTION,
      random: Math.random,
      onFatal: (err) => {
        log.error(`Storage has failed; the process exits without acknowledging further writes: ${(err as Error).message}`)
        process.exit(STORAGE_FAILED_EXIT_CODE)
      }
    })).singleton(),
    daemon: asFunction(({ replica, state }: { replica: Replica, state: FleetState }) => new ControlDaemon({
      clock,
      replica,
      state,
      platform: cfg.platform === undefined ? new NoPlatformClient() : new HttpPlatformClient(cfg.platform),
      log
    })).singleton(),
    server: asFunction(({ daemon, guard, metrics }: { daemon: ControlDaemon, guard: TokenGuard, metrics: Metrics }) => new ControlServer({ daemon, guard, metrics, traffic, limits: new ClientLimits({ ...PRODUCT_LIMITS, ...readClientLimits(cfg), idleTimeoutMs: IDLE_TIMEOUT_MS }, metrics) })).singleton()
  })
  const { metrics, replica } = container.cradle
  registerProcessMetrics(metrics, traffic)
  metrics.gauge('oleanderward_log_last_index', () => replica.status().lastIndex)
  metrics.gauge('oleanderward_log_term', () => replica.term)
  metrics.gauge('oleanderward_leads', () => replica.isLeader ? 1 : 0)
  return container.cradle
}

function validateTokens (cfg: Settings, findings: Finding[]): void {
  readTokens(cfg, findings)
  checkClientLimits(cfg, findings)
}

function warnWithoutTokens (guard: TokenGuard, log: Logger): void {
  for (const role of ['peer', 'operator'] as const) {
    if (!guard.hasTokenFor(role)) log.warn(`No token for the role ${role} is set: only requests from loopback may act as ${role}.`)
  }
}

await main()
