/**
 * Sends a request as a caller and reads its outcome.
 */
import { request, type Dispatcher } from 'undici'
import type { Problem } from '@vanillathread/daemon'

/** Options of {@link sendRequest}. */
export interface CallerRequest {
  readonly method?: 'GET' | 'POST'
  /** Token that the endpoint repeats at the start of its answer. */
  readonly token: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly signal?: AbortSignal
  readonly dispatcher?: Dispatcher
}

/** Outcome of a request as its caller sees it. */
export interface CallerOutcome {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  /** Body, or undefined if the answer broke off. */
  readonly text: string | undefined
  /** Text before the first `|`, which is the token in an endpoint's answer; empty if the answer broke off. */
  readonly token: string
  /** Problem document of a refusal. */
  readonly problem: Problem | undefined
}

/** Sends a request to a service URL. Throws if no response headers arrive. */
export async function sendRequest (url: string, req: CallerRequest): Promise<CallerOutcome> {
  const res = await request(`${url}/items/1`, {
    method: req.method ?? 'GET',
    headers: { 'x-request-token': req.token, ...req.headers },
    ...req.body === undefined ? {} : { body: req.body },
    ...req.signal === undefined ? {} : { signal: req.signal },
    ...req.dispatcher === undefined ? {} : { dispatcher: req.dispatcher },
  })
  const text = await res.body.text().catch(() => undefined)
  const isProblem = String(res.headers['content-type']).startsWith('application/problem+json')
  return {
    status: res.statusCode,
    headers: res.headers,
    text,
    token: text?.split('|')[0] ?? '',
    problem: isProblem && text !== undefined ? JSON.parse(text) as Problem : undefined,
  }
}
