/**
 * Sends a caller's request and reads the outcome.
 */
import { request, type Dispatcher } from 'undici'
import type { Problem } from '@vanillathread/daemon'

/** A caller's request. */
export interface CallerRequest {
  readonly method?: 'GET' | 'POST'
  /** Token that the endpoint puts in front of its answer. */
  readonly token: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly signal?: AbortSignal
  readonly dispatcher?: Dispatcher
}

/** What the caller got. */
export interface CallerOutcome {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  /** Body, or undefined where the answer broke off. */
  readonly text: string | undefined
  /** Token that the answer starts with. */
  readonly token: string
  readonly problem: Problem | undefined
}

/** Sends a request to a service URL. Throws where no answer head arrives. */
export async function send (url: string, req: CallerRequest): Promise<CallerOutcome> {
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
