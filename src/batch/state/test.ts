import { expect } from 'chai'
import { createConfig, createJob, createStep, createWorker } from '../fixtures/index.js'
import { createStateHarness as createHarness, JOB_ID as ID, type StateHarness } from '../fixtures/stateHarness.js'
import { countRestarts } from './incarnations.js'
import { BatchState } from './index.js'
import type { JobRecord, TaskRecord } from './records.js'

const QUEUE = 'studio.example /cleanup/'

describe('BatchState', () => {
  it('keeps the highest version of the configuration, with the content received first', () => {
    const harness = createHarness()
    expect(harness.apply('configure', { config: createConfig(5) })).to.equal(true)
    expect(harness.apply('configure', { config: createConfig(4) })).to.equal(false)
    expect(harness.apply('configure', { config: { ...createConfig(5), document: 'other' } })).to.equal(false)
    expect(harness.state.data.config).to.include({ version: 5, document: '{"version":5}' })
  })

  it('accepts a job that is submitted twice only once', () => {
    const harness = createHarness()
    expect(harness.accept()).to.deep.equal(['added'])
    harness.place(`${ID}.0.0.0`, 1)
    expect(harness.accept()).to.deep.equal(['known'])
    expect(harness.state.runsOn('w@1').size).to.equal(1)
  })

  it('lists the runs of a job that has ended until they have ended, also after a restore', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ count: 2 })] })
    harness.place(`${ID}.0.0.0`, 1)
    harness.place(`${ID}.0.0.1`, 1, 'x@1')
    expect([...harness.state.unneededRuns.values()]).to.deep.equal([])
    harness.apply('cancel', { ids: [ID] })
    const restored = new BatchState()
    restored.restore(harness.state.serialize())
    for (const state of [harness.state, restored]) expect([...state.unneededRuns.values()]).to.deep.equal([`${ID}.0.0.0`, `${ID}.0.0.1`])
    harness.end(`${ID}.0.0.0`, 1, 'stopped')
    expect([...harness.state.unneededRuns]).to.have.length(1)
    expect([...harness.state.unneededRuns.keys()][0]).to.include({ run: 1, worker: 'x@1' })
  })

  it('lists the other run of a task that is done, but not the runs of other tasks', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ count: 2 })] })
    harness.place(`${ID}.0.0.0`, 1, 'x@1')
    harness.place(`${ID}.0.0.0`, 2)
    harness.place(`${ID}.0.0.1`, 1)
    harness.end(`${ID}.0.0.0`, 2, 'done')
    expect([...harness.state.unneededRuns].map(([{ run, worker }, task]) => ({ run, worker, task }))).to.deep.equal([{ run: 1, worker: 'x@1', task: `${ID}.0.0.0` }])
    const restored = new BatchState()
    restored.restore(harness.state.serialize())
    expect([...restored.unneededRuns.values()]).to.deep.equal([`${ID}.0.0.0`])
  })

  it('completes a job with its last task, not before', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep(), createStep({ after: [0], count: 2 })] })
    for (const [i, task] of ['0.0', '1.0', '1.1'].entries()) {
      expect(harness.phase).to.equal('active')
      harness.place(`${ID}.0.${task}`, 1)
      harness.end(`${ID}.0.${task}`, 1, 'done')
      expect(harness.phase).to.equal(i === 2 ? 'completed' : 'active')
    }
  })

  it('records the end of the active run only, and only once', () => {
    const harness = createHarness()
    harness.accept()
    harness.place(`${ID}.0.0.0`, 1)
    harness.end(`${ID}.0.0.0`, 2, 'done')
    expect(harness.phase).to.equal('active')
    harness.end(`${ID}.0.0.0`, 1, 'failed')
    harness.end(`${ID}.0.0.0`, 1, 'failed')
    expect(harness.phase).to.equal('active')
  })

  it('fails a job when a task reaches the failure limit of its queue; other outcomes do not count', () => {
    const harness = createHarness()
    harness.accept()
    const outcomes = ['lapsed', 'failed', 'stopped', 'lost', 'refused', 'failed'] as const
    outcomes.forEach((outcome, i) => {
      expect(harness.phase).to.equal('active')
      harness.place(`${ID}.0.0.0`, i + 1)
      harness.end(`${ID}.0.0.0`, i + 1, outcome)
    })
    expect(harness.phase).to.equal('failed')
  })

  it('gives a job up when two workers have crashed under a task of it alone', () => {
    const harness = createHarness()
    harness.accept()
    harness.lose(`${ID}.0.0.0`, 1, 'shared')
    harness.lose(`${ID}.0.0.0`, 2, 'sole')
    expect(harness.phase).to.equal('active')
    harness.lose(`${ID}.0.0.0`, 3, 'sole', 'x@1')
    expect(harness.phase).to.equal('failed')
  })

  it('takes a machine whose worker crashed twice under a task for one, but gives the job up after three crashes', () => {
    const harness = createHarness()
    harness.accept()
    for (const run of [1, 2]) harness.lose(`${ID}.0.0.0`, run, 'sole')
    expect(harness.phase).to.equal('active')
    harness.lose(`${ID}.0.0.0`, 3, 'sole')
    expect(harness.phase).to.equal('failed')
  })

  it('remembers the machines whose worker crashed under a task, so that it starts elsewhere', () => {
    const harness = createHarness()
    harness.accept()
    harness.lose(`${ID}.0.0.0`, 1, 'shared')
    expect(harness.state.data.jobs.get(ID)?.occurrences.get(0)?.[0]?.tasks[0]?.failedOn).to.deep.equal(['m-w'])
  })

  it('gives a job up for a worker that was silent until its lease expired only once its next incarnation reports, also after a restore', () => {
    const harness = createHarness()
    harness.accept()
    harness.lose(`${ID}.0.0.0`, 1, 'sole')
    harness.place(`${ID}.0.0.0`, 2, 'x@1')
    harness.apply('end', { ends: [{ task: `${ID}.0.0.0`, run: 2, worker: 'x@1', outcome: 'lapsed', checkpoint: '', evidence: 'sole', isCrashConfirmed: false }] })
    const restored = new BatchState()
    restored.restore(harness.state.serialize())
    for (const state of [harness.state, restored]) {
      const enrol = (id: string, born: number, machine: string): void => { state.apply(99, { type: 'enrol', at: 2000, workers: [createWorker(id, { born, machine })] }) }
      enrol('other', 9, 'm-other')
      expect(state.data.jobs.get(ID)?.state).to.equal('active')
      enrol('new', 2, 'm-x')
      expect(state.data.jobs.get(ID)?.state).to.equal('failed')
      expect(state.activeJobs.size).to.equal(0)
    }
  })

  it('does not take a worker for crashed that was only cut off', () => {
    const harness = createHarness()
    harness.accept()
    harness.lose(`${ID}.0.0.0`, 1, 'sole')
    harness.place(`${ID}.0.0.0`, 2, 'x@1')
    harness.apply('end', { ends: [{ task: `${ID}.0.0.0`, run: 2, worker: 'x@1', outcome: 'lapsed', checkpoint: '', evidence: 'sole', isCrashConfirmed: false }] })
    harness.apply('enrol', { workers: [createWorker('x')] })
    harness.apply('enrol', { workers: [createWorker('x', { born: 2 })] })
    expect(harness.phase).to.equal('active')
  })

  it('gives a job up whose long-running task crashes its workers', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ isLasting: true })] })
    for (const worker of ['w@1', 'x@1']) harness.lose(`${ID}.0.0.0`, worker === 'w@1' ? 1 : 2, 'sole', worker)
    expect(harness.phase).to.equal('failed')
  })

  it('does not give a job up for crashes that other jobs may have caused, nor for losses that tell nothing', () => {
    const harness = createHarness()
    harness.accept()
    for (let run = 1; run <= 10; run++) harness.lose(`${ID}.0.0.0`, run, run % 2 === 0 ? 'shared' : null)
    expect(harness.phase).to.equal('active')
  })

  it('counts crashes of a gang by member', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ isGang: true, count: 2 })] })
    harness.lose(`${ID}.0.0.0`, 1, 'sole')
    harness.lose(`${ID}.0.0.1`, 1, 'sole')
    expect(harness.phase).to.equal('active')
    harness.lose(`${ID}.0.0.1`, 2, 'sole', 'x@1')
    expect(harness.phase).to.equal('failed')
  })

  for (const [name, end] of [
    ['failed by itself', (harness: StateHarness) => { harness.place(`${ID}.0.0.0`, 2); harness.end(`${ID}.0.0.0`, 2, 'failed') }],
    ['was survived by the worker that was lost later', (harness: StateHarness) => { harness.lose(`${ID}.0.0.0`, 2, 'survived') }]
  ] as const) {
    it(`forgets the crashes under a task once a run of it ${name}`, () => {
      const harness = createHarness()
      harness.accept()
      harness.lose(`${ID}.0.0.0`, 1, 'sole')
      expect(harness.state.data.jobs.get(ID)?.isSuspect).to.equal(true)
      end(harness)
      expect(harness.state.data.jobs.get(ID)?.isSuspect).to.equal(false)
      harness.lose(`${ID}.0.0.0`, 3, 'sole', 'x@1')
      expect(harness.phase).to.equal('active')
    })
  }

  it('suspects a job until each of its tasks under which a worker has crashed is done or was survived', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ count: 2 })] })
    harness.lose(`${ID}.0.0.0`, 1, 'shared')
    harness.lose(`${ID}.0.0.1`, 1, 'shared')
    harness.place(`${ID}.0.0.0`, 2)
    harness.end(`${ID}.0.0.0`, 2, 'done')
    expect(harness.state.data.jobs.get(ID)?.isSuspect).to.equal(true)
    harness.lose(`${ID}.0.0.1`, 2, 'survived')
    expect(harness.state.data.jobs.get(ID)?.isSuspect).to.equal(false)
  })

  it('keeps the crashes under a task in a snapshot, and restores snapshots of builds that did not count them', () => {
    const harness = createHarness()
    harness.accept()
    harness.lose(`${ID}.0.0.0`, 1, 'sole')
    const copy = new BatchState()
    copy.restore(harness.state.serialize())
    expect(copy.data).to.deep.equal(harness.state.data)
    const job = harness.state.data.jobs.get(ID) as Partial<JobRecord>
    const task = job.occurrences?.get(0)?.[0]?.tasks[0] as Partial<TaskRecord>
    delete job.isSuspect
    delete task.crashes
    delete task.soleCrashesOn
    copy.restore(harness.state.serialize())
    expect(copy.data.jobs.get(ID)?.isSuspect).to.equal(false)
    expect(copy.data.jobs.get(ID)?.occurrences.get(0)?.[0]?.tasks[0]).to.deep.include({ crashes: 0, soleCrashesOn: [] })
  })

  it('rejects placements of outdated runs, of done tasks and of ended jobs', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ count: 2 })] })
    expect(harness.place(`${ID}.0.0.0`, 1)).to.equal(true)
    expect(harness.place(`${ID}.0.0.0`, 1)).to.equal(false)
    harness.end(`${ID}.0.0.0`, 1, 'done')
    expect(harness.place(`${ID}.0.0.0`, 2)).to.equal(false)
    harness.apply('cancel', { ids: [ID] })
    expect(harness.place(`${ID}.0.0.1`, 1)).to.equal(false)
  })

  it('rejects placements on unknown workers', () => {
    const harness = createHarness()
    harness.accept()
    expect(harness.place(`${ID}.0.0.0`, 1, 'gone@1')).to.equal(false)
  })

  it('keeps a job of long-running tasks active regardless of how they end', () => {
    const harness = createHarness(1)
    harness.accept({ steps: [createStep({ isLasting: true })] })
    harness.place(`${ID}.0.0.0`, 1)
    harness.end(`${ID}.0.0.0`, 1, 'done')
    harness.place(`${ID}.0.0.0`, 2)
    harness.end(`${ID}.0.0.0`, 2, 'failed')
    expect(harness.phase).to.equal('active')
    expect(harness.place(`${ID}.0.0.0`, 3)).to.equal(true)
  })

  it('completes a gang with its first member, and shares checkpoints between its members', () => {
    const harness = createHarness()
    harness.accept({ steps: [createStep({ isGang: true, count: 2 })] })
    for (const i of [0, 1]) harness.place(`${ID}.0.0.${i}`, 1)
    harness.end(`${ID}.0.0.0`, 1, 'stopped', 'half')
    harness.end(`${ID}.0.0.1`, 1, 'broken')
    expect(harness.state.data.jobs.get(ID)?.occurrences.get(0)?.[0]?.tasks.map(({ checkpoint }) => checkpoint)).to.deep.equal(['half', 'half'])
    for (const i of [0, 1]) harness.place(`${ID}.0.0.${i}`, 2)
    harness.end(`${ID}.0.0.1`, 2, 'done')
    expect(harness.phase).to.equal('completed')
  })

  it('completes a repeating job with its last occurrence', () => {
    const harness = createHarness()
    harness.accept({ repeatCount: 2, intervalMs: 10 })
    for (const occurrence of [0, 1]) {
      expect(harness.phase).to.equal('active')
      harness.place(`${ID}.${occurrence}.0.0`, 1)
      if (occurrence === 1) harness.state.data.jobs.get(ID)?.occurrences.get(0)
      harness.end(`${ID}.${occurrence}.0.0`, 1, 'done')
    }
    expect(harness.phase).to.equal('completed')
  })

  it('counts jobs that have not started as pending', () => {
    const harness = createHarness()
    harness.accept()
    expect(harness.state.getPendingCount(QUEUE)).to.equal(1)
    harness.place(`${ID}.0.0.0`, 1)
    expect(harness.state.getPendingCount(QUEUE)).to.equal(0)
    harness.apply('cancel', { ids: [ID] })
    expect(harness.state.getPendingCount(QUEUE)).to.equal(0)
  })

  it('rebuilds the same indexes from a snapshot', () => {
    const harness = createHarness()
    harness.accept()
    harness.apply('accept', { jobs: [createJob('00000000000000bb')] })
    harness.place(`${ID}.0.0.0`, 1)
    const copy = new BatchState()
    copy.restore(harness.state.serialize())
    expect([...copy.activeJobs.keys()]).to.deep.equal([...harness.state.activeJobs.keys()])
    expect(copy.getPendingCount(QUEUE)).to.equal(1)
    expect([...copy.runsOn('w@1')]).to.deep.equal([...harness.state.runsOn('w@1')])
    expect(copy.data).to.deep.equal(harness.state.data)
  })

  it('counts the restarts of a worker under its id, also after a restore, and forgets them some time after its dismissal', () => {
    const harness = createHarness()
    const enrol = (born: number): void => { harness.apply('enrol', { workers: [createWorker('w', { born })] }) }
    enrol(2)
    harness.apply('dismiss', { workers: ['w@1', 'w@2'] })
    enrol(3)
    enrol(3)
    const restored = new BatchState()
    restored.restore(harness.state.serialize())
    for (const { data } of [harness.state, restored]) {
      expect([1, 2, 3].map((born) => countRestarts(data, { id: 'w', born }))).to.deep.equal([0, 0, 2])
      expect(countRestarts(data, { id: 'x', born: 1 })).to.equal(0)
    }
    harness.apply('dismiss', { workers: ['w@3', 'x@1'] })
    harness.apply('purge', { endedBefore: 1_000_000 })
    enrol(3)
    expect(countRestarts(harness.state.data, { id: 'w', born: 3 }), 'a worker that was cut off for a while').to.equal(2)
    expect([...harness.state.data.incarnations.keys()]).to.deep.equal(['w'])
    harness.apply('dismiss', { workers: ['w@3'] })
    harness.apply('purge', { endedBefore: 1_000_000_000 })
    expect([...harness.state.data.incarnations.keys()]).to.deep.equal([])
  })

  it('purges a job only after its retention has expired', () => {
    const harness = createHarness()
    harness.accept()
    harness.apply('cancel', { ids: [ID] })
    expect(harness.apply('purge', { endedBefore: 1 })).to.equal(0)
    expect(harness.apply('purge', { endedBefore: 1_000_000 })).to.equal(1)
  })

  it('completes a wave once every machine has begun maintenance or is gone, and never reverts a state', () => {
    const harness = createHarness()
    harness.apply('startWave', { wave: { id: 1, machines: ['m', 'n'], deadlineMs: 1000, cap: 1 } })
    harness.apply('markUpkeep', { wave: 1, marks: [{ machine: 'm', state: 'begun' }] })
    harness.apply('markUpkeep', { wave: 1, marks: [{ machine: 'm', state: 'ordered' }] })
    expect(harness.state.data.waves.get(1)?.machines.get('m')).to.equal('begun')
    expect(harness.state.data.waves.get(1)?.isCompleted).to.equal(false)
    harness.apply('markUpkeep', { wave: 1, marks: [{ machine: 'n', state: 'gone' }] })
    expect(harness.state.data.waves.get(1)?.isCompleted).to.equal(true)
  })
})
