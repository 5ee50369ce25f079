/**
 * Clients of VMs for simulations: with the calls of an incorrect owner, with a count of the calls, and with paths that are cut.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { VmAnswerKind, type VmAnswer, type VmClient, type VmClients } from '@vanillathread/ports'

/** Deliberately incorrect behaviours of the owner, which the history must detect. */
export enum NaiveOwner {
  /** Treats a start order with an unknown outcome as refused, and starts the task again. */
  RestartsWithoutAnswer = 'restarts-on-silence',
  /** Sends every order with the same fencing token, so VMs never reject orders of a previous owner. */
  WithoutFencingToken = 'without-fence',
  /** Acknowledges end entries, which VMs then forget, before the ends are in the store. */
  AcknowledgesEarly = 'notes-early',
}

/** Wraps clients so that their calls are those of an owner with the given incorrect behaviour. */
export function createNaiveClients (vms: VmClients, naive: NaiveOwner): VmClients {
  return { open: (entry) => createNaiveClient(vms.open(entry), naive) }
}

/** Wraps clients so that `onCall` is called before each call. */
export function countCalls (vms: VmClients, onCall: () => void): VmClients {
  const count = <A, T>(call: (argument: A) => T) => (argument: A): T => {
    onCall()
    return call(argument)
  }
  return {
    open: (entry) => {
      const client = vms.open(entry)
      return {
        start: count((call) => client.start(call)),
        stop: count((call) => client.stop(call)),
        pace: count((call) => client.pace(call)),
        renew: count((call) => client.renew(call)),
        dispose: () => client.dispose(),
      }
    },
  }
}

/** Timeout of a call on a path that is cut. */
const CALL_TIMEOUT_MS = 600

/** Wraps clients so that a call on a path that is cut is not carried out and times out, and an answer is lost if the path is cut meanwhile. */
export function cutCalls (vms: VmClients, timers: TimerService, isCut: (vmId: string) => boolean): VmClients {
  return {
    open: (entry) => {
      const client = vms.open(entry)
      const cut = <A, T>(call: (argument: A) => Promise<VmAnswer<T>>) => async (argument: A): Promise<VmAnswer<T>> => {
        const answer = isCut(entry.id) ? undefined : await call(argument)
        if (answer !== undefined && !isCut(entry.id)) return answer
        await delay(timers, CALL_TIMEOUT_MS)
        return { kind: VmAnswerKind.Unknown, reason: 'no answer' }
      }
      return {
        start: cut((call) => client.start(call)),
        stop: cut((call) => client.stop(call)),
        pace: cut((call) => client.pace(call)),
        renew: cut((call) => client.renew(call)),
        dispose: () => client.dispose(),
      }
    },
  }
}

/** Wraps a VM client so that its calls are those of an owner with the given incorrect behaviour. */
function createNaiveClient (client: VmClient, naive: NaiveOwner): VmClient {
  const getToken = (call: { fencingToken: number }): number => naive === NaiveOwner.WithoutFencingToken ? 1 : call.fencingToken
  return {
    start: async (call) => {
      const answer = await client.start({ ...call, fencingToken: getToken(call) })
      if (naive !== NaiveOwner.RestartsWithoutAnswer || answer.kind !== VmAnswerKind.Unknown) return answer
      return { kind: VmAnswerKind.Refused, refusal: 'unhealthy' as never }
    },
    stop: (call) => client.stop({ ...call, fencingToken: getToken(call) }),
    pace: (call) => client.pace({ ...call, fencingToken: getToken(call) }),
    renew: (call) => client.renew({
      ...call, fencingToken: getToken(call), acknowledgedEnd: naive === NaiveOwner.AcknowledgesEarly ? Number.MAX_SAFE_INTEGER : call.acknowledgedEnd,
    }),
    dispose: () => client.dispose(),
  }
}
