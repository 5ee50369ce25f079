/**
 * Tests what happens to the requests of callers that disconnect or whose deadline cannot be met.
 */
import { setMaxListeners } from 'node:events'
import { assert, describe } from '@vanillathread/testing'
import type { EventRecord } from '@vanillathread/kernel'
import { EventCode, Execution, ResultCode } from '@vanillathread/model'
import { EndpointFault } from '@vanillathread/stand-ins'
import { SERVICE, type LocalCluster } from './lib/LocalCluster.js'
import { sendRequest } from './lib/sendRequest.js'
import { waitUntil } from './lib/waitUntil.js'
import { countRuns, withCluster } from './lib/withCluster.js'

describe('callers', ({ it, describe }) => {
  it('that disconnect free their places in the queue', () => withCluster({ daemons: 1, endpoints: 1, slots: 1, serviceTimeMs: () => 2_000 }, async (cluster) => {
    const firstRequest = sendRequest(cluster.getUrl(0), { token: 'first' })
    await waitUntil('the first request runs', () => countRuns(cluster, 'first') === 1)
    const controller = new AbortController()
    setMaxListeners(0, controller.signal)
    const cancelledRequests = Array.from({ length: 20 }, (_, index) => sendRequest(cluster.getUrl(0), { token: `gone-${index}`, signal: controller.signal }).catch(() => undefined))
    const lane = cluster.getDaemon(0).parts.dispatcher.listLanes().get(SERVICE)
    await waitUntil('all cancelled requests are queued', () => lane?.queued === 20)
    controller.abort()
    await waitUntil('the queue is empty', () => lane?.queued === 0)
    await Promise.all([firstRequest, ...cancelledRequests])
    assert.is(cluster.getEndpoint(0).runs.length, 1)
  }))

  it('get an early refusal if the deadline cannot be met', () => withCluster({ daemons: 1, endpoints: 1, slots: 1, serviceTimeMs: () => 100 }, async (cluster) => {
    await sendRequest(cluster.getUrl(0), { token: 'learn' })
    const sent = Array.from({ length: 10 }, (_, index) => sendRequest(cluster.getUrl(0), { token: `token-${index}`, headers: { 'vanillathread-deadline-ms': '250' } }))
    const outcomes = await Promise.all(sent)
    const refused = outcomes.filter((outcome) => outcome.problem !== undefined)
    assert.is(refused.length >= 7, true)
    for (const { problem, headers } of refused) {
      assert.is(problem?.execution, Execution.NotRun)
      assert.type(headers['retry-after'], 'string')
    }
  }))

  describe('that disconnect while an attempt is in flight', ({ it }) => {
    const keyed = { method: 'POST' as const, body: 'x', headers: { 'idempotency-key': 'certificate-7' } }

    /** Sends a keyed request, disconnects its caller while it runs, and waits until the daemon has logged how it ended. */
    async function abandonRequest (cluster: LocalCluster): Promise<EventRecord> {
      cluster.getEndpoint(0).fault = EndpointFault.ResetAfterRun
      const controller = new AbortController()
      const abandoned = sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed, signal: controller.signal }).catch(() => undefined)
      await waitUntil('the request runs', () => countRuns(cluster, 'mare') === 1)
      controller.abort()
      await abandoned
      const findEnd = () => cluster.log.records.find(({ code }) => code === EventCode.RequestRefused)
      await waitUntil('the request has ended', () => findEnd() !== undefined)
      cluster.getEndpoint(0).fault = EndpointFault.None
      const end = findEnd()
      if (end === undefined) throw new Error('the daemon logged no end')
      return end
    }

    it('keep the claim of a request whose answer was lost, so that it does not run again', () => withCluster({ daemons: 2, endpoints: 1, serviceTimeMs: () => 200 }, async (cluster) => {
      await abandonRequest(cluster)
      await new Promise((resolve) => { setTimeout(resolve, 100) })
      const outcome = await sendRequest(cluster.getUrl(1), { token: 'mare', ...keyed })
      assert.is(outcome.problem?.code, ResultCode.ClaimUndecided)
      assert.is(countRuns(cluster, 'mare'), 1)
    }))

    it('are not logged as gone before the request was sent', () => withCluster({ daemons: 1, endpoints: 1, serviceTimeMs: () => 200 }, async (cluster) => {
      const { fields } = await abandonRequest(cluster)
      assert.is(fields['code'], ResultCode.AnswerLost)
      const steps = cluster.getDaemon(0).parts.dispatcher.journal.find(String(fields['requestId']))
      assert.is(steps?.at(-1)?.code, ResultCode.AnswerLost)
    }))
  })
})
