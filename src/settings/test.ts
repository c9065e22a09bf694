import { expect } from 'chai'
import { loadSettings } from './index.js'
import { integerBetween, parseAddress, parseName } from './parsers.js'

const SPECS = {
  id: { flag: 'id', value: 'name', help: 'name', isRequired: true, parse: parseName },
  listen: { flag: 'listen', value: 'address', help: 'address', isRequired: true, parse: parseAddress },
  size: { flag: 'pool-size', value: 'n', help: 'size', fallback: '3', parse: integerBetween(1, 9) }
} as const

describe('loadSettings', () => {
  let written: string[]
  let write: typeof process.stderr.write

  beforeEach(() => {
    written = []
    write = process.stderr.write
    process.stderr.write = ((text: string) => written.push(text) > 0) as typeof process.stderr.write
  })

  afterEach(() => {
    process.stderr.write = write
    delete process.env['OLEANDERWARD_POOL_SIZE']
  })

  it('reads flags and defaults', () => {
    const loaded = loadSettings('x', '', SPECS, ['--id', 'a', '--listen', '127.0.0.1:1', '--check'])
    expect(loaded).to.deep.equal({ values: { id: 'a', listen: '127.0.0.1:1', size: 3 }, isCheck: true })
  })

  it('reads environment variables', () => {
    process.env['OLEANDERWARD_POOL_SIZE'] = '5'
    const loaded = loadSettings('x', '', SPECS, ['--id', 'a', '--listen', '127.0.0.1:1'])
    expect(loaded).to.have.nested.property('values.size', 5)
  })

  it('reports all findings together, each with its flag or environment variable', () => {
    process.env['OLEANDERWARD_POOL_SIZE'] = '12'
    const loaded = loadSettings('x', '', SPECS, ['--listen', 'here'])
    expect(loaded).to.deep.equal({ exitCode: 2 })
    expect(written).to.deep.equal([
      '--id: error: is required; pass the flag or set OLEANDERWARD_ID\n',
      '--listen: error: expected an IP address and a port such as 10.0.0.1:7000, got "here"\n',
      'OLEANDERWARD_POOL_SIZE: error: expected an integer from 1 to 9, got "12"\n'
    ])
  })

  it('rejects an unknown flag', () => {
    expect(loadSettings('x', '', SPECS, ['--id', 'a', '--listen', '127.0.0.1:1', '--lisen', 'x'])).to.deep.equal({ exitCode: 2 })
  })
})
