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
  it('finds nothing in a job that runs as it should', () => {
    const oracle = createOracle()
    runToCompletion(oracle, FIRST_TASK)
    runToCompletion(oracle, LAST_TASK)
    oracle.show(ID, 'completed')
    expect(oracle.violations).to.deep.equal([])
  })

  const cases: Readonly<Record<string, (oracle: SoakOracle) => void>> = {
    'a task that runs twice at the same time': (oracle) => {
      oracle.onStart('w', FIRST_TASK, 1)
      oracle.onStart('x', FIRST_TASK, 1)
    },
    'a start after an acknowledged end': (oracle) => {
      runToCompletion(oracle, FIRST_TASK)
      oracle.onStart('x', FIRST_TASK, 1)
    },
    'a step that does not wait for the one before': (oracle) => { oracle.onStart('w', LAST_TASK, 1) },
    'a job that nobody has handed in': (oracle) => { oracle.onStart('w', '00000000000000bb.0.0.0', 1) },
    'a worker beyond its room': (oracle) => { oracle.onStart('w', FIRST_TASK, 17) },
    'a job that runs after its caller was told that it never will': (oracle) => {
      oracle.settle(ID, 'refused')
      oracle.onStart('w', FIRST_TASK, 1)
    },
    'a caller who is told that a job never runs, though it did': (oracle) => {
      oracle.onStart('w', FIRST_TASK, 1)
      oracle.settle(ID, 'refused')
    },
    'a job that is shown as completed too early': (oracle) => {
      runToCompletion(oracle, FIRST_TASK)
      oracle.show(ID, 'completed')
    }
  }
  for (const [violation, causeViolation] of Object.entries(cases)) {
    it(`finds ${violation}`, () => {
      const oracle = createOracle()
      causeViolation(oracle)
      expect(oracle.violations).to.have.length(1)
    })
  }

  it('lets a task start again when its worker was lost, or when its end was never acknowledged', () => {
    const oracle = createOracle()
    oracle.onStart('w', FIRST_TASK, 1)
    oracle.onCrash('w')
    oracle.onStart('x', FIRST_TASK, 1)
    oracle.onEnd('x', FIRST_TASK, 'done')
    oracle.onStart('y', FIRST_TASK, 1)
    expect(oracle.violations).to.deep.equal([])
  })
})
