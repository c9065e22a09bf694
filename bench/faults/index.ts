/** Injects faults into a running deployment; each one is applied, lasts for some time and is undone again. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { EndpointFault } from '../../standins/endpoint/index.js'
import type { LinkFault } from '../../standins/faultProxy/index.js'
import type { Deployment } from '../harness/deployment.js'
import { listVms } from '../harness/fleet.js'

/** Returns a random integer from 0 up to, but not including, the given bound. */
export type RandomBelow = (exclusiveMax: number) => number

/** Applies a fault, waits and undoes it; resolves when it is undone. */
export type Fault = (deployment: Deployment, randomBelow: RandomBelow) => Promise<void>

const FAULT_DURATION_MS = 2500

/** Kills a process and starts it again after a pause, in milliseconds. */
async function restart (process: { kill: () => Promise<void>, start: () => void }, pauseMs: number): Promise<void> {
  await process.kill()
  await sleep(pauseMs)
  process.start()
}

/** Suspends a process for a time, in milliseconds. */
async function freeze (process: { signal: (signal: NodeJS.Signals) => void }, ms: number): Promise<void> {
  process.signal('SIGSTOP')
  await sleep(ms)
  process.signal('SIGCONT')
}

function pickRandom<T> (items: readonly T[], randomBelow: RandomBelow): T {
  return items[randomBelow(items.length)] as T
}

/** Creates a fault on the links to one random control process. */
function createControlLinkFault (fault: LinkFault): Fault {
  return async ({ controls }, randomBelow) => {
    const { proxy } = pickRandom(controls, randomBelow)
    proxy.setFault(fault)
    await sleep(FAULT_DURATION_MS)
    proxy.setFault('none')
  }
}

/** Creates a fault of every ninth endpoint, beginning with a random one. */
function createEndpointFault (fault: EndpointFault): Fault {
  return async ({ endpoints }, randomBelow) => {
    const offset = randomBelow(9)
    const chosen = [...endpoints.values()].filter((_each, index) => index % 9 === offset)
    for (const endpoint of chosen) endpoint.fault = fault
    await sleep(FAULT_DURATION_MS)
    for (const endpoint of chosen) endpoint.fault = 'none'
  }
}

/** Stops the endpoints of the given VMs and starts those that are still stopped after twice the usual duration. */
async function stopAndRestartEndpoints (deployment: Deployment, vms: readonly string[]): Promise<void> {
  const stopped = vms.map((vm) => deployment.endpoints.get(vm)).filter((endpoint) => endpoint?.isRunning === true)
  for (const endpoint of stopped) endpoint?.stop(false)
  await sleep(2 * FAULT_DURATION_MS)
  for (const endpoint of stopped) if (endpoint?.isRunning === false) await endpoint.start()
}

/** Faults by the name that `--fault` takes. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  'kill-entry': async ({ entries }, randomBelow) => { await restart(pickRandom(entries, randomBelow).process, 400) },
  'freeze-entry': async ({ entries }, randomBelow) => { await freeze(pickRandom(entries, randomBelow).process, 3000) },
  'kill-control': async ({ controls }, randomBelow) => { await restart(pickRandom(controls, randomBelow).process, 500) },
  'kill-leader': async (deployment) => { await restart((await deployment.leader()).process, 500) },
  'freeze-leader': async (deployment) => { await freeze((await deployment.leader()).process, 4000) },
  'silent-control': createControlLinkFault('silent'),
  'silent-connections': createControlLinkFault('silentOld'),
  'deaf-control': createControlLinkFault('deaf'),
  'mute-control': createControlLinkFault('mute'),
  'reset-control': createControlLinkFault('reset'),
  'slow-control': async ({ controls }, randomBelow) => {
    const { proxy } = pickRandom(controls, randomBelow)
    proxy.delayMs = 100
    await sleep(FAULT_DURATION_MS)
    proxy.delayMs = 0
  },
  'silent-endpoints': async ({ endpointProxies }, randomBelow) => {
    const offset = randomBelow(5)
    const proxies = [...endpointProxies.values()].filter((_each, index) => index % 5 === offset)
    for (const proxy of proxies) proxy.setFault('silentOld')
    await sleep(FAULT_DURATION_MS)
    for (const proxy of proxies) proxy.setFault('none')
  },
  'crossed-answers': createEndpointFault('crossesAnswers'),
  'truncated-answers': createEndpointFault('truncates'),
  'reset-answers': createEndpointFault('resets'),
  'late-answers': createEndpointFault('late'),
  'failing-workers': createEndpointFault('failsAll'),
  'cut-off-endpoints': async ({ endpoints }, randomBelow) => {
    const offset = randomBelow(8)
    const chosen = [...endpoints.values()].filter((_each, index) => index % 8 === offset)
    for (const endpoint of chosen) endpoint.isCutOff = true
    await sleep(2 * FAULT_DURATION_MS)
    for (const endpoint of chosen) endpoint.isCutOff = false
  },
  'rack-loss': async (deployment, randomBelow) => {
    const vms = listVms(deployment.options.fleet)
    const rack = pickRandom(vms, randomBelow).rack
    await stopAndRestartEndpoints(deployment, vms.filter((vm) => vm.rack === rack).map((vm) => vm.id))
  },
  'zone-loss': async (deployment, randomBelow) => {
    const vms = listVms(deployment.options.fleet)
    const zone = pickRandom(deployment.options.fleet.zones, randomBelow)
    await stopAndRestartEndpoints(deployment, vms.filter((vm) => vm.zone === zone).map((vm) => vm.id))
  }
}
