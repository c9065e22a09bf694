/** Measures the cost of a group and replaces the tables in docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { measurePoint, type CapacityPoint, type PointCost } from './points.js'
import { renderTables } from './tables.js'

const PAGE = fileURLToPath(new URL('../../docs/CAPACITY.md', import.meta.url))
const BEGIN = '<!-- tables: npm run capacity -->'
const END = '<!-- end of tables -->'

/** Point that all series share. */
const BASE_POINT: CapacityPoint = { vms: 250, pools: 5, entries: 4, controls: 3, changes: 0 }

/** The base point and points that differ from it in one dimension; those of the pools series have 1,000 VMs. */
const POINTS: readonly CapacityPoint[] = [
  ...[35, 250, 1000, 4000].map((vms) => ({ ...BASE_POINT, vms })),
  ...[100, 378].map((pools) => ({ ...BASE_POINT, vms: 1000, pools })),
  ...[1, 2, 8].map((entries) => ({ ...BASE_POINT, entries })),
  ...[5].map((controls) => ({ ...BASE_POINT, controls })),
  ...[1, 5].map((changes) => ({ ...BASE_POINT, changes }))
]

async function main (): Promise<void> {
  const costs: PointCost[] = []
  for (const point of POINTS) {
    const cost = await measurePoint(point)
    costs.push(cost)
    process.stderr.write(`${JSON.stringify(cost)}\n`)
  }
  const tables = renderTables(costs, BASE_POINT)
  const page = readFileSync(PAGE, 'utf8')
  const before = page.slice(0, page.indexOf(BEGIN) + BEGIN.length)
  const after = page.slice(page.indexOf(END))
  writeFileSync(PAGE, `${before}\n\n${tables}\n\n${after}`)
}

await main()
process.exit(0)
