import { expect } from 'chai'
import type { ObservedRun } from '../../../platform/standin/worker.js'
import { SoakOracle } from './index.js'

const ID = '00000000000000aa'
const FIRST_TASK = `${ID}.0.0.0`
const LAST_TASK = `${ID}.0.1.0`

function createOracle (): SoakOracle {
  const oracle = new SoakOracle()
  oracle.expectJob(ID, 1)
  oracle.settle(ID, 'accepted')
  return oracle
}

function createRun (worker: string, task: string, run = 1, settle = (): void => {}): ObservedRun {
  return { worker, task, run, stopsAt: Number.POSITIVE_INFINITY, settle }
}

function start (oracle: SoakOracle, worker: string, task: string, running = 1): ObservedRun {
  const started = createRun(worker, task)
  oracle.onStart(started, running)
  return started
}

function runToCompletion (oracle: SoakOracle, task: string): void {
  const started = start(oracle, 'w', task)
  oracle.onEnd(started, 'done')
  oracle.onAcknowledged(started, 'done')
}

describe('SoakOracle', () => {
  it('reports no violation for a job that runs correctly', () => {
    const oracle = createOracle()
    runToCompletion(oracle, FIRST_TASK)
    runToCompletion(oracle, LAST_TASK)
    oracle.show(ID, 'completed')
    expect(oracle.violations).to.deep.equal([])
  })

  const cases: Readonly<Record<string, (oracle: SoakOracle) => void>> = {
    'a task that runs on two workers at once': (oracle) => {
      start(oracle, 'w', FIRST_TASK)
      start(oracle, 'x', FIRST_TASK)
    },
    'a second run of a task beside the first one on the same worker': (oracle) => {
      oracle.onStart(createRun('w', FIRST_TASK, 1), 1)
      oracle.onStart(createRun('w', FIRST_TASK, 2), 2)
    },
    'an end that is acknowledged after the task has started again': (oracle) => {
      const first = start(oracle, 'w', FIRST_TASK)
      oracle.onEnd(first, 'done')
      start(oracle, 'x', FIRST_TASK)
      oracle.onAcknowledged(first, 'done')
    },
    'a start after the end of the task was acknowledged': (oracle) => {
      runToCompletion(oracle, FIRST_TASK)
      start(oracle, 'x', FIRST_TASK)
    },
    'a step that starts before the previous one is done': (oracle) => { start(oracle, 'w', LAST_TASK) },
    'a start for a job that was never submitted': (oracle) => { start(oracle, 'w', '00000000000000bb.0.0.0') },
    'a worker that exceeds its capacity': (oracle) => { start(oracle, 'w', FIRST_TASK, 17) },
    'a job that starts after its caller was told that it never runs': (oracle) => {
      oracle.settle(ID, 'refused')
      start(oracle, 'w', FIRST_TASK)
    },
    'a caller that is told that its job never runs after it has run': (oracle) => {
      start(oracle, 'w', FIRST_TASK)
      oracle.settle(ID, 'refused')
    },
    'a job that is shown as completed before all its tasks are done': (oracle) => {
      runToCompletion(oracle, FIRST_TASK)
      oracle.show(ID, 'completed')
    }
  }
  for (const [violation, causeViolation] of Object.entries(cases)) {
    it(`reports ${violation}`, () => {
      const oracle = createOracle()
      causeViolation(oracle)
      expect(oracle.violations).to.have.length(1)
    })
  }

  it('allows a task to start again if its worker crashed or if its end was never acknowledged', () => {
    const oracle = createOracle()
    start(oracle, 'w', FIRST_TASK)
    oracle.onCrash('w')
    oracle.onEnd(start(oracle, 'x', FIRST_TASK), 'done')
    start(oracle, 'y', FIRST_TASK)
    expect(oracle.violations).to.deep.equal([])
  })

  it('allows a start after the lease of an earlier run has expired, even if its worker has not noticed yet', () => {
    const oracle = createOracle()
    const first = createRun('w', FIRST_TASK, 1, () => { oracle.onEnd(first, 'lapsed') })
    oracle.onStart(first, 1)
    oracle.onStart(createRun('x', FIRST_TASK, 2), 1)
    expect(oracle.violations).to.deep.equal([])
  })
})
