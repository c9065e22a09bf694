import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { TASK_LEASE_MS, VIEW_LEASE_MS } from '../../contracts/constants.js'
import type { VmView } from '../../contracts/views/index.js'
import { FleetView } from '../../machines/fleetView/index.js'
import { AnnouncementHandler, announcementSchema, type AnnouncementAnswer } from './index.js'

describe('AnnouncementHandler', () => {
  const task = { job: 'j', token: 4, boot: 'b1', action: 'run' as const }
  let clock: ManualClock
  let view: FleetView
  let handler: AnnouncementHandler

  beforeEach(() => {
    clock = new ManualClock()
    view = new FleetView(clock, 'adaptive')
    handler = new AnnouncementHandler(view, clock, () => {})
    renew({ id: 'vm', rack: 'r', zone: 'z', pool: 'p', phase: 'serving', health: 'up', tasks: [task] })
  })

  function renew (vm: VmView): void {
    view.update({ leaseMs: VIEW_LEASE_MS, entries: 1, view: { rev: 1, version: 1, full: true, rules: null, vms: [vm], removed: [] }, endpoints: { epoch: 'e', rev: 0, records: [], removed: [] } }, clock.now())
  }

  function announce (fields: object = {}): AnnouncementAnswer {
    return handler.handle(announcementSchema.parse({ vm: 'vm', boot: 'b1', bootedAt: 1, revision: 0, address: '127.0.0.1:1', services: [], slots: 8, connections: 64, state: 'ready', inFlight: 0, ...fields }))
  }

  it('returns the tasks of the VM with their lease', () => {
    expect(announce()).to.deep.include({ known: true, drain: false, taskLeaseMs: TASK_LEASE_MS, tasks: [task] })
  })

  it('does not renew the lease while the view is stale', async () => {
    await clock.advance(VIEW_LEASE_MS + 1)
    expect(announce()).to.deep.include({ taskLeaseMs: 0, tasks: null })
  })

  it('returns no task that was placed on an earlier incarnation of the endpoint', () => {
    announce()
    expect(announce({ boot: 'b2', bootedAt: 2 }).tasks).to.deep.equal([])
  })

  it('acknowledges an ended task only after the control group has recorded its report', () => {
    const reports = [{ job: 'j', token: 4, state: 'done' }]
    expect(announce({ tasks: reports }).acknowledged).to.deep.equal([])
    const report = handler.collect()
    expect(report.tasks).to.deep.equal([{ vm: 'vm', reports }])
    handler.confirm(report)
    expect(announce({ tasks: reports }).acknowledged).to.deep.equal([{ job: 'j', token: 4 }])
  })

  it('reports updates again after a failed report', () => {
    announce()
    const report = handler.collect()
    expect(handler.hasUpdates).to.equal(false)
    handler.restore(report)
    expect(handler.collect().changed.map((record) => record.vm)).to.deep.equal(['vm'])
  })

  it('tells the endpoint of a draining VM to drain', () => {
    renew({ id: 'vm', rack: 'r', zone: 'z', pool: 'p', phase: 'draining', health: 'up', tasks: [] })
    expect(announce().drain).to.equal(true)
  })
})
