/**
 * Schema of the daemon's settings file.
 */
import { z } from 'zod'
import { Result } from '../result/Result.js'
import type { Fault } from '../yaml/Fault.js'
import { YamlFile } from '../yaml/YamlFile.js'

const MAX_PORT = 65535

const port = z.int().min(0).max(MAX_PORT)
const address = z.strictObject({ host: z.string().min(1), port })
const identifier = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'lower-case letters, digits and hyphens')

const platformSettings = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('memory') }),
  z.strictObject({ kind: z.literal('http'), url: z.url({ protocol: /^https?$/ }), timeoutMs: z.int().min(10).default(2_000) }),
])

/** Lowest severity of the events that are logged. @public */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Schema of the file given as `vanillathreadd --settings FILE`. @public */
export const settingsSchema = z.strictObject({
  daemon: z.strictObject({
    id: identifier,
    region: identifier,
    zone: identifier,
  }),
  /** Addresses at which the daemon listens. */
  listen: z.strictObject({
    /** For requests to services. */
    caller: address,
    /** For operators' queries and health checks. */
    operations: address,
    /** For messages of other daemons. */
    peer: address,
  }),
  /** Addresses of a few peers that a daemon contacts first, even if the table service is unavailable. */
  seeds: z.array(address).default([]),
  platform: platformSettings,
  log: z.strictObject({ level: z.enum(LogLevel) }).default({ level: LogLevel.Info }),
  metrics: z.strictObject({ host: z.string(), port, prefix: z.string().default('vanillathread.') }).optional(),
  tracing: z.strictObject({
    /** Share of new traces that are recorded, 0 to 1. */
    sampleRatio: z.number().min(0).max(1).default(0),
    /** Address of the collector to which spans are sent as OTLP over HTTP. */
    otlpUrl: z.url({ protocol: /^https?$/ }).optional(),
  }).default({ sampleRatio: 0 }),
  /** What the VM gives to the process; the limits on connections and requests follow from it. */
  resources: z.strictObject({
    /** Memory of the process, in MB. */
    memoryMb: z.int().min(128).default(256),
    /** File descriptors of the process. */
    maxDescriptors: z.int().min(512).default(4_096),
  }).default({ memoryMb: 256, maxDescriptors: 4_096 }),
  stop: z.strictObject({
    /** Time for which a stopping daemon still accepts requests, until the balancer has noticed, in milliseconds. */
    balancerDelayMs: z.int().min(0).default(2_000),
    /** Longest wait for requests in flight, in milliseconds. */
    drainTimeoutMs: z.int().min(0).default(60_000),
  }).default({ balancerDelayMs: 2_000, drainTimeoutMs: 60_000 }),
})

/** Validated settings of one daemon. @public */
export type Settings = z.infer<typeof settingsSchema>

/** Host name or IP address, and port. @public */
export type Address = z.infer<typeof address>

/**
 * Parses a settings file.
 *
 * @returns the settings, or every fault in the file.
 * @public
 */
export function parseSettings (name: string, text: string): Result<Settings, Fault[]> {
  const file = YamlFile.create(name, text)
  if (!file.ok) return file
  return file.value.parse(settingsSchema)
}
