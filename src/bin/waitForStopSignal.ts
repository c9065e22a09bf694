/** Waits for a signal to stop. */
import type { Logger } from '../logs/index.js'

/**
 * Resolves at the first SIGTERM or SIGINT. A second signal exits the process immediately.
 *
 * @param log - receives the name of the signal
 */
export function waitForStopSignal (log: Logger): Promise<void> {
  return new Promise((resolve) => {
    let isStopping = false
    const onSignal = (signal: NodeJS.Signals): void => {
      if (isStopping) process.exit(1)
      isStopping = true
      log.info(`Received ${signal}; stopping.`)
      resolve()
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
  })
}
