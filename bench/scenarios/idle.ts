/** Measures the resource usage of a group that serves no requests. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Deployment } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { CONTROL_COUNT, ENTRY_COUNT } from './requests.js'
import type { Scenario } from './types.js'

/** Time for the just-in-time compiler and caches to warm up before the measurement. */
const WARM_UP_MS = 5000

/** Runs the real number of processes with announced endpoints and without requests. */
export const idle: Scenario = {
  name: 'idle',
  description: 'processor time, memory and traffic of all processes without requests',
  run: async (options) => {
    const deployment = new Deployment({ fleet: FLEETS[options.deployment], controls: CONTROL_COUNT, entries: ENTRY_COUNT })
    try {
      await deployment.start()
      await sleep(WARM_UP_MS)
      const meter = new UsageMeter(deployment)
      await meter.begin()
      await sleep(options.seconds * 1000)
      return { control: await meter.end() }
    } finally {
      await deployment.stop()
    }
  }
}
