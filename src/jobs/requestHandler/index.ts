/** Handles callers' HTTP requests about jobs at an entry by calling the leader. */
import { randomUUID } from 'node:crypto'
import * as z from 'zod'
import type { ControlClient, ControlError } from '../../links/controlClient/index.js'
import type { Job } from '../../state/types.js'

const CALL_LIMITS = { attemptMs: 1500, totalMs: 5000 }

const MAX_LISTED_JOBS = 1000

const workClassSchema = z.enum(['urgent', 'normal', 'bulk'])
const textSchema = z.string().min(1).max(200)

/** Schema of a job submission. */
export const jobSchema = z.strictObject({
  key: textSchema,
  service: textSchema,
  team: textSchema,
  class: workClassSchema.default('normal'),
  cores: z.number().min(0).max(10_000).default(1),
  memoryGb: z.number().min(0).max(100_000).default(1),
  accelerators: z.number().int().min(0).max(1000).default(0),
  runMs: z.number().min(1).max(30 * 86_400_000),
  repeatable: z.boolean().default(false),
  checkpointable: z.boolean().default(false),
  label: z.string().max(200).default(''),
  payload: z.unknown().default(null)
})

/** Schema of a job selector. */
export const selectorSchema = z.strictObject({ id: textSchema.optional(), team: textSchema.optional(), class: workClassSchema.optional(), label: textSchema.optional() })

/** Schema of a cancellation: a selector with an optional operation id, which makes resends idempotent. */
export const cancelSchema = selectorSchema.extend({ operation: textSchema.optional() })

/** Fields of a job that callers can read. */
export type JobView = Pick<Job, 'id' | 'key' | 'service' | 'team' | 'class' | 'state' | 'reason' | 'vm' | 'submittedAt' | 'startedAt' | 'endedAt' | 'result'>

/** HTTP status and JSON body of an answer. */
export interface HttpAnswer {
  readonly status: number
  readonly body: unknown
}

/** Submits, finds and cancels jobs. */
export class JobRequestHandler {
  readonly #control: ControlClient

  /** @param control - client of the control group */
  constructor (control: ControlClient) {
    this.#control = control
  }

  /**
   * Submits a job. The key is an idempotency key: a resend with the same team and key returns the same job.
   *
   * @param input - parsed JSON body of the request
   * @returns status 202, or 422 when no VM can ever run the job
   */
  async submit (input: unknown): Promise<HttpAnswer> {
    const parsed = jobSchema.safeParse(input)
    if (!parsed.success) return toBadRequest(parsed.error)
    const job = { ...parsed.data, payload: parsed.data.payload ?? null }
    const res = await this.#control.call((calls, signal) => calls.submitJob.mutate(job, { signal }), CALL_LIMITS)
    return res.match((value) => ({ status: value.state === 'refused' ? 422 : 202, body: value }), toUnavailable)
  }

  /**
   * Returns one job.
   *
   * @param id - id of the job
   */
  async find (id: string): Promise<HttpAnswer> {
    const res = await this.#control.call((calls, signal) => calls.findJobs.mutate({ selector: { id }, most: 1 }, { signal }), CALL_LIMITS)
    return res.match(([job]) => job === undefined ? { status: 404, body: { message: `There is no job ${id}.` } } : { status: 200, body: toJobView(job as Job) }, toUnavailable)
  }

  /**
   * Lists the jobs that match a selector.
   *
   * @param query - selector from the query string
   */
  async list (query: unknown): Promise<HttpAnswer> {
    const parsed = selectorSchema.safeParse(query)
    if (!parsed.success) return toBadRequest(parsed.error)
    const res = await this.#control.call((calls, signal) => calls.findJobs.mutate({ selector: omitUndefined(parsed.data), most: MAX_LISTED_JOBS }, { signal }), CALL_LIMITS)
    return res.match((jobs) => ({ status: 200, body: { jobs: (jobs as Job[]).map(toJobView) } }), toUnavailable)
  }

  /**
   * Cancels the jobs that match a selector with one command.
   *
   * @param input - parsed JSON body of the request; at least one field of the selector must be set
   */
  async cancel (input: unknown): Promise<HttpAnswer> {
    const parsed = cancelSchema.safeParse(input)
    if (!parsed.success) return toBadRequest(parsed.error)
    const { operation = randomUUID(), ...selector } = parsed.data
    if (Object.keys(selector).length === 0) return { status: 400, body: { findings: ['body: expected at least one of id, team, class and label'] } }
    const res = await this.#control.call((calls, signal) => calls.cancelJobs.mutate({ operation, selector: omitUndefined(selector) }, { signal }), CALL_LIMITS)
    return res.match((value) => ({ status: 200, body: value }), toUnavailable)
  }
}

function toBadRequest (err: z.ZodError): HttpAnswer {
  const findings = err.issues.map((issue) => `${issue.path.length === 0 ? 'body' : issue.path.map(String).join('.')}: ${issue.message}`)
  return { status: 400, body: { findings } }
}

function toUnavailable (err: ControlError): HttpAnswer {
  return { status: 503, body: { message: `The control group did not answer; resend with the same key. ${err.message}` } }
}

function toJobView (job: Job): JobView {
  const { id, key, service, team, state, reason, vm, submittedAt, startedAt, endedAt, result } = job
  return { id, key, service, team, class: job.class, state, reason, vm, submittedAt, startedAt, endedAt, result }
}

function omitUndefined<T extends object> (value: T): { [K in keyof T]: Exclude<T[K], undefined> } {
  return Object.fromEntries(Object.entries(value).filter(([, each]) => each !== undefined)) as never
}
