/** Lists all scenarios. */
import { baseline } from './baseline.js'
import { commits } from './commits.js'
import { configChurn, operatorsRace, repairThenLoss, restartStorm, silentControl } from './control.js'
import { shiftedDemand, wave, waveRackLoss, zoneLoss } from './fleet.js'
import { idle } from './idle.js'
import { badWorkers, cancelWave, jobSurge } from './jobs.js'
import { crossed, entryKill, resend, silent } from './requests.js'
import { mixed } from './mixed.js'
import { surge } from './surge.js'
import type { Scenario } from './types.js'

/** Scenarios in the order of `--list`. */
export const SCENARIOS: readonly Scenario[] = [baseline, idle, surge, crossed, silent, entryKill, resend, commits, restartStorm, silentControl, operatorsRace, repairThenLoss, configChurn, wave, waveRackLoss, zoneLoss, shiftedDemand, jobSurge, badWorkers, cancelWave, mixed]
