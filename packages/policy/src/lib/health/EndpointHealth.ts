/**
 * Ejects endpoints after consecutive failures of distinct requests, up to a maximum share of a service's endpoints,
 * and restores them after a successful probe.
 */

/** Whether attempts may be sent to an endpoint. @public */
export enum HealthState {
  Healthy = 'healthy',
  Ejected = 'ejected',
  /** The ejection time has passed. One attempt at a time is allowed, until one shows whether the endpoint has recovered. */
  Probing = 'probing',
}

/** Options of {@link EndpointHealth.create}. @public */
export interface EndpointHealthOptions {
  /** Number of consecutive failures, each of a different request, after which an endpoint is ejected. */
  readonly failuresToEject: number
  /** Maximum share of a service's endpoints that may be ejected at the same time. */
  readonly maxEjectedShare: number
  /** Duration of the first ejection. It doubles with each failed probe, up to `maxEjectionMs`. */
  readonly ejectionMs: number
  readonly maxEjectionMs: number
}

/** Change of an endpoint's state after an attempt. @public */
export enum HealthChange {
  None = 'none',
  Ejected = 'ejected',
  Restored = 'restored',
}

interface Condition {
  state: HealthState
  /** Consecutive failures of distinct requests. */
  failuresInRow: number
  lastFailedRequestId: string
  /** Ejections since the endpoint was last healthy. */
  ejectionsInRow: number
  ejectedUntilMs: number
  probeInFlight: boolean
}

/** Maximum number of doublings of the ejection time. */
const MAX_DOUBLINGS = 6

/** Health of the endpoints of one service, as seen by one daemon. @public */
export class EndpointHealth {
  private readonly conditions = new Map<string, Condition>()

  private constructor (private readonly options: EndpointHealthOptions) {}

  static create (options: EndpointHealthOptions): EndpointHealth {
    return new EndpointHealth(options)
  }

  /** Sets the endpoints of the service. The health of endpoints that are no longer listed is discarded. */
  setEndpoints (endpointIds: readonly string[]): void {
    const wanted = new Set(endpointIds)
    for (const endpointId of this.conditions.keys()) {
      if (!wanted.has(endpointId)) this.conditions.delete(endpointId)
    }
    for (const endpointId of wanted) {
      if (!this.conditions.has(endpointId)) this.conditions.set(endpointId, createCondition())
    }
  }

  /** Returns true if an attempt may start on the endpoint. Probing begins here once the ejection time has passed. */
  canAttempt (endpointId: string, nowMs: number): boolean {
    const condition = this.conditions.get(endpointId)
    if (condition === undefined) return false
    if (condition.state === HealthState.Healthy) return true
    if (condition.state === HealthState.Ejected && nowMs >= condition.ejectedUntilMs) condition.state = HealthState.Probing
    return condition.state === HealthState.Probing && !condition.probeInFlight
  }

  /** Returns true if the endpoint is being probed. Only an idempotent request should be sent as a probe. */
  isProbing (endpointId: string): boolean {
    return this.conditions.get(endpointId)?.state === HealthState.Probing
  }

  /** Records the start of an attempt. If the endpoint is being probed, no other attempt may start on it until this one ends. */
  recordStart (endpointId: string): void {
    const condition = this.conditions.get(endpointId)
    if (condition?.state === HealthState.Probing) condition.probeInFlight = true
  }

  /** Records the end of an attempt whose outcome says nothing about the endpoint's health. */
  forget (endpointId: string): void {
    const condition = this.conditions.get(endpointId)
    if (condition !== undefined) condition.probeInFlight = false
  }

  /** Records a successful attempt. */
  recordSuccess (endpointId: string): HealthChange {
    const condition = this.conditions.get(endpointId)
    if (condition === undefined) return HealthChange.None
    condition.probeInFlight = false
    condition.failuresInRow = 0
    if (condition.state !== HealthState.Probing) return HealthChange.None
    condition.state = HealthState.Healthy
    condition.ejectionsInRow = 0
    return HealthChange.Restored
  }

  /**
   * Records a failed attempt.
   *
   * @param requestId - consecutive failures of the same request count once, so that a request that fails on every
   * endpoint ejects none of them.
   */
  recordFailure (endpointId: string, requestId: string, nowMs: number): HealthChange {
    const condition = this.conditions.get(endpointId)
    if (condition === undefined) return HealthChange.None
    condition.probeInFlight = false
    if (condition.state === HealthState.Probing) return this.eject(condition, nowMs)
    if (condition.state === HealthState.Ejected || condition.lastFailedRequestId === requestId) return HealthChange.None
    condition.lastFailedRequestId = requestId
    condition.failuresInRow += 1
    if (condition.failuresInRow < this.options.failuresToEject || !this.canEjectAnother()) return HealthChange.None
    return this.eject(condition, nowMs)
  }

  /** Returns the endpoints that are ejected or being probed. */
  listEjected (): string[] {
    return [...this.conditions].filter(([, condition]) => condition.state !== HealthState.Healthy).map(([endpointId]) => endpointId)
  }

  private canEjectAnother (): boolean {
    return this.listEjected().length + 1 <= Math.floor(this.conditions.size * this.options.maxEjectedShare)
  }

  private eject (condition: Condition, nowMs: number): HealthChange {
    const doublings = Math.min(MAX_DOUBLINGS, condition.ejectionsInRow)
    condition.state = HealthState.Ejected
    condition.ejectedUntilMs = nowMs + Math.min(this.options.maxEjectionMs, this.options.ejectionMs * 2 ** doublings)
    condition.ejectionsInRow += 1
    condition.failuresInRow = 0
    return HealthChange.Ejected
  }
}

function createCondition (): Condition {
  return {
    state: HealthState.Healthy,
    failuresInRow: 0,
    lastFailedRequestId: '',
    ejectionsInRow: 0,
    ejectedUntilMs: 0,
    probeInFlight: false,
  }
}
