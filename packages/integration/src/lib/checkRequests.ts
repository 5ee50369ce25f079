/**
 * Checks the recorded history of requests against the guarantees to callers.
 */
import { AttemptOutcomeKind } from '@vanillathread/policy'

/** Outcome of a request as the caller saw it. */
export enum CallerView {
  /** The caller got a complete answer of the service. */
  Answered = 'answered',
  /** The request was refused, and the refusal says that it did not run. */
  NotRun = 'not-run',
  /** The refusal says that the request may have run, or the answer visibly broke off. */
  Unknown = 'unknown',
  /** The request was refused because an earlier request with the same idempotency key was accepted. */
  Duplicate = 'duplicate',
  /** The connection to the daemon broke. */
  Disconnected = 'disconnected',
}

/** One request and its outcome. */
export interface RequestRecord {
  /** Identifies the request; resends of a request with an idempotency key have the same token. */
  readonly token: string
  readonly idempotent: boolean
  readonly view: CallerView
  /** Token in the answer, if the service answered. */
  readonly answerToken?: string
  /** Result code of a refusal. */
  readonly code?: number
  /** Outcomes of the request's attempts, from the journals of the daemons. */
  readonly journal?: readonly string[]
  /** True if planned stops of daemons are the only faults that were injected. */
  readonly plannedStopOnly?: boolean
}

/** One run of a request at an endpoint. */
export interface RunRecord {
  readonly token: string
  readonly endpointId: string
  readonly startedMs: number
}

/** Limits and highest loads of one endpoint. */
export interface EndpointRecord {
  readonly id: string
  readonly slots: number
  /** Largest number of connections that the daemons may open to the endpoint. */
  readonly connections: number
  /** Highest number of requests that ran at the same time. */
  readonly maxRunning: number
  /** Highest number of connections that were open at the same time. */
  readonly maxConnections: number
  /** Time after which no request may start at the endpoint, in milliseconds. */
  readonly closedFromMs?: number
}

/** Recorded requests, runs and endpoints. */
export interface RequestHistory {
  readonly requests: readonly RequestRecord[]
  readonly runs: readonly RunRecord[]
  readonly endpoints: readonly EndpointRecord[]
}

/** Guarantees that a history may violate. */
export enum RequestRule {
  /** An answer carries the token of the caller's own request. */
  OwnAnswer = 'own answer',
  /** A request that was only ever refused as not run did not run. */
  NotRunMeansNotRun = 'not run means not run',
  /** A request that is not idempotent runs at most once. */
  AtMostOnce = 'non-idempotent at most once',
  /** No attempt of a request that was refused as not run is recorded as possibly run. */
  JournalAgrees = 'journal agrees',
  /** An endpoint runs no more requests at the same time than it has slots. */
  Slots = 'slots',
  /** An endpoint has no more open connections than its limit. */
  Connections = 'connections',
  /** No request starts at an endpoint after it was closed to new work. */
  NothingAfterLeaving = 'nothing after leaving',
  /** A planned stop of a daemon interrupts no request. */
  PlannedStopCutsNothing = 'planned stop cuts nothing',
}

/** A violated guarantee. */
export interface RequestViolation {
  readonly rule: RequestRule
  /** Token of the request or id of the endpoint. */
  readonly subject: string
}

/** Journal outcomes of attempts after which the request may have run. */
const POSSIBLY_RUN_OUTCOMES: ReadonlySet<string> = new Set([AttemptOutcomeKind.Answered, AttemptOutcomeKind.Unknown])

/** Returns every violation in the history. */
export function checkRequests (history: RequestHistory): RequestViolation[] {
  return [...checkCallers(history), ...checkEndpoints(history)]
}

function checkCallers ({ requests, runs }: RequestHistory): RequestViolation[] {
  const runCounts = new Map<string, number>()
  for (const { token } of runs) runCounts.set(token, (runCounts.get(token) ?? 0) + 1)
  const violations: RequestViolation[] = []
  const addViolation = (rule: RequestRule, subject: string): void => { violations.push({ rule, subject }) }
  const byToken = new Map<string, RequestRecord[]>()
  for (const req of requests) byToken.set(req.token, [...byToken.get(req.token) ?? [], req])
  for (const [token, sameTokenRequests] of byToken) {
    const runCount = runCounts.get(token) ?? 0
    for (const { view, answerToken, plannedStopOnly, journal } of sameTokenRequests) {
      if (view === CallerView.NotRun && journal?.some((outcome) => POSSIBLY_RUN_OUTCOMES.has(outcome)) === true) addViolation(RequestRule.JournalAgrees, token)
      if (view === CallerView.Answered && answerToken !== token) addViolation(RequestRule.OwnAnswer, token)
      if (plannedStopOnly === true && (view === CallerView.Unknown || view === CallerView.Disconnected)) addViolation(RequestRule.PlannedStopCutsNothing, token)
    }
    if (sameTokenRequests.every(({ view }) => view === CallerView.NotRun) && runCount > 0) addViolation(RequestRule.NotRunMeansNotRun, token)
    if (sameTokenRequests.some(({ idempotent }) => !idempotent) && runCount > 1) addViolation(RequestRule.AtMostOnce, token)
  }
  return violations
}

function checkEndpoints ({ endpoints, runs }: RequestHistory): RequestViolation[] {
  return endpoints.flatMap(({ id, slots, connections, maxRunning, maxConnections, closedFromMs }) => {
    const violations: RequestViolation[] = []
    if (maxRunning > slots) violations.push({ rule: RequestRule.Slots, subject: id })
    if (maxConnections > connections) violations.push({ rule: RequestRule.Connections, subject: id })
    const startedAfterClosing = runs.some(({ endpointId, startedMs }) => endpointId === id && closedFromMs !== undefined && startedMs > closedFromMs)
    if (startedAfterClosing) violations.push({ rule: RequestRule.NothingAfterLeaving, subject: id })
    return violations
  })
}
