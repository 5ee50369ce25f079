/**
 * Schemas of the operators' declarations: inventory.yaml says what exists, rules.yaml what must hold.
 */
import { z } from 'zod'

const MAX_PORT = 65535
const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64

const id = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'lower-case letters, digits and hyphens')
const positive = z.int().min(1)
const notNegative = z.int().min(0)
const share = z.number().min(0).max(1)
const timeOfDay = z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'a time of day such as 23:30')

/** Day on which a maintenance window opens. @public */
export enum Weekday {
  Monday = 'monday',
  Tuesday = 'tuesday',
  Wednesday = 'wednesday',
  Thursday = 'thursday',
  Friday = 'friday',
  Saturday = 'saturday',
  Sunday = 'sunday',
}

/** Classes of requests and jobs, most urgent first. @public */
export enum WorkClass {
  Urgent = 'urgent',
  Normal = 'normal',
  Deferrable = 'deferrable',
}

const regionSchema = z.strictObject({ id, zones: z.array(id).min(1) })

const vmSchema = z.strictObject({
  id,
  zone: id,
  rack: id,
  pool: id,
  /** Number of processor cores. */
  processors: positive.default(32),
  /** Memory in gibibytes. */
  memoryGib: positive.default(64),
  /** Number of accelerators. */
  accelerators: notNegative.default(0),
})

const endpointSchema = z.strictObject({
  id,
  vm: id,
  host: z.string().min(1),
  port: z.int().min(1).max(MAX_PORT),
  /** Largest number of requests that the endpoint runs at the same time. */
  slots: positive.default(DEFAULT_SLOTS),
  /** Largest number of connections to the endpoint, over all daemons. */
  connections: positive.default(DEFAULT_CONNECTIONS),
})

const poolSchema = z.strictObject({
  id,
  /** True if the VMs of the pool may be lent to other pools. */
  spare: z.boolean().default(false),
})

const serviceSchema = z.strictObject({
  id,
  pool: id,
  endpoints: z.array(endpointSchema).min(1),
  /** Longest time that one attempt may take, in milliseconds. */
  attemptTimeoutMs: positive.default(10_000),
  /** Deadline of a request that has none of its own, in milliseconds after its arrival. */
  deadlineMs: positive.default(30_000),
  /** Largest number of requests that wait in one daemon. */
  queueLimit: positive.default(256),
})

/** Schema of inventory.yaml. @public */
export const inventorySchema = z.strictObject({
  regions: z.array(regionSchema).min(1),
  pools: z.array(poolSchema).min(1),
  vms: z.array(vmSchema).min(1),
  services: z.array(serviceSchema).default([]),
})

const budgetSchema = z.strictObject({
  pool: id,
  /** Smallest number of VMs of the pool that must stay available during maintenance. */
  minAvailable: notNegative,
})

const windowSchema = z.strictObject({
  pools: z.array(id).min(1),
  days: z.array(z.enum(Weekday)).min(1),
  /** Time of day at which the window opens. */
  from: timeOfDay,
  /** Time of day at which it closes; on the next day unless it is later than `from`. */
  to: timeOfDay,
  /** Time that maintenance of one VM takes, including its drain, in minutes. */
  vmMinutes: positive.default(30),
})

const classSchema = z.strictObject({
  class: z.enum(WorkClass),
  /** Time within which work of the class is to start, in milliseconds. */
  startWithinMs: positive,
})

const teamSchema = z.strictObject({ id, processors: notNegative, accelerators: notNegative.default(0) })

/** Schema of rules.yaml. @public */
export const rulesSchema = z.strictObject({
  budgets: z.array(budgetSchema).min(1),
  windows: z.array(windowSchema).default([]),
  maintenance: z.strictObject({
    /** Time within which every VM must be maintained once, in days. */
    periodDays: positive.default(35),
    /** Pools whose maintenance is halted. */
    halted: z.array(id).default([]),
    /** Pools that are also maintained outside their windows. */
    hurried: z.array(id).default([]),
    /** VMs that failed to return from maintenance up to this time were examined by an operator and no longer halt it. */
    acknowledgedUntil: z.iso.datetime().optional(),
  }).default({ periodDays: 35, halted: [], hurried: [] }),
  /** Weights of the two costs that the lending of spare VMs balances. */
  weights: z.strictObject({
    /** Weight of spare VMs that serve no pool, 0 to 1. */
    bufferCost: share,
    /** Weight of moves of VMs between pools, 0 to 1. */
    moves: share,
  }),
  classes: z.array(classSchema).default([]),
  teams: z.array(teamSchema).default([]),
})

/** Content of inventory.yaml: what exists. @public */
export type Inventory = z.infer<typeof inventorySchema>
/** Content of rules.yaml: what must hold. @public */
export type Rules = z.infer<typeof rulesSchema>
/** A VM of the inventory. @public */
export type Vm = Inventory['vms'][number]
/** A pool of the inventory. @public */
export type Pool = Inventory['pools'][number]
/** A service of the inventory. @public */
export type Service = Inventory['services'][number]
/** An endpoint of a service. @public */
export type Endpoint = Service['endpoints'][number]
/** An availability budget of the rules. @public */
export type Budget = Rules['budgets'][number]
/** A maintenance window of the rules. @public */
export type MaintenanceWindow = Rules['windows'][number]
