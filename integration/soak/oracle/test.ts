import { expect } from 'chai'
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

function runToCompletion (oracle: SoakOracle, task: string): void {
  oracle.onStart('w', task, 1)
  oracle.onEnd('w', task, 'done')
  oracle.onAcknowledged(task, 'done')
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
      oracle.onStart('w', FIRST_TASK, 1)
      oracle.onStart('x', FIRST_TASK, 1)
    },
    'a start after the end of the task was acknowledged': (oracle) => {
      runToCompletion(oracle, FIRST_TASK)
      oracle.onStart('x', FIRST_TASK, 1)
    },
    'a step that starts before the previous one is done': (oracle) => { oracle.onStart('w', LAST_TASK, 1) },
    'a start for a job that was never submitted': (oracle) => { oracle.onStart('w', '00000000000000bb.0.0.0', 1) },
    'a worker that exceeds its capacity': (oracle) => { oracle.onStart('w', FIRST_TASK, 17) },
    'a job that starts after its caller was told that it never runs': (oracle) => {
      oracle.settle(ID, 'refused')
      oracle.onStart('w', FIRST_TASK, 1)
    },
    'a caller that is told that its job never runs after it has run': (oracle) => {
      oracle.onStart('w', FIRST_TASK, 1)
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
    oracle.onStart('w', FIRST_TASK, 1)
    oracle.onCrash('w')
    oracle.onStart('x', FIRST_TASK, 1)
    oracle.onEnd('x', FIRST_TASK, 'done')
    oracle.onStart('y', FIRST_TASK, 1)
    expect(oracle.violations).to.deep.equal([])
  })
})
