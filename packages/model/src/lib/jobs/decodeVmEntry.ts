/**
 * What a VM's registration must be. Any program may write registrations, so this is the only place that decides which ones name a VM
 * that a client can be opened for, that a call can name and that a row of the store can hold.
 */
import { isIPv4, isIPv6 } from 'node:net'
import { z } from 'zod'
import { decodeBySchema } from '../result/decodeBySchema.js'
import type { Result } from '../result/Result.js'
import type { VmEntry } from './Vm.js'

/** Longest host name that the domain name system allows. */
const MAX_HOST_LENGTH = 253
const MAX_PORT = 65_535

/** The platform's limit on the bytes of a key, and so on an id. */
const MAX_NAME_LENGTH = 200

/** Keeps the VM's row of the roster below the platform's limit of 64 KiB, with three bytes for each character. */
const MAX_LABELS = 100

/** A million cores, or a petabyte. Sums over many VMs stay exact. */
const MAX_CAPACITY = 1_000_000_000

/** The year 2286. */
const MAX_BORN_MS = 10_000_000_000_000

/** Each call to a VM carries its id in a header: printable ASCII without a space at either end, which a parser would remove. */
const HEADER_VALUE = /^[!-~](?:[ -~]*[!-~])?$/

const HOST_NAME = /^(?:[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?\.)*[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?$/i

const name = z.string().max(MAX_NAME_LENGTH)
const capacity = z.int().min(0).max(MAX_CAPACITY)

const addressSchema = z.object({
  host: z.string().max(MAX_HOST_LENGTH).refine(isHost, 'must be a host name, an IPv4 address or an IPv6 address in brackets'),
  port: z.int().min(1).max(MAX_PORT),
})

const vmEntrySchema = z.object({
  id: name.regex(HEADER_VALUE, 'must be usable as the value of a header'),
  machine: name.min(1).optional(),
  pool: name.min(1),
  address: addressSchema,
  zone: name,
  capacity: z.object({ cpuMillis: capacity, memoryMb: capacity, accelerators: capacity }),
  labels: z.array(name).max(MAX_LABELS),
  draining: z.boolean(),
  bornMs: z.int().min(0).max(MAX_BORN_MS),
})

/** Decodes a VM's registration. Never throws; an error is the reason why the registration names no VM that can be used. @public */
export function decodeVmEntry (value: unknown): Result<VmEntry, string> {
  return decodeBySchema(vmEntrySchema, value)
}

/** Returns true if a client can be opened for an address. @public */
export function isUsableAddress (value: unknown): boolean {
  return decodeBySchema(addressSchema, value).ok
}

/** Returns true if a URL with this host names this host and nothing else. A URL reads `1.2.3` as an IPv4 address and refuses `xn--a`. */
function isHost (host: string): boolean {
  if (isIPv4(host)) return true
  if (host.startsWith('[') && host.endsWith(']')) return isIPv6(host.slice(1, -1)) && URL.canParse(`http://${host}`)
  return HOST_NAME.test(host) && URL.canParse(`http://${host}`) && new URL(`http://${host}`).hostname === host.toLowerCase()
}
