/** Cost of a group that has nothing to do. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Deployment } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { CONTROL_COUNT, ENTRY_COUNT } from './requests.js'
import type { Scenario } from './types.js'

/** Time for compilers and caches to settle before the measurement. */
const WARM_UP_MS = 5000

/** All processes at their real number, endpoints announced, no requests. */
export const idle: Scenario = {
  name: 'idle',
  description: 'processor time, memory and traffic of all processes when there are no requests',
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
