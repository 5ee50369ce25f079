/**
 * Tests the guarantees to callers with several daemons, real connections and faulty endpoints.
 */
import { assert, describe } from '@vanillathread/testing'
import { Execution, ResultCode } from '@vanillathread/model'
import { FleetVmState } from '@vanillathread/ports'
import { createVmRecord, fleetKeys, VmState } from '@vanillathread/policy'
import { EndpointFault, PlatformFault } from '@vanillathread/stand-ins'
import { SERVICE, type LocalCluster } from './lib/LocalCluster.js'
import { sendRequest, type CallerOutcome } from './lib/sendRequest.js'
import { waitUntil } from './lib/waitUntil.js'
import { countRuns, withCluster } from './lib/withCluster.js'

function setFault (cluster: LocalCluster, fault: EndpointFault): void {
  for (const endpoint of cluster.endpoints) endpoint.fault = fault
}

describe('requests', ({ describe }) => {
  describe('answers', ({ it }) => {
    it('reach the caller that sent the request, through any daemon', () => withCluster({ daemons: 3, endpoints: 3 }, async (cluster) => {
      const tokens = Array.from({ length: 90 }, (_, index) => `token-${index}`)
      const outcomes = await Promise.all(tokens.map((token, index) => sendRequest(cluster.getUrl(index % 3), { token })))
      outcomes.forEach((outcome, index) => {
        assert.is(outcome.status, 200)
        assert.is(outcome.token, tokens[index])
      })
    }))

    it('that are larger than the buffer arrive complete', () => withCluster({ daemons: 1, endpoints: 1 }, async (cluster) => {
      cluster.getEndpoint(0).answerPadding = 'x'.repeat(3_000_000)
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'large' })
      assert.is(outcome.text?.length, `large|${SERVICE}-1|`.length + 3_000_000)
    }))

    for (const fault of [EndpointFault.CutBody, EndpointFault.WrongAttemptId, EndpointFault.Unframed]) {
      it(`with the fault ${fault} are refused as broken and not retried`, () => withCluster({ daemons: 1, endpoints: 2 }, async (cluster) => {
        setFault(cluster, fault)
        const outcome = await sendRequest(cluster.getUrl(0), { token: 'mare', method: 'POST', body: 'x' })
        assert.is(outcome.problem?.code, ResultCode.AnswerBroken)
        assert.is(outcome.problem?.execution, Execution.Unknown)
        assert.is(countRuns(cluster, 'mare'), 1)
      }))
    }

    it('that are larger than the buffer and break off are visibly broken at the caller', () => withCluster({ daemons: 1, endpoints: 1 }, async (cluster) => {
      cluster.getEndpoint(0).answerPadding = 'x'.repeat(3_000_000)
      setFault(cluster, EndpointFault.CutBody)
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'large', method: 'POST', body: 'x' })
      assert.is(outcome.text, undefined)
    }))
  })

  describe('retries', ({ it }) => {
    it('of an idempotent request happen on a connection reset', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      cluster.getEndpoint(0).fault = EndpointFault.ResetAfterRun
      for (let index = 0; index < 10; index++) {
        const outcome = await sendRequest(cluster.getUrl(0), { token: `token-${index}` })
        assert.is(outcome.token, `token-${index}`)
      }
    }))

    it('of a non-idempotent request do not happen on a connection reset', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      setFault(cluster, EndpointFault.ResetAfterRun)
      for (let index = 0; index < 6; index++) {
        const outcome = await sendRequest(cluster.getUrl(0), { token: `token-${index}`, method: 'POST', body: 'x' })
        assert.is(outcome.problem?.execution, Execution.Unknown)
        assert.is(countRuns(cluster, `token-${index}`), 1)
      }
    }))

    it('of a non-idempotent request happen on a refusal as not run', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      cluster.getEndpoint(0).fault = EndpointFault.RefuseNotRun
      cluster.getEndpoint(1).fault = EndpointFault.RefuseNotRun
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'mare', method: 'POST', body: 'x' })
      assert.is(outcome.token, 'mare')
      assert.is(countRuns(cluster, 'mare'), 1)
    }))

    it('end with a refusal as not run if every endpoint refuses', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      setFault(cluster, EndpointFault.RefuseNotRun)
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'mare', method: 'POST', body: 'x' })
      assert.is(outcome.problem?.code, ResultCode.EndpointRefused)
      assert.is(outcome.problem?.execution, Execution.NotRun)
      assert.is(countRuns(cluster, 'mare'), 0)
    }))

    it('that are refused after a server error do not make the request count as not run', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      setFault(cluster, EndpointFault.RefuseNotRun)
      // The daemon is in the second endpoint's availability zone and tries that endpoint first.
      cluster.getEndpoint(1).fault = EndpointFault.FailFast
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'mare' })
      assert.is(countRuns(cluster, 'mare'), 1)
      assert.is(outcome.problem?.execution, Execution.Unknown)
    }))

    it('stay within their budget if every endpoint fails', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      setFault(cluster, EndpointFault.FailFast)
      for (let index = 0; index < 60; index++) await sendRequest(cluster.getUrl(0), { token: `token-${index}` })
      const runs = cluster.endpoints.reduce((sum, endpoint) => sum + endpoint.runs.length, 0)
      // Each request runs once. The retry budget allows its reserve and its ratio of the requests as further runs.
      assert.is(runs <= 60 + 5 + 6, true)
    }))
  })

  describe('slots', ({ it }) => {
    it('are never exceeded by several daemons under overload, the loss of a daemon and the start of another one', () => withCluster({ daemons: 3, endpoints: 3, slots: 4, serviceTimeMs: () => 20 }, async (cluster) => {
      const outcomes: Array<Promise<CallerOutcome | undefined>> = []
      for (let index = 0; index < 600; index++) {
        const url = cluster.getUrl(index % cluster.daemons.length)
        outcomes.push(sendRequest(url, { token: `token-${index}` }).catch(() => undefined))
        if (index === 200) await cluster.killDaemon(2)
        if (index === 400) await cluster.addDaemon()
        if (index % 10 === 0) await new Promise((resolve) => { setTimeout(resolve, 20) })
      }
      const answered = (await Promise.all(outcomes)).filter((outcome) => outcome?.status === 200).length
      for (const endpoint of cluster.endpoints) assert.is(endpoint.maxRunning <= 4, true, `${endpoint.maxRunning} ran at once`)
      assert.is(answered > 300, true, `${answered} answered`)
    }))
  })

  describe('connections', ({ it }) => {
    it('that went silent while idle are replaced without an error', () => withCluster({ daemons: 1, endpoints: 1 }, async (cluster) => {
      await sendRequest(cluster.getUrl(0), { token: 'first' })
      cluster.getEndpoint(0).stallConnections()
      await new Promise((resolve) => { setTimeout(resolve, 1_100) })
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'second', method: 'POST', body: 'x' })
      assert.is(outcome.token, 'second')
    }))

    it('that went silent in use do not fail an idempotent request', () => withCluster({ daemons: 1, endpoints: 2, service: { attemptTimeoutMs: 5_000 } }, async (cluster) => {
      for (let index = 0; index < 5; index++) await sendRequest(cluster.getUrl(0), { token: `warm-${index}` })
      cluster.getEndpoint(1).stallConnections()
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'mare' })
      assert.is(outcome.token, 'mare')
      // The second attempt goes to the other endpoint, without waiting for the first to time out.
      assert.is(cluster.getEndpoint(0).runs.some(({ token }) => token === 'mare'), true)
    }))

    it('that went silent in use do not eject their endpoint', () => withCluster({ daemons: 1, endpoints: 1, service: { attemptTimeoutMs: 300 } }, async (cluster) => {
      await sendRequest(cluster.getUrl(0), { token: 'first' })
      cluster.getEndpoint(0).stallConnections()
      const lost = await sendRequest(cluster.getUrl(0), { token: 'lost', method: 'POST', body: 'x' })
      assert.is(lost.problem?.code, ResultCode.AnswerLost)
      for (let index = 0; index < 4; index++) {
        const outcome = await sendRequest(cluster.getUrl(0), { token: `token-${index}`, method: 'POST', body: 'x' })
        assert.is(outcome.token, `token-${index}`)
      }
    }))
  })

  describe('endpoints', ({ it }) => {
    it('that fail every request are ejected, but only a bounded share of them', () => withCluster({ daemons: 1, endpoints: 3 }, async (cluster) => {
      // The daemon is in the second endpoint's availability zone.
      cluster.getEndpoint(1).fault = EndpointFault.FailFast
      for (let index = 0; index < 80; index++) await sendRequest(cluster.getUrl(0), { token: `token-${index}`, method: 'POST', body: 'x' })
      assert.equal(cluster.getDaemon(0).parts.dispatcher.listLanes().get(SERVICE)?.endpoints.listEjected(), [`${SERVICE}-2`])
      setFault(cluster, EndpointFault.FailFast)
      for (let index = 0; index < 80; index++) await sendRequest(cluster.getUrl(0), { token: `again-${index}`, method: 'POST', body: 'x' })
      assert.is(cluster.getDaemon(0).parts.dispatcher.listLanes().get(SERVICE)?.endpoints.listEjected().length, 1)
    }))

    it('that announce that they are leaving get no new requests', () => withCluster({ daemons: 1, endpoints: 2 }, async (cluster) => {
      cluster.getEndpoint(0).fault = EndpointFault.Leaving
      for (let index = 0; index < 20; index++) {
        const outcome = await sendRequest(cluster.getUrl(0), { token: `token-${index}`, method: 'POST', body: 'x' })
        assert.is(outcome.token, `token-${index}`)
      }
      assert.is(cluster.getEndpoint(0).refused <= 1, true)
    }))

    it('whose VM is leaving in the fleet list or draining in its row get no new requests', () => withCluster({ daemons: 2, endpoints: 3 }, async (cluster) => {
      cluster.memory.fleet.setVm('vm-1', FleetVmState.Leaving)
      await cluster.memory.table.transact({ conditions: [], writes: [{ key: fleetKeys.vm('vm-2'), value: { ...createVmRecord('listings', 0), state: VmState.Draining } }] })
      await waitUntil('both daemons have stopped using the two endpoints', () => cluster.daemons.every((daemon) =>
        daemon.parts.dispatcher.listLanes().get(SERVICE)?.endpoints.listNotLeaving(performance.now()).length === 1))
      const before = [cluster.getEndpoint(0).runs.length, cluster.getEndpoint(1).runs.length]
      for (let index = 0; index < 20; index++) await sendRequest(cluster.getUrl(index % 2), { token: `token-${index}` })
      assert.equal([cluster.getEndpoint(0).runs.length, cluster.getEndpoint(1).runs.length], before)
    }))
  })

  describe('idempotency keys', ({ it }) => {
    const keyed = { method: 'POST' as const, body: 'x', headers: { 'idempotency-key': 'certificate-7' } }

    it('make a request run once through two daemons and return the same answer again', () => withCluster({ daemons: 2, endpoints: 3 }, async (cluster) => {
      const first = await sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed })
      assert.is(first.token, 'mare')
      await waitUntil('the answer is stored', () => cluster.memory.objects.size > 4)
      await new Promise((resolve) => { setTimeout(resolve, 50) })
      const second = await sendRequest(cluster.getUrl(1), { token: 'mare', ...keyed })
      assert.is(second.text, first.text)
      assert.is(countRuns(cluster, 'mare'), 1)
    }))

    it('make a request run once if two daemons get it at the same time', () => withCluster({ daemons: 2, endpoints: 3 }, async (cluster) => {
      const outcomes = await Promise.all(Array.from({ length: 10 }, (_, index) => sendRequest(cluster.getUrl(index % 2), { token: 'mare', ...keyed })))
      assert.is(outcomes.filter((outcome) => outcome.status === 200).length >= 1, true)
      assert.is(countRuns(cluster, 'mare'), 1)
    }))

    it('cause a refusal of another request with the same key', () => withCluster({ daemons: 1, endpoints: 1 }, async (cluster) => {
      await sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed })
      const outcome = await sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed, body: 'another' })
      assert.is(outcome.problem?.code, ResultCode.KeyReused)
    }))

    it('can be used again after a refusal as not run', () => withCluster({ daemons: 2, endpoints: 1 }, async (cluster) => {
      setFault(cluster, EndpointFault.RefuseNotRun)
      const refused = await sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed })
      assert.is(refused.problem?.execution, Execution.NotRun)
      setFault(cluster, EndpointFault.None)
      await new Promise((resolve) => { setTimeout(resolve, 100) })
      const outcome = await sendRequest(cluster.getUrl(1), { token: 'mare', ...keyed })
      assert.is(outcome.token, 'mare')
    }))

    it('cause a refusal as not run while the platform is down, and requests without a key are served', () => withCluster({ daemons: 1, endpoints: 1 }, async (cluster) => {
      cluster.faults.fault = PlatformFault.Down
      const refused = await sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed })
      assert.is(refused.problem?.code, ResultCode.ClaimStoreUnavailable)
      assert.is(refused.problem?.execution, Execution.NotRun)
      assert.is(countRuns(cluster, 'mare'), 0)
      const unkeyed = await sendRequest(cluster.getUrl(0), { token: 'stallion', method: 'POST', body: 'x' })
      assert.is(unkeyed.token, 'stallion')
    }))

    it('make a request run at most once if the answer to the claim is lost', () => withCluster({ daemons: 2, endpoints: 1 }, async (cluster) => {
      cluster.faults.fault = PlatformFault.AnswerLost
      await sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed })
      cluster.faults.fault = PlatformFault.None
      await sendRequest(cluster.getUrl(1), { token: 'mare', ...keyed })
      assert.is(countRuns(cluster, 'mare') <= 1, true)
    }))

    it('make a request run at most once if the daemon is lost between the claim and the attempt', () => withCluster({ daemons: 2, endpoints: 1 }, async (cluster) => {
      cluster.faults.fault = PlatformFault.Slow
      cluster.faults.slowMs = 300
      const writes = cluster.memory.table.counters.writes
      const lost = sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed }).catch(() => undefined)
      // The slow call writes the claim, and its answer reaches the daemon later.
      await waitUntil('a write is executed', () => cluster.memory.table.counters.writes > writes)
      const url = cluster.getUrl(1)
      await cluster.killDaemon(0)
      await lost
      cluster.faults.fault = PlatformFault.None
      await sendRequest(url, { token: 'mare', ...keyed })
      assert.is(countRuns(cluster, 'mare') <= 1, true)
    }))

    it('make a request run once if the daemon is lost after the answer and before the answer is stored', () => withCluster({ daemons: 2, endpoints: 1, serviceTimeMs: () => 100 }, async (cluster) => {
      const answered = sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed })
      await waitUntil('the request runs', () => countRuns(cluster, 'mare') === 1)
      cluster.faults.fault = PlatformFault.Down
      assert.is((await answered).token, 'mare')
      const url = cluster.getUrl(1)
      await cluster.killDaemon(0)
      cluster.faults.fault = PlatformFault.None
      const outcome = await sendRequest(url, { token: 'mare', ...keyed })
      assert.is(outcome.problem?.code, ResultCode.ClaimUndecided)
      assert.is(countRuns(cluster, 'mare'), 1)
    }))

    it('make a request run once if the daemon is lost between the claim and the answer', () => withCluster({ daemons: 2, endpoints: 1, serviceTimeMs: () => 200 }, async (cluster) => {
      const lost = sendRequest(cluster.getUrl(0), { token: 'mare', ...keyed }).catch(() => undefined)
      await waitUntil('the request runs', () => countRuns(cluster, 'mare') === 1)
      const url = cluster.getUrl(1)
      await cluster.killDaemon(0)
      await lost
      const outcome = await sendRequest(url, { token: 'mare', ...keyed })
      assert.is(outcome.problem?.code, ResultCode.ClaimUndecided)
      assert.is(countRuns(cluster, 'mare'), 1)
    }))
  })

  describe('stops', ({ it }) => {
    it('of a daemon do not interrupt requests in flight', () => withCluster({ daemons: 2, endpoints: 2, serviceTimeMs: () => 100 }, async (cluster) => {
      const sent = Array.from({ length: 40 }, (_, index) => sendRequest(cluster.getUrl(0), { token: `token-${index}`, method: 'POST', body: 'x' }))
      await waitUntil('requests run', () => cluster.endpoints.some((endpoint) => endpoint.runs.length > 0))
      const [daemon] = cluster.daemons.splice(0, 1)
      await daemon?.stop()
      const outcomes = await Promise.all(sent)
      outcomes.forEach((outcome, index) => {
        const notRun = outcome.problem?.execution === Execution.NotRun
        assert.is(notRun ? 0 : 1, countRuns(cluster, `token-${index}`))
        if (!notRun) assert.is(outcome.token, `token-${index}`)
      })
    }))
  })
})
