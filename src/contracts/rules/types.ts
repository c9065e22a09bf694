/** Schema and types of the rules that operators submit. */
import * as z from 'zod'

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected lower-case letters, digits, dots and hyphens')

const countOrPercent = z.union([
  z.number().int().min(0),
  z.string().regex(/^\d{1,3}%$/, 'expected a count or a percentage such as 25%')
])

const windowSchema = z.strictObject({
  days: z.array(z.enum(['mon', 'tue', 'wed', 'thu', 'fri', 'sat', 'sun'])),
  from: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'expected a time such as 22:00'),
  to: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'expected a time such as 05:00')
})

const serviceSchema = z.strictObject({
  pools: z.array(nameSchema).min(1),
  /** Whether the spare pool may serve requests that the service's own pools can't serve. */
  spare: z.boolean().default(true),
  /** How many VMs of the service may be down at once, in total and in each availability zone. */
  budget: z.strictObject({ maxDown: countOrPercent, maxDownPerZone: countOrPercent.optional() }),
  /** Methods whose requests may run more than once. Requests with other methods run at most once. */
  repeatable: z.array(z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH'])).default([]),
  attemptTimeoutMs: z.number().int().min(10).max(600_000).default(2000),
  /** Requests that an entry queues for the service. Urgent requests are queued beyond it. */
  queueLimit: z.number().int().min(0).max(100_000).default(500)
})

const quotaSchema = z.strictObject({
  cores: z.number().min(0).optional(),
  accelerators: z.number().int().min(0).optional()
})

const teamSchema = z.strictObject({
  /** Weight in fair sharing: a team with twice the weight of another gets twice the share. */
  weight: z.number().min(0.01).max(1000).default(1),
  /** Upper limit of the resources that the team's jobs use at once. */
  quota: quotaSchema.default({})
})

/** Schema of the rules file. */
export const rulesSchema = z.strictObject({
  sparePool: nameSchema.optional(),
  services: z.record(nameSchema, serviceSchema),
  teams: z.record(nameSchema, teamSchema).default({}),
  maintenance: z.strictObject({
    windows: z.array(windowSchema).default([]),
    /** Whether waves start automatically when the maintenance of VMs is due. */
    automatic: z.boolean().default(false),
    /** Time within which each VM is to be maintained once. */
    everyDays: z.number().min(1).max(3650).default(42),
    /** Expected duration of the maintenance of one VM. */
    secondsPerVm: z.number().min(1).max(86_400).default(300)
  }).default({ windows: [], automatic: false, everyDays: 42, secondsPerVm: 300 }),
  policy: z.strictObject({
    /** Weight of idle VMs against moves, in moves for each VM and hour. */
    idleVmWeight: z.number().min(0).default(1),
    /** Weight of one move. */
    moveWeight: z.number().min(0).default(1),
    /** How long a shift of demand must last before a VM moves. */
    sustainSeconds: z.number().min(1).default(600)
  }).default({ idleVmWeight: 1, moveWeight: 1, sustainSeconds: 600 })
})

/** Valid rules with defaults filled in. */
export type Rules = z.output<typeof rulesSchema>
/** Rules of one service. */
export type ServiceRules = Rules['services'][string]
/** Rules of one team. */
export type TeamRules = Rules['teams'][string]
/** Time window that recurs on the given weekdays, in UTC. */
export type MaintenanceWindow = Rules['maintenance']['windows'][number]
