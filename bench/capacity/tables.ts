/** Renders tables of the measured points, the fitted slopes and the extrapolation to the size to design for. */
import type { ResourceUsage } from '../report/index.js'
import type { CapacityPoint, PointCost } from './points.js'

/** Size to design for. */
const DESIGN_POINT: CapacityPoint = { vms: 4000, pools: 378, entries: 8, controls: 5, changes: 1800 / 86_400 }
/** Number of regional groups that could share the design size. */
const REGIONS = 7

/** Bounds for the resource usage of control on each node; the tables compare entries with them too. */
const CONTROL_BOUNDS: ResourceUsage = { cpuPercent: 1.9, rssMb: 64, bytesPerSecond: 7000 }

type Role = 'leader' | 'follower' | 'entry'
type Dimension = keyof CapacityPoint
type Measure = keyof ResourceUsage

const ROLES: readonly Role[] = ['leader', 'follower', 'entry']
const DIMENSIONS: readonly Dimension[] = ['vms', 'pools', 'entries', 'controls', 'changes']
const MEASURES: readonly Measure[] = ['cpuPercent', 'rssMb', 'bytesPerSecond']
const UNITS: Readonly<Record<Measure, string>> = { cpuPercent: '% of a core', rssMb: 'MB', bytesPerSecond: 'bytes/s' }

interface LineFit {
  readonly slope: number
  readonly base: number
  /** Largest distance of a measured point from the line. */
  readonly maxError: number
  readonly points: number
}

/** Fits a line to points by least squares. */
function fitLine (points: ReadonlyArray<{ readonly x: number, readonly y: number }>): LineFit {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length
  const squaredDeviationX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const slope = squaredDeviationX === 0 ? 0 : points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / squaredDeviationX
  const base = meanY - slope * meanX
  const maxError = Math.max(...points.map(({ x, y }) => Math.abs(y - base - slope * x)))
  return { slope, base, maxError, points: points.length }
}

/** Selects the points that differ from the base point in a single dimension; the pools series has 1,000 VMs. */
function selectSeries (costs: readonly PointCost[], base: CapacityPoint, dimension: Dimension): PointCost[] {
  const origin = dimension === 'pools' ? { ...base, vms: 1000 } : base
  return costs.filter(({ point }) => DIMENSIONS.every((other) => other === dimension || point[other] === origin[other]))
}

function formatNumber (value: number): string {
  if (value === 0) return '0'
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}

function fitDimension (costs: readonly PointCost[], base: CapacityPoint, role: Role, dimension: Dimension, measure: Measure): LineFit {
  return fitLine(selectSeries(costs, base, dimension).map((cost) => ({ x: cost.point[dimension], y: cost[role][measure] })))
}

/** Extrapolates the cost at the base point along the slopes of all dimensions. */
function extrapolate (costs: readonly PointCost[], base: CapacityPoint, role: Role, measure: Measure, target: CapacityPoint): number {
  const origin = costs.find(({ point }) => DIMENSIONS.every((dimension) => point[dimension] === base[dimension]))
  const start = origin?.[role][measure] ?? 0
  return DIMENSIONS.reduce((sum, dimension) => sum + fitDimension(costs, base, role, dimension, measure).slope * (target[dimension] - base[dimension]), start)
}

function renderPoints (costs: readonly PointCost[]): string[] {
  const rows = costs.map(({ point, leader, follower, entry, announcementsPerSecond, up }) => {
    const formatUsage = (usage: ResourceUsage): string => `${formatNumber(usage.cpuPercent)} / ${formatNumber(usage.rssMb)} / ${formatNumber(usage.bytesPerSecond)}`
    return `| ${point.vms} | ${point.pools} | ${point.entries} | ${point.controls} | ${point.changes} | ${formatNumber(announcementsPerSecond)} | ${up} | ${formatUsage(leader)} | ${formatUsage(follower)} | ${formatUsage(entry)} |`
  })
  return [
    '### Measured points',
    '',
    'Each cell: % of a core / MB resident / bytes a second between our processes.',
    '',
    '| VMs | pools | entries | members | changes/s | announcements/s | VMs up | leader | follower | entry |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows
  ]
}

function renderSlopes (costs: readonly PointCost[], base: CapacityPoint): string[] {
  const rows = ROLES.flatMap((role) => MEASURES.map((measure) => {
    const cells = DIMENSIONS.map((dimension) => {
      const { slope, maxError } = fitDimension(costs, base, role, dimension, measure)
      return `${formatNumber(slope)} (±${formatNumber(maxError)})`
    })
    return `| ${role} | ${UNITS[measure]} | ${cells.join(' | ')} |`
  }))
  return [
    '### Slopes',
    '',
    'Least squares over the points that differ in one dimension only; in brackets the largest distance of a point from the line.',
    '',
    '| role | unit | per VM | per pool | per entry | per member | per change/s |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...rows
  ]
}

function renderTargets (costs: readonly PointCost[], base: CapacityPoint): string[] {
  const regionalPoint: CapacityPoint = { ...DESIGN_POINT, vms: Math.ceil(DESIGN_POINT.vms / REGIONS), pools: Math.ceil(DESIGN_POINT.pools / REGIONS) }
  const rows = ROLES.flatMap((role) => MEASURES.map((measure) => {
    const groupCost = extrapolate(costs, base, role, measure, DESIGN_POINT)
    const regionalCost = extrapolate(costs, base, role, measure, regionalPoint)
    const compareToBound = (value: number): string => value <= CONTROL_BOUNDS[measure] ? 'within' : `${formatNumber(value / CONTROL_BOUNDS[measure])} times the bound`
    return `| ${role} | ${UNITS[measure]} | ${formatNumber(groupCost)} | ${compareToBound(groupCost)} | ${formatNumber(regionalCost)} | ${compareToBound(regionalCost)} | ${CONTROL_BOUNDS[measure]} |`
  }))
  return [
    '### At the size to design for',
    '',
    `One group for ${DESIGN_POINT.vms} VMs and ${DESIGN_POINT.pools} pools, and one of ${REGIONS} regional groups with ${regionalPoint.vms} VMs and ${regionalPoint.pools} pools; ${DESIGN_POINT.entries} entries, ${DESIGN_POINT.controls} members, 1,800 changes a day.`,
    '',
    '| role | unit | one group | | regional group | | bound |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...rows
  ]
}

/**
 * Renders all tables as Markdown.
 *
 * @param costs - costs at the measured points
 * @param base - point that all series share
 */
export function renderTables (costs: readonly PointCost[], base: CapacityPoint): string {
  return [...renderPoints(costs), '', ...renderSlopes(costs, base), '', ...renderTargets(costs, base)].join('\n')
}
