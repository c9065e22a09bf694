import { expect } from 'chai'
import { createJob, createStep } from '../fixtures/index.js'
import { ensureOccurrence } from '../state/handlers.js'
import type { JobRecord, TaskRecord } from '../state/records.js'
import type { JobSpec } from '../types.js'
import { countDueOccurrences, listStartable } from './index.js'

const ID = '00000000000000aa'
const NOW = 50_000

function createRecord (changes: Partial<JobSpec> = {}): JobRecord {
  return { ...createJob(ID, changes), acceptedAt: 0, isBeyondRate: false, state: 'active', hasStarted: false, isSuspect: false, endedAt: 0, occurrences: new Map(), doneOccurrences: 0 }
}

const listTasks = (job: JobRecord, wall = NOW): string[] => [...listStartable(job, wall, () => null)].map(({ members }) => members.map(({ task }) => task.slice(ID.length + 1)).join('+'))

function getTask (job: JobRecord, step: number, index: number): TaskRecord {
  return ensureOccurrence(job, 0)[step]?.tasks[index] as TaskRecord
}

describe('listStartable', () => {
  it('holds a task that may have crashed its worker until the worker has had time to report again', () => {
    const job = createRecord({ steps: [createStep({ count: 2 })] })
    Object.assign(getTask(job, 0, 0), { crashes: 1, lastEndAt: NOW - 300 })
    Object.assign(getTask(job, 0, 1), { lastEndAt: NOW - 300 })
    expect(listTasks(job)).to.deep.equal(['0.0.1'])
    expect(listTasks(job, NOW + 300)).to.deep.equal(['0.0.0', '0.0.1'])
  })

  it('holds no long-running task that may have crashed its worker, since the lease that it was lost with gave the worker that time (LOST)', () => {
    const job = createRecord({ steps: [createStep({ isLasting: true })] })
    Object.assign(getTask(job, 0, 0), { crashes: 1, lastEndAt: NOW - 100 })
    expect(listTasks(job)).to.deep.equal(['0.0.0'])
  })

  it('holds the suspected tasks of a job back while one is on trial, and no others', () => {
    const job = createRecord({ steps: [createStep({ count: 3 }), createStep({ count: 2, isGang: true })] })
    Object.assign(getTask(job, 0, 1), { crashes: 1 })
    Object.assign(getTask(job, 1, 0), { crashes: 1 })
    const groups = [...listStartable(job, NOW, () => null)].map(({ members }) => members.map(({ suspectJob }) => suspectJob))
    expect(groups).to.deep.equal([[null], [ID], [null], [ID, ID]])
    expect([...listStartable(job, NOW, () => null, false)].flatMap(({ members }) => members.map(({ task }) => task.slice(ID.length + 1)))).to.deep.equal(['0.0.0', '0.0.2'])
  })

  it('lists the tasks of steps without dependencies', () => {
    const job = createRecord({ steps: [createStep({ count: 2 }), createStep({ after: [0] })] })
    expect(listTasks(job)).to.deep.equal(['0.0.0', '0.0.1'])
  })

  it('lists a step once all tasks of the steps that it depends on are done', () => {
    const job = createRecord({ steps: [createStep(), createStep({ after: [0] })] })
    const [first] = ensureOccurrence(job, 0)
    Object.assign(first as object, { doneCount: 1 })
    getTask(job, 0, 0).isDone = true
    expect(listTasks(job)).to.deep.equal(['0.1.0'])
  })

  it('omits tasks that are running', () => {
    const job = createRecord({ steps: [createStep({ count: 2 })] })
    getTask(job, 0, 0).active.push({ run: 1, worker: 'w@1', placedAt: 0 })
    expect(listTasks(job)).to.deep.equal(['0.0.1'])
  })

  it('retries a task after a short delay, even when nothing was committed meanwhile', () => {
    const job = createRecord()
    getTask(job, 0, 0).lastEndAt = NOW
    expect(listTasks(job, NOW + 5)).to.deep.equal([])
    expect(listTasks(job, NOW + 100)).to.deep.equal(['0.0.0'])
  })

  it('retries at once when the wall clock was set back', () => {
    const job = createRecord()
    getTask(job, 0, 0).lastEndAt = NOW + 5000
    expect(listTasks(job, NOW)).to.deep.equal(['0.0.0'])
  })

  it('lists a gang only when all of its tasks may start', () => {
    const job = createRecord({ steps: [createStep({ count: 2, isGang: true })] })
    expect(listTasks(job)).to.deep.equal(['0.0.0+0.0.1'])
    getTask(job, 0, 0).active.push({ run: 1, worker: 'w@1', placedAt: 0 })
    expect(listTasks(job)).to.deep.equal([])
  })

  it('lists nothing while the answer of the advisor is pending', () => {
    expect([...listStartable(createRecord(), NOW, () => undefined)]).to.deep.equal([])
  })

  it('counts the occurrences that are due', () => {
    const job = createRecord({ repeatCount: 3, startAt: 1000, intervalMs: 500 })
    expect([999, 1000, 1499, 1500, 9000].map((wall) => countDueOccurrences(job, wall))).to.deep.equal([0, 1, 1, 2, 3])
  })
})
