/**
 * Checks the keys of clients' calls against the configuration in force, and reports the calls that it refuses.
 */
import type { EventLog, Metrics } from '@vanillathread/kernel'
import { EventCode, exhaustiveSwitchError, ResultCode, type QueueRules } from '@vanillathread/model'
import { authorizeCall, CallRefusal, canDeny, canServe, isFreshEnough, type CallDecision, type ConfigurationBounds } from '@vanillathread/policy'
import { IngressAnswerKind, type ClientRequest, type IngressAnswer } from '@vanillathread/ports'
import type { ConfigurationWatcher } from './ConfigurationWatcher.js'
import { findJobId } from './jobId.js'
import { clientOptions } from './jobOptions.js'

/** Options of {@link CallGuard.create}. */
export interface CallGuardOptions {
  readonly configuration: ConfigurationWatcher
  readonly bounds: ConfigurationBounds
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Right of a call with a key to write, as long as the key stays valid. */
export interface WritePermit {
  /** Team that held the key when the call arrived. */
  readonly team?: string
  /** Returns true while a write may begin: the key and the queue are still in force, and the configuration is not stale. */
  isValid (): boolean
}

/** What the guard says of a call: an answer that refuses it, or the permit for its writes, which is absent if the queue is public. */
export type GuardResult = { readonly answer: IngressAnswer } | { readonly answer?: undefined, readonly permit?: WritePermit }

/** Applies {@link authorizeCall} to the configuration in force and its age. */
export class CallGuard {
  private constructor (private readonly options: CallGuardOptions) {}

  static create (options: CallGuardOptions): CallGuard {
    return new CallGuard(options)
  }

  /** Returns true if the daemon should get new connections, as far as the age of its configuration matters. */
  isReady (): boolean {
    const { configuration, bounds } = this.options
    return !configuration.needsKeys || isFreshEnough(configuration.ageMs, bounds)
  }

  /** Returns true if calls with keys that are known here may be served. */
  canServe (): boolean {
    return canServe(this.options.configuration.ageMs, this.options.bounds)
  }

  /** Checks a call on a queue. */
  check (req: ClientRequest, queue: QueueRules): GuardResult {
    const decision = this.decide(req, queue)
    if (!decision.allowed) return { answer: this.refuse(req, decision.refusal, decision.team, queue.name) }
    if (queue.isPublic) return {}
    const { team } = decision
    return { permit: { team, isValid: () => this.isStillAllowed(req, team) } }
  }

  /** Answers a call on a path without a queue: the queue may be in a newer version if the configuration is stale. */
  answerUnknownQueue (req: ClientRequest): IngressAnswer {
    const { configuration, bounds } = this.options
    if (!configuration.needsKeys || canDeny(configuration.ageMs, bounds)) return { kind: IngressAnswerKind.UnknownQueue }
    return this.refuse(req, CallRefusal.StaleConfiguration)
  }

  private decide (req: ClientRequest, { isPublic }: QueueRules): CallDecision {
    const { configuration, bounds } = this.options
    return authorizeCall({ key: req.key, isPublic, keys: configuration.keys, ageMs: configuration.ageMs, bounds })
  }

  private isStillAllowed (req: ClientRequest, team: string | undefined): boolean {
    const queue = this.options.configuration.findQueue(req.host, req.path)
    if (queue === undefined) return false
    const decision = this.decide(req, queue)
    return decision.allowed && (queue.isPublic || decision.team === team)
  }

  private refuse (req: ClientRequest, reason: CallRefusal, team?: string, queue?: string): IngressAnswer {
    const { configuration, log, metrics } = this.options
    const code = toResultCode(reason)
    const ageMs = Math.round(configuration.ageMs)
    log.write(EventCode.CallRefused, { job: findJobId(req.path), queue, team, code, reason, ageMs, configuration: configuration.current?.version })
    metrics.increment('calls_refused', { reason })
    metrics.timing('refused_call_configuration_age_ms', ageMs, { reason })
    return { kind: IngressAnswerKind.Refused, code, retryAfterMs: clientOptions.retryAfterMs }
  }
}

function toResultCode (reason: CallRefusal): ResultCode {
  switch (reason) {
    case CallRefusal.UnknownKey:
    case CallRefusal.MissingKey:
      return ResultCode.Unauthorized
    case CallRefusal.StaleConfiguration: return ResultCode.ConfigurationStale
    default: throw exhaustiveSwitchError(reason)
  }
}
