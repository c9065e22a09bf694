import { expect } from 'chai'
import { checkFleet } from '../../machines/checkFleet/index.js'
import { formatFinding } from '../findings/index.js'
import { parseInventory } from '../inventory/index.js'
import { parseRules } from './index.js'

const VALID_RULES = `sparePool: spare
services:
  publishing:
    pools: [publish]
    budget: { maxDown: 50% }
`

const VMS = parseInventory(`id,rack,zone,pool,cores,memoryGb,accelerators
p1,r1,a,publish,16,32,0
p2,r2,b,publish,16,32,0
s1,r1,a,spare,16,32,0
`, 'vms.csv').vms ?? []

function check (text: string): string[] {
  const { rules, findings, place } = parseRules(text, 'rules.yaml')
  const all = rules === null ? findings : [...findings, ...checkFleet(rules, VMS, place)]
  return all.map(formatFinding)
}

describe('parseRules and checkFleet', () => {
  it('accept valid rules and fill in defaults', () => {
    const { rules } = parseRules(VALID_RULES, 'rules.yaml')
    expect(check(VALID_RULES)).to.deep.equal([])
    expect(rules?.services['publishing']?.repeatable).to.deep.equal([])
  })

  it('report all findings of a file together, each with its position', () => {
    const text = VALID_RULES.replace('[publish]', '[]').replace('maxDown: 50%', 'maxDown: much') + 'colour: red\n'
    expect(check(text)).to.deep.equal([
      'rules.yaml:4:12: error: services.publishing.pools: Too small: expected array to have >=1 items',
      'rules.yaml:5:24: error: services.publishing.budget.maxDown: expected a count or a percentage such as 25%',
      'rules.yaml:6:9: error: colour: Unrecognized key: "colour"'
    ])
  })

  it('give the position of a syntax error', () => {
    expect(check('services: [')[0]).to.match(/^rules\.yaml:\d+:\d+: error: /)
  })

  it('report unknown pools', () => {
    expect(check(VALID_RULES.replace('[publish]', '[publish, pubish]'))).to.deep.equal([
      'rules.yaml:4:22: error: service publishing names pool pubish, but no VM of the inventory is in it'
    ])
  })

  it('report budgets that allow no VM or the whole service to be down', () => {
    expect(check(VALID_RULES.replace('50%', '10%'))[0]).to.match(/^rules\.yaml:5:24: error: .*lets none be down/)
    expect(check(VALID_RULES.replace('50%', '2'))[0]).to.match(/lets the whole service be down/)
  })

  it('report windows that never open or are too short for one VM', () => {
    const window = (text: string): string => `${VALID_RULES}maintenance:\n  windows:\n    - ${text}\n`
    expect(check(window('{ days: [], from: "01:00", to: "02:00" }'))[0]).to.match(/^rules\.yaml:8:7: error: .*names no day/)
    expect(check(window('{ days: [mon], from: "01:00", to: "01:00" }'))[0]).to.match(/never opens/)
    expect(check(window('{ days: [mon], from: "01:00", to: "01:02" }'))[0]).to.match(/open for 2 minutes, but one VM takes 5/)
  })
})

describe('checkFleet', () => {
  it('warns when the windows are too short to maintain every VM in time', () => {
    const tight = `${VALID_RULES}maintenance:\n  everyDays: 7\n  secondsPerVm: 5400\n  windows:\n    - { days: [mon], from: "01:00", to: "03:00" }\n`
    expect(check(tight)).to.deep.equal(['rules.yaml:7:3: warning: service publishing: 2 VMs, 1 at a time, take 3 hours, but the windows give 2 in 7 days'])
  })
})

describe('parseInventory', () => {
  it('reports a VM that is listed twice in a CSV file', () => {
    const { vms, findings } = parseInventory('id,rack,zone,pool,cores,memoryGb\na,r,z,p,1,1\na,r,z,p,1,1\n', 'vms.csv')
    expect(vms).to.equal(null)
    expect(findings.map(formatFinding)).to.deep.equal(['vms.csv:3:1: error: VM a is listed twice, first at line 2'])
  })

  it('reports invalid and missing fields with their lines', () => {
    const { findings } = parseInventory('id,rack,zone,pool,cores,memoryGb\na,r,z,Bad Pool,x,1\nb,,z,p,1,1\n', 'vms.csv')
    expect(findings.map((each) => each.line)).to.deep.equal([2, 2, 3])
  })

  it('parses JSON and gives the line of a finding', () => {
    const text = '{ "vms": [\n{ "id": "a", "rack": "r", "zone": "z", "pool": "p", "cores": 1, "memoryGb": 1 },\n{ "id": "b", "rack": "r", "zone": "z", "cores": 1, "memoryGb": 1 }\n] }'
    const { findings } = parseInventory(text, 'vms.json')
    expect(findings[0]?.line).to.equal(3)
    expect(findings[0]?.message).to.include('pool')
  })

  it('gives the position of a JSON syntax error', () => {
    const { findings } = parseInventory('[\n{ "id": ]', 'vms.json')
    expect(findings[0]).to.include({ line: 2, source: 'vms.json' })
  })
})
