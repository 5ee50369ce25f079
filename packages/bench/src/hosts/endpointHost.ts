/**
 * Bench process: endpoint stand-ins.
 */
import { RandomSource } from '@vanillathread/policy'
import { EndpointStandIn, type EndpointFault } from '@vanillathread/stand-ins'
import { serveCommands } from '../lib/hostProtocol.js'

/** Endpoints to start. */
export interface EndpointHostPlan {
  readonly ids: readonly string[]
  readonly slots: number
  /** Mean service time; times are distributed uniformly between half and one and a half times the mean. */
  readonly meanServiceMs: number
  readonly seed: number
}

/** Counts of one endpoint. */
export interface EndpointCounts {
  readonly id: string
  readonly runs: number
  readonly refused: number
  readonly maxRunning: number
  readonly maxConnections: number
}

const endpoints: EndpointStandIn[] = []

/** Starts the endpoints and returns their ports by id. */
async function start (plan: EndpointHostPlan): Promise<Record<string, number>> {
  const random = RandomSource.create(plan.seed)
  const ports: Record<string, number> = {}
  for (const id of plan.ids) {
    const endpoint = await EndpointStandIn.create({
      id, slots: plan.slots, refuseAboveSlots: true, serviceTimeMs: () => plan.meanServiceMs * (0.5 + random.nextFloat()),
    })
    endpoints.push(endpoint)
    ports[id] = endpoint.port
  }
  return ports
}

function getCounts (): EndpointCounts[] {
  return endpoints.map(({ id, runs, refused, maxRunning, maxConnections }) => ({ id, runs: runs.length, refused, maxRunning, maxConnections }))
}

serveCommands({
  start,
  getCounts,
  setFault: ({ id, fault }: { id: string, fault: EndpointFault }) => {
    for (const endpoint of endpoints) if (endpoint.id === id) endpoint.fault = fault
  },
})
