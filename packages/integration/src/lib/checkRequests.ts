/**
 * Checks the recorded history of a run of requests against the promises to callers.
 */
import { AttemptOutcomeKind } from '@vanillathread/policy'

/** Outcomes as the caller saw them. */
export enum CallerView {
  /** A whole answer of the service. */
  Answered = 'answered',
  /** Refused, and said not to have run. */
  NotRun = 'not-run',
  /** Said that it may have run, or the answer broke off visibly. */
  Unknown = 'unknown',
  /** Refused, as an earlier request with the same key was accepted. */
  Duplicate = 'duplicate',
  /** The connection to the daemon broke. */
  Disconnected = 'disconnected',
}

/** One request and what became of it. */
export interface RequestRecord {
  /** Distinguishes the requests of a run; resends of one keyed request share it. */
  readonly token: string
  readonly idempotent: boolean
  readonly view: CallerView
  /** Token that the answer carries, where there is one. */
  readonly answerToken?: string
  /** Result code of a refusal. */
  readonly code?: number
  /** Outcomes of the attempts that the daemon's journal holds for the request. */
  readonly journal?: readonly string[]
  /** True where the daemon that served it was stopped by plan meanwhile, and nothing else went wrong. */
  readonly plannedStopOnly?: boolean
}

/** One run at an endpoint. */
export interface RunRecord {
  readonly token: string
  readonly endpointId: string
  readonly startedMs: number
}

/** Limits and states of one endpoint during the run. */
export interface EndpointRecord {
  readonly id: string
  readonly slots: number
  readonly connections: number
  readonly maxRunning: number
  readonly maxConnections: number
  /** Time from which no new work may start there. */
  readonly closedFromMs?: number
}

/** Everything that was recorded. */
export interface RequestHistory {
  readonly requests: readonly RequestRecord[]
  readonly runs: readonly RunRecord[]
  readonly endpoints: readonly EndpointRecord[]
}

/** Promises that a history may break. */
export enum RequestRule {
  OwnAnswer = 'own answer',
  NotRunMeansNotRun = 'not run means not run',
  AtMostOnce = 'non-idempotent at most once',
  JournalAgrees = 'journal agrees',
  Slots = 'slots',
  Connections = 'connections',
  NothingAfterLeaving = 'nothing after leaving',
  PlannedStopCutsNothing = 'planned stop cuts nothing',
}

/** A broken promise with the request or endpoint. */
export interface RequestViolation {
  readonly rule: RequestRule
  readonly subject: string
}

/** Outcomes of an attempt that may have run. */
const POSSIBLY_RUN: ReadonlySet<string> = new Set([AttemptOutcomeKind.Answered, AttemptOutcomeKind.Unknown])

/** Returns every broken promise. */
export function checkRequests (history: RequestHistory): RequestViolation[] {
  return [...checkCallers(history), ...checkEndpoints(history)]
}

function checkCallers ({ requests, runs }: RequestHistory): RequestViolation[] {
  const counts = new Map<string, number>()
  for (const { token } of runs) counts.set(token, (counts.get(token) ?? 0) + 1)
  const violations: RequestViolation[] = []
  const violate = (rule: RequestRule, subject: string): void => { violations.push({ rule, subject }) }
  const byToken = new Map<string, RequestRecord[]>()
  for (const req of requests) byToken.set(req.token, [...byToken.get(req.token) ?? [], req])
  for (const [token, sent] of byToken) {
    const ran = counts.get(token) ?? 0
    for (const { view, answerToken, plannedStopOnly, journal } of sent) {
      if (view === CallerView.NotRun && journal?.some((outcome) => POSSIBLY_RUN.has(outcome)) === true) violate(RequestRule.JournalAgrees, token)
      if (view === CallerView.Answered && answerToken !== token) violate(RequestRule.OwnAnswer, token)
      if (plannedStopOnly === true && (view === CallerView.Unknown || view === CallerView.Disconnected)) violate(RequestRule.PlannedStopCutsNothing, token)
    }
    if (sent.every(({ view }) => view === CallerView.NotRun) && ran > 0) violate(RequestRule.NotRunMeansNotRun, token)
    if (sent.some(({ idempotent }) => !idempotent) && ran > 1) violate(RequestRule.AtMostOnce, token)
  }
  return violations
}

function checkEndpoints ({ endpoints, runs }: RequestHistory): RequestViolation[] {
  return endpoints.flatMap(({ id, slots, connections, maxRunning, maxConnections, closedFromMs }) => {
    const violations: RequestViolation[] = []
    if (maxRunning > slots) violations.push({ rule: RequestRule.Slots, subject: id })
    if (maxConnections > connections) violations.push({ rule: RequestRule.Connections, subject: id })
    const late = runs.some(({ endpointId, startedMs }) => endpointId === id && closedFromMs !== undefined && startedMs > closedFromMs)
    if (late) violations.push({ rule: RequestRule.NothingAfterLeaving, subject: id })
    return violations
  })
}
