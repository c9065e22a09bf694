/** Counters, gauges and histograms, rendered in the Prometheus text format. */
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js'
import type { Millis } from '../clock/index.js'

/** Module loaders differ in the default export of a CommonJS module: the class itself, or an object that holds it. */
const Int32Histogram = (int32Histogram as unknown as { default?: typeof int32Histogram }).default ?? int32Histogram

type Histogram = InstanceType<typeof int32Histogram>

const PERCENTILES = [50, 90, 99, 99.9] as const

/** Longer latencies are recorded as this value. */
const MAX_LATENCY_MS = 3_600_000

const SIGNIFICANT_DIGITS = 2

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>

/** Metrics of one process. */
export class Metrics {
  readonly #counters = new Map<string, number>()
  readonly #gauges = new Map<string, () => number>()
  readonly #collectors = new Map<string, () => Iterable<readonly [Labels, number]>>()
  readonly #histograms = new Map<string, Histogram>()

  /**
   * Increments a counter.
   *
   * @param name - name of the counter
   * @param labels - labels of the series
   * @param by - increment
   */
  count (name: string, labels: Labels = {}, by = 1): void {
    const key = formatSeries(name, labels)
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + by)
  }

  /**
   * Registers a gauge whose value is read when the metrics are rendered.
   *
   * @param name - name of the gauge
   * @param read - returns the current value
   */
  gauge (name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /**
   * Registers gauges whose series are listed when the metrics are rendered.
   *
   * @param name - name of the gauges
   * @param list - lists the labels and the value of each series
   */
  collect (name: string, list: () => Iterable<readonly [Labels, number]>): void {
    this.#collectors.set(name, list)
  }

  /**
   * Records a latency in a histogram.
   *
   * @param name - name of the histogram
   * @param labels - labels of the series, for instance team and class
   * @param ms - latency in milliseconds
   */
  record (name: string, labels: Labels, ms: Millis): void {
    const key = formatSeries(name, labels)
    let histogram = this.#histograms.get(key)
    if (histogram === undefined) {
      histogram = new Int32Histogram(1, 2, SIGNIFICANT_DIGITS)
      histogram.autoResize = true
      this.#histograms.set(key, histogram)
    }
    histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, Math.round(ms))))
  }

  /** Returns a copy of all counters, by series. */
  counters (): ReadonlyMap<string, number> {
    return new Map(this.#counters)
  }

  /** Returns all series as text, one line each, and one line per percentile for histograms. */
  render (): string {
    const lines: string[] = []
    for (const [series, value] of this.#counters) lines.push(`${series} ${value}`)
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`)
    for (const [name, list] of this.#collectors) for (const [labels, value] of list()) lines.push(`${formatSeries(name, labels)} ${value}`)
    for (const [series, histogram] of this.#histograms) lines.push(...renderHistogram(series, histogram))
    return `${lines.join('\n')}\n`
  }
}

function formatSeries (name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${value.replace(/["\\\n]/g, '_')}"`)
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}

function renderHistogram (series: string, histogram: Histogram): string[] {
  const [name = '', labels = ''] = series.replace('}', '').split('{')
  const withQuantile = (quantile: number): string => `${name}{${labels === '' ? '' : `${labels},`}quantile="${quantile / 100}"}`
  const lines = PERCENTILES.map((percentile) => `${withQuantile(percentile)} ${histogram.getValueAtPercentile(percentile)}`)
  return [...lines, `${name}_count${labels === '' ? '' : `{${labels}}`} ${histogram.totalCount}`]
}
