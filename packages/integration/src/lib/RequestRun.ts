/**
 * Sends concurrent requests under random faults from a seed, and records every request and every run at an endpoint.
 */
import { Execution, ResultCode } from '@vanillathread/model'
import { RandomSource } from '@vanillathread/policy'
import { EndpointFault, PlatformFault, type EndpointStandIn } from '@vanillathread/stand-ins'
import { CallerView, type RequestHistory, type RequestRecord } from './checkRequests.js'
import type { LocalCluster } from './LocalCluster.js'
import { sendRequest, type CallerOutcome } from './sendRequest.js'

/** Kinds of faults that may be injected while the requests are sent. */
export enum InjectedFault {
  Endpoint = 'endpoint',
  Connections = 'connections',
  Platform = 'platform',
  DaemonLoss = 'daemon-loss',
  PlannedStop = 'planned-stop',
}

/** Options of {@link runRequests}. */
export interface RequestRunOptions {
  readonly seed: number
  /** Number of requests; a request with an idempotency key is sent twice and counts once. */
  readonly requests: number
  readonly faults: readonly InjectedFault[]
  /** URLs of the service; the URLs of the cluster's daemons if not given. */
  readonly urls?: readonly string[]
}

const ENDPOINT_FAULTS = [
  EndpointFault.None, EndpointFault.None, EndpointFault.FailFast, EndpointFault.RefuseNotRun,
  EndpointFault.ResetAfterRun, EndpointFault.CutBody, EndpointFault.WrongAttemptId, EndpointFault.Unframed,
]
const PLATFORM_FAULTS = [PlatformFault.None, PlatformFault.None, PlatformFault.Down, PlatformFault.AnswerLost]
/** Number of requests from one fault to the next. */
const REQUESTS_PER_FAULT = 12
/** Number of requests from one pause to the next. */
const REQUESTS_PER_PAUSE = 4
const PAUSE_MS = 6
/** Largest number of connections to an endpoint, over all daemons; equal to the default of a declared endpoint. */
const CONNECTION_LIMIT = 64
const DUPLICATE_CODES: ReadonlySet<ResultCode> = new Set([ResultCode.DuplicateRequest, ResultCode.ClaimUndecided])

/** Sends the requests and returns their history. */
export async function runRequests (cluster: LocalCluster, options: RequestRunOptions): Promise<RequestHistory> {
  const random = RandomSource.create(options.seed)
  const pending: Array<Promise<SentRequest[]>> = []
  const pendingStops: Array<Promise<void>> = []
  for (let index = 0; index < options.requests; index++) {
    if (index % REQUESTS_PER_FAULT === 0) await injectFault(cluster, options, random, pendingStops)
    pending.push(sendRandomRequest(cluster, options, random, index))
    if (index % REQUESTS_PER_PAUSE === 0) await new Promise((resolve) => { setTimeout(resolve, PAUSE_MS) })
  }
  const requests = (await Promise.all(pending)).flat()
  await Promise.all(pendingStops)
  return {
    requests: requests.map(({ requestId, ...record }) => ({ ...record, ...requestId === undefined ? {} : { journal: readAttemptOutcomes(cluster, requestId) } })),
    runs: cluster.endpoints.flatMap((endpoint) => endpoint.runs.map(({ token, startedMs }) => ({ token, startedMs, endpointId: endpoint.id }))),
    endpoints: cluster.endpoints.map((endpoint) => createEndpointRecord(endpoint)),
  }
}

/** A request with the id that the daemon assigned to it. */
interface SentRequest extends RequestRecord {
  readonly requestId?: string
}

/** Returns the outcomes of the request's attempts from the journals of the daemons. */
function readAttemptOutcomes (cluster: LocalCluster, requestId: string): string[] {
  const journals = [...cluster.daemons, ...cluster.retired].map((daemon) => daemon.parts.dispatcher.journal)
  return journals.flatMap((journal) => journal.find(requestId) ?? []).flatMap(({ outcome }) => outcome === undefined ? [] : [outcome])
}

function createEndpointRecord ({ id, slots, maxRunning, maxConnections }: EndpointStandIn): RequestHistory['endpoints'][number] {
  return { id, slots, connections: CONNECTION_LIMIT, maxRunning, maxConnections }
}

async function injectFault (cluster: LocalCluster, { faults }: RequestRunOptions, random: RandomSource, stops: Array<Promise<void>>): Promise<void> {
  const fault = faults[random.nextBelow(Math.max(1, faults.length))]
  const endpoint = cluster.getEndpoint(random.nextBelow(cluster.endpoints.length))
  switch (fault) {
    case InjectedFault.Endpoint:
      endpoint.fault = ENDPOINT_FAULTS[random.nextBelow(ENDPOINT_FAULTS.length)] ?? EndpointFault.None
      break
    case InjectedFault.Connections:
      endpoint.stallConnections()
      break
    case InjectedFault.Platform:
      cluster.faults.fault = PLATFORM_FAULTS[random.nextBelow(PLATFORM_FAULTS.length)] ?? PlatformFault.None
      break
    case InjectedFault.DaemonLoss:
      await cluster.addDaemon()
      await cluster.killDaemon(0)
      break
    case InjectedFault.PlannedStop:
      await cluster.addDaemon()
      stops.push(cluster.stopDaemon(0))
      break
    default:
  }
}

/** Sends a random kind of request. A request with an idempotency key is sent twice, each time to a random daemon. */
async function sendRandomRequest (cluster: LocalCluster, options: RequestRunOptions, random: RandomSource, index: number): Promise<SentRequest[]> {
  // As a load balancer would, this chooses among the daemons that accept requests at the time of sending.
  const pickUrl = (): string => {
    const urls = options.urls ?? cluster.daemons.map((_daemon, place) => cluster.getUrl(place))
    return urls[random.nextBelow(urls.length)] ?? ''
  }
  const token = `${options.seed}-${index}`
  const kind = random.nextBelow(3)
  if (kind === 0) return [await sendAndRecord(pickUrl(), token, true, {}, options)]
  if (kind === 1) return [await sendAndRecord(pickUrl(), token, false, {}, options)]
  const headers = { 'idempotency-key': token }
  const first = sendAndRecord(pickUrl(), token, false, headers, options)
  if (random.nextBelow(2) === 0) await first
  return [await sendAndRecord(pickUrl(), token, false, headers, options), await first]
}

async function sendAndRecord (url: string, token: string, idempotent: boolean, headers: Record<string, string>, options: RequestRunOptions): Promise<SentRequest> {
  const plannedStopOnly = options.faults.every((fault) => fault === InjectedFault.PlannedStop)
  const outcome = await sendRequest(url, { token, headers, ...idempotent ? {} : { method: 'POST' as const, body: 'x' } }).catch(() => undefined)
  const requestId = outcome?.headers['vanillathread-request-id']
  const id = typeof requestId === 'string' ? { requestId } : {}
  return { ...id, token, idempotent, plannedStopOnly, view: classifyOutcome(outcome), ...outcome?.problem === undefined ? {} : { code: outcome.problem.code }, ...outcome?.status === 200 ? { answerToken: outcome.token } : {} }
}

function classifyOutcome (outcome: CallerOutcome | undefined): CallerView {
  if (outcome === undefined) return CallerView.Disconnected
  if (outcome.text === undefined) return CallerView.Unknown
  if (outcome.status === 200) return CallerView.Answered
  if (outcome.problem !== undefined && DUPLICATE_CODES.has(outcome.problem.code)) return CallerView.Duplicate
  return outcome.problem?.execution === Execution.NotRun ? CallerView.NotRun : CallerView.Unknown
}
