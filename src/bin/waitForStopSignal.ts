/** Waits for the signal to stop. */
import type { Logger } from '../logs/index.js'

/**
 * Resolves when the process is asked to stop. A second signal ends it at once.
 *
 * @param log - told which signal came
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
