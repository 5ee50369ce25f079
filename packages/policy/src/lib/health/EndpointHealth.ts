/**
 * Judges endpoints by failures across distinct requests, ejects within a bounded share and probes back in.
 */

/** Whether an endpoint takes work. @public */
export enum HealthState {
  Healthy = 'healthy',
  Ejected = 'ejected',
  /** Ejected, and one attempt at a time is let through. */
  Probing = 'probing',
}

/** Options of {@link EndpointHealth.create}. @public */
export interface EndpointHealthOptions {
  /** Failures in a row, each of another request, that eject an endpoint. */
  readonly failuresToEject: number
  /** Largest share of a service's endpoints that may be ejected. */
  readonly maxEjectedShare: number
  /** First ejection time; it doubles with each further ejection in a row. */
  readonly ejectionMs: number
  readonly maxEjectionMs: number
}

/** What a health observation changed. @public */
export enum HealthChange {
  None = 'none',
  Ejected = 'ejected',
  Restored = 'restored',
}

interface Condition {
  state: HealthState
  failuresInRow: number
  lastFailedRequestId: string
  ejectionsInRow: number
  ejectedUntilMs: number
  probeInFlight: boolean
}

const MAX_DOUBLINGS = 6

/** Health of the endpoints of one service, as seen by one daemon. @public */
export class EndpointHealth {
  private readonly conditions = new Map<string, Condition>()

  private constructor (private readonly options: EndpointHealthOptions) {}

  static create (options: EndpointHealthOptions): EndpointHealth {
    return new EndpointHealth(options)
  }

  /** Sets the endpoints that exist; the conditions of others are forgotten. */
  setEndpoints (endpointIds: readonly string[]): void {
    const wanted = new Set(endpointIds)
    for (const endpointId of this.conditions.keys()) {
      if (!wanted.has(endpointId)) this.conditions.delete(endpointId)
    }
    for (const endpointId of wanted) {
      if (!this.conditions.has(endpointId)) this.conditions.set(endpointId, createCondition())
    }
  }

  /** Returns true where an attempt may start on the endpoint. */
  mayTry (endpointId: string, nowMs: number): boolean {
    const condition = this.conditions.get(endpointId)
    if (condition === undefined) return false
    if (condition.state === HealthState.Healthy) return true
    if (condition.state === HealthState.Ejected && nowMs >= condition.ejectedUntilMs) condition.state = HealthState.Probing
    return condition.state === HealthState.Probing && !condition.probeInFlight
  }

  /** Returns true where the endpoint is probed, so that only an idempotent request should be sent. */
  isProbing (endpointId: string): boolean {
    return this.conditions.get(endpointId)?.state === HealthState.Probing
  }

  /** Notes that an attempt starts. */
  begin (endpointId: string): void {
    const condition = this.conditions.get(endpointId)
    if (condition?.state === HealthState.Probing) condition.probeInFlight = true
  }

  /** Notes that an attempt ended in a way that says nothing about the endpoint. */
  forget (endpointId: string): void {
    const condition = this.conditions.get(endpointId)
    if (condition !== undefined) condition.probeInFlight = false
  }

  /** Takes in a success. */
  succeed (endpointId: string): HealthChange {
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
   * Takes in a failure.
   *
   * @param requestId - failures of one request count once, so that a request that fails everywhere ejects nobody.
   */
  fail (endpointId: string, requestId: string, nowMs: number): HealthChange {
    const condition = this.conditions.get(endpointId)
    if (condition === undefined) return HealthChange.None
    condition.probeInFlight = false
    if (condition.state === HealthState.Probing) return this.eject(condition, nowMs)
    if (condition.state === HealthState.Ejected || condition.lastFailedRequestId === requestId) return HealthChange.None
    condition.lastFailedRequestId = requestId
    condition.failuresInRow += 1
    if (condition.failuresInRow < this.options.failuresToEject || !this.mayEjectOneMore()) return HealthChange.None
    return this.eject(condition, nowMs)
  }

  /** Returns the endpoints that are ejected or probed. */
  listEjected (): string[] {
    return [...this.conditions].filter(([, condition]) => condition.state !== HealthState.Healthy).map(([endpointId]) => endpointId)
  }

  private mayEjectOneMore (): boolean {
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
