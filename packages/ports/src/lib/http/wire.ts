/**
 * Schemas of the JSON messages between the HTTP adapter and the platform's HTTP service.
 */
import { z } from 'zod'
import { FleetVmState } from '../FleetList.js'
import { VmPowerState } from '../VmActions.js'

const revision = z.int().min(0)

/** Body of `POST /table/transact`. @public */
export const transactionSchema = z.strictObject({
  conditions: z.array(z.strictObject({ key: z.string(), revision })),
  writes: z.array(z.strictObject({ key: z.string(), value: z.unknown().optional() })),
})

/** Answer to `POST /table/transact`: the new revision, or the keys of the conditions that do not hold. @public */
export const transactAnswerSchema = z.union([
  z.strictObject({ revision }),
  z.strictObject({ conflict: z.array(z.string()) }),
])

/** Answer to `GET /table/row`; `row` is null if there is none. @public */
export const readAnswerSchema = z.strictObject({
  row: z.strictObject({ key: z.string(), value: z.unknown(), revision }).nullable(),
})

/** Answer to `GET /table/changes`. @public */
export const changesAnswerSchema = z.strictObject({
  changes: z.array(z.strictObject({ key: z.string(), value: z.unknown().optional(), revision })),
  revision,
})

/** Answer to `GET /fleet`. @public */
export const fleetAnswerSchema = z.strictObject({
  vms: z.array(z.strictObject({ vmId: z.string(), state: z.enum(FleetVmState) })),
  asOfMs: z.number(),
})

/** Answer to `GET /vms/:vmId`; `observation` is null if the platform does not know the VM. @public */
export const observationAnswerSchema = z.strictObject({
  observation: z.strictObject({
    vmId: z.string(),
    power: z.enum(VmPowerState),
    lastOperationId: z.string().optional(),
  }).nullable(),
})
