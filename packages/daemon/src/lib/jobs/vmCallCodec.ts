/**
 * Encoding of calls to VMs that one daemon makes for another, and of their answers, in batches.
 */
import { Encoder } from 'cbor-x'
import type { VmEntry } from '@vanillathread/model'
import type { RenewCall, RunReference, StartCall, VmAnswer } from '@vanillathread/ports'

/** Kinds of calls to a VM. */
export enum VmCallKind {
  Start = 0,
  Stop = 1,
  Pace = 2,
  Renew = 3,
}

/** A call with its arguments. */
export type VmCall =
  | { readonly kind: VmCallKind.Start, readonly call: StartCall }
  | { readonly kind: VmCallKind.Stop, readonly call: RunReference }
  | { readonly kind: VmCallKind.Pace, readonly call: RunReference & { readonly percent: number } }
  | { readonly kind: VmCallKind.Renew, readonly call: RenewCall }

/** A call to a VM, with the number by which its answer is matched. */
export type NumberedVmCall = VmCall & { readonly seq: number, readonly vm: VmEntry }

/** The answer to the call with the same number. */
export interface NumberedVmAnswer {
  readonly seq: number
  readonly answer: VmAnswer<unknown>
}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** A batch as encoded. Tasks of one job share a payload, so each payload and each VM is in the batch only once. */
interface EncodedCalls {
  readonly vms: readonly VmEntry[]
  readonly payloads: readonly string[]
  /** Number, kind, index of the VM, arguments, and for a start the index of its payload. */
  readonly calls: ReadonlyArray<readonly [seq: number, kind: VmCallKind, vm: number, call: object, payload?: number]>
}

/** Encodes a batch of calls. */
export function encodeVmCalls (calls: readonly NumberedVmCall[]): Uint8Array<ArrayBuffer> {
  const vms = new Map<VmEntry, number>()
  const payloads = new Map<string, number>()
  const encoded: EncodedCalls['calls'] = calls.map(({ seq, vm, kind, call }) => {
    const vmIndex = getIndex(vms, vm)
    if (kind !== VmCallKind.Start) return [seq, kind, vmIndex, call]
    const { payload, ...rest } = call
    return [seq, kind, vmIndex, rest, getIndex(payloads, payload)]
  })
  const batch: EncodedCalls = { vms: [...vms.keys()], payloads: [...payloads.keys()], calls: encoded }
  return new Uint8Array(codec.encode(batch))
}

/** Decodes a batch of calls. Returns undefined for other bytes. */
export function decodeVmCalls (bytes: Uint8Array): NumberedVmCall[] | undefined {
  try {
    const { vms, payloads, calls } = codec.decode(bytes) as EncodedCalls
    return calls.map(([seq, kind, vmIndex, call, payloadIndex]) => {
      const vm = vms[vmIndex]
      if (vm === undefined || typeof vm.address?.host !== 'string' || !(kind in VmCallKind)) throw new TypeError('call of another form')
      const payload = kind === VmCallKind.Start ? { payload: payloads[payloadIndex ?? -1] ?? '' } : {}
      return { seq, kind, vm, call: { ...call, ...payload } } as NumberedVmCall
    })
  } catch {
    return undefined
  }
}

/** Encodes a batch of answers. */
export function encodeVmAnswers (answers: readonly NumberedVmAnswer[]): Uint8Array<ArrayBuffer> {
  return new Uint8Array(codec.encode(answers.map(({ seq, answer }) => [seq, answer])))
}

/** Decodes a batch of answers. Returns undefined for other bytes. */
export function decodeVmAnswers (bytes: Uint8Array): NumberedVmAnswer[] | undefined {
  try {
    const rows = codec.decode(bytes) as ReadonlyArray<readonly [number, VmAnswer<unknown>]>
    return rows.map(([seq, answer]) => {
      if (typeof answer.kind !== 'string') throw new TypeError('answer of another form')
      return { seq, answer }
    })
  } catch {
    return undefined
  }
}

/** Returns the index of a value among the keys, and adds it if it is new. */
function getIndex<T> (indexes: Map<T, number>, value: T): number {
  const known = indexes.get(value)
  if (known !== undefined) return known
  indexes.set(value, indexes.size)
  return indexes.size - 1
}
