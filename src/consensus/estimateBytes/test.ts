import { expect } from 'chai'
import { Packr } from 'msgpackr/pack'
import { createConfig, createJob, createQueue, createStep } from '../../batch/fixtures/index.js'
import { estimateBytes } from './index.js'

describe('estimateBytes', () => {
  const values: Readonly<Record<string, unknown>> = {
    'a heartbeat': { term: 7, entries: [], commitIndex: 12 },
    'a job': createJob('00000000000000aa', { payload: 'x'.repeat(4000), steps: Array.from({ length: 4 }, () => createStep()) }),
    'a configuration of 1,700 queues': { ...createConfig(1, Array.from({ length: 1700 }, (_, i) => createQueue({ name: `queue-${i}`, prefix: `/queue-${i}/` }))), document: 'x'.repeat(400_000) },
    bytes: new Uint8Array(10_000)
  }
  for (const [name, value] of Object.entries(values)) {
    it(`is off by less than a half for ${name}`, () => {
      const bytes = new Packr({ useRecords: false }).pack(value).length
      expect(estimateBytes(value) / bytes).to.be.within(0.67, 1.5)
    })
  }
})
