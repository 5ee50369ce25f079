/**
 * The endpoints of one service as one daemon sees them, with their connections, health and leaving state.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, type Endpoint, type Service } from '@vanillathread/model'
import { EndpointHealth, HealthChange, type EndpointCandidate, type SlotSource } from '@vanillathread/policy'
import { endpointOptions } from '../options.js'
import { ConnectionSet } from './ConnectionSet.js'

/** An endpoint with the zone and the pool of its VM. @public */
export interface PlacedEndpoint extends Endpoint {
  readonly zone: string
  /** Pool that the inventory declares for the endpoint's VM. */
  readonly declaredPool: string
}

/** Zone and pool that the inventory declares for a VM. @public */
export interface VmPlace {
  readonly zone: string
  readonly pool: string
}

/** Leaving state and current pool of VMs. @public */
export interface VmStatusSource {
  /** Returns true if the VM must get no new work. */
  isLeaving (vmId: string): boolean
  /** Returns the pool that a VM is in, or undefined if it is in its declared pool. */
  getPool (vmId: string): string | undefined
}

/** Options of {@link EndpointSet.create}. */
export interface EndpointSetOptions {
  readonly log: EventLog
  /** Leaving state and current pool of the VMs. */
  readonly leaving: VmStatusSource
}

interface Member {
  readonly endpoint: PlacedEndpoint
  readonly connections: ConnectionSet
}

/** Time after which an endpoint's announcement that it is leaving expires, unless the endpoint repeats it. */
const LEAVING_ANNOUNCEMENT_TTL_MS = 60_000

/** Selects the endpoints of one service that may get attempts, and tracks their health. */
export class EndpointSet {
  private readonly health = EndpointHealth.create(endpointOptions.health)
  private readonly members = new Map<string, Member>()
  /** Monotonic time until which an announcement that an endpoint is leaving is in effect, by endpoint id. */
  private readonly announcedLeavingUntilMs = new Map<string, number>()
  private daemonCount = 1
  /** Pool that the service is declared to run in. */
  private pool = ''

  private constructor (private readonly options: EndpointSetOptions) {}

  static create (options: EndpointSetOptions): EndpointSet {
    return new EndpointSet(options)
  }

  /** Sets the declared endpoints of the service. An endpoint whose address is unchanged keeps its connections. */
  configure (service: Service, getPlace: (vmId: string) => VmPlace): void {
    this.pool = service.pool
    const wanted = new Map(service.endpoints.map((endpoint) => [endpoint.id, endpoint]))
    for (const [endpointId, member] of this.members) {
      const endpoint = wanted.get(endpointId)
      if (endpoint !== undefined && isSameAddress(endpoint, member.endpoint)) continue
      member.connections.dispose()
      this.members.delete(endpointId)
    }
    for (const endpoint of wanted.values()) {
      const { zone, pool } = getPlace(endpoint.vm)
      this.put({ ...endpoint, zone, declaredPool: pool })
    }
    this.health.setEndpoints([...wanted.keys()])
  }

  /** Sets the number of daemons. This daemon may open an equal share of each endpoint's connections. */
  setDaemonCount (daemonCount: number): void {
    this.daemonCount = Math.max(1, daemonCount)
    for (const { endpoint, connections } of this.members.values()) connections.setLimit(this.getConnectionLimit(endpoint))
  }

  get (endpointId: string): PlacedEndpoint | undefined {
    return this.members.get(endpointId)?.endpoint
  }

  getConnections (endpointId: string): ConnectionSet | undefined {
    return this.members.get(endpointId)?.connections
  }

  listNotLeaving (nowMs: number): PlacedEndpoint[] {
    return [...this.members.values()].map((member) => member.endpoint).filter((endpoint) => !this.isLeaving(endpoint, nowMs))
  }

  /** Returns the endpoints that an attempt may go to now. */
  listCandidates (slots: SlotSource, req: { idempotent: boolean }, nowMs: number): EndpointCandidate[] {
    const candidates: EndpointCandidate[] = []
    for (const endpoint of this.listNotLeaving(nowMs)) {
      const free = slots.getFree(endpoint.id, nowMs)
      if (free === 0 || !this.health.canAttempt(endpoint.id, nowMs)) continue
      // A probe may fail, so a request that must not be repeated is never used as one.
      if (this.health.isProbing(endpoint.id) && !req.idempotent) continue
      if (this.getConnections(endpoint.id)?.hasRoom() !== true) continue
      candidates.push({ endpointId: endpoint.id, zone: endpoint.zone, free })
    }
    return candidates
  }

  /** Records the start of an attempt. */
  recordStart (endpointId: string): void {
    this.health.recordStart(endpointId)
  }

  /** Ends an attempt whose outcome says nothing about the endpoint's health. */
  forget (endpointId: string): void {
    this.health.forget(endpointId)
  }

  /** Records a success. The first one of a probed endpoint ends its ejection. */
  recordSuccess (endpointId: string): void {
    if (this.health.recordSuccess(endpointId) === HealthChange.Restored) this.options.log.write(EventCode.EndpointProbed, { endpointId })
  }

  /** Records a failure, which may eject the endpoint. Consecutive failures of one request count once. */
  recordFailure (endpointId: string, requestId: string, nowMs: number): void {
    if (this.health.recordFailure(endpointId, requestId, nowMs) === HealthChange.Ejected) {
      this.options.log.write(EventCode.EndpointEjected, { endpointId })
    }
  }

  /** Records that an endpoint announced that it is leaving and accepts no new work. */
  recordLeavingAnnouncement (endpointId: string, nowMs: number): void {
    if ((this.announcedLeavingUntilMs.get(endpointId) ?? 0) <= nowMs) this.options.log.write(EventCode.EndpointLeaving, { endpointId, source: 'endpoint' })
    this.announcedLeavingUntilMs.set(endpointId, nowMs + LEAVING_ANNOUNCEMENT_TTL_MS)
  }

  /** Prevents the reuse of the open connections to an endpoint, after a request on one of them timed out. */
  retireConnections (endpointId: string, nowMs: number): void {
    this.getConnections(endpointId)?.retireAll(nowMs)
    this.options.log.write(EventCode.ConnectionReplaced, { endpointId })
  }

  /** Returns the ids of the endpoints that are ejected or probed. */
  listEjected (): string[] {
    return this.health.listEjected()
  }

  closeStaleConnections (nowMs: number): void {
    for (const { connections } of this.members.values()) connections.closeStale(nowMs)
  }

  dispose (): void {
    for (const { connections } of this.members.values()) connections.dispose()
    this.members.clear()
  }

  private isLeaving (endpoint: PlacedEndpoint, nowMs: number): boolean {
    const { leaving } = this.options
    // A VM that was moved or lent serves only the pool that it is in now.
    const pool = leaving.getPool(endpoint.vm) ?? endpoint.declaredPool
    return pool !== this.pool || leaving.isLeaving(endpoint.vm) || (this.announcedLeavingUntilMs.get(endpoint.id) ?? 0) > nowMs
  }

  /** Adds an endpoint, or replaces its declaration and keeps its connections. */
  private put (endpoint: PlacedEndpoint): void {
    const connections = this.members.get(endpoint.id)?.connections ??
      ConnectionSet.create({ endpoint, connectionLimit: this.getConnectionLimit(endpoint) })
    this.members.set(endpoint.id, { endpoint, connections })
    connections.setLimit(this.getConnectionLimit(endpoint))
  }

  /** Returns this daemon's share of an endpoint's connections, which is at least one. */
  private getConnectionLimit (endpoint: Endpoint): number {
    return Math.max(1, Math.floor(endpoint.connections / this.daemonCount))
  }
}

function isSameAddress (a: Endpoint, b: Endpoint): boolean {
  return a.host === b.host && a.port === b.port
}
