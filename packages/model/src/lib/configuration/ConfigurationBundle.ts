/**
 * Encodes a configuration as immutable chunks, addressed by their digest, and a manifest that lists them.
 *
 * One chunk holds the rules, one the regions, and one for each pool holds the pool with its VMs and services.
 * An edit of one pool therefore adds one chunk and one manifest.
 */
import { createHash } from 'node:crypto'
import { Encoder } from 'cbor-x'
import { z } from 'zod'
import type { Declarations } from '../inventory/Declarations.js'
import { inventorySchema, rulesSchema } from '../inventory/inventorySchema.js'
import { Result } from '../result/Result.js'
import { ResultCode } from '../result/ResultCode.js'

const RULES_CHUNK = 'rules'
const REGIONS_CHUNK = 'regions'
const POOL_CHUNK_PREFIX = 'pool/'
const BUNDLE_FORMAT = 1

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** An entry of the manifest: name and digest of one chunk. @public */
export interface ChunkReference {
  /** `rules`, `regions`, or `pool/` followed by the id of a pool. */
  readonly name: string
  /** SHA-256 of the chunk's bytes in hexadecimal. */
  readonly digest: string
}

const manifestSchema = z.strictObject({
  format: z.literal(BUNDLE_FORMAT),
  chunks: z.array(z.strictObject({ name: z.string(), digest: z.string() })),
})

/** Schema of the head row, which says which configuration is accepted. @public */
export const configurationHeadSchema = z.strictObject({
  /** Rises by one with each accepted edit. */
  version: z.int().min(0),
  /** SHA-256 of the manifest's bytes in hexadecimal. */
  manifestDigest: z.string(),
  /** Unique id of the edit, by which its author finds out whether it was accepted. */
  applyId: z.string(),
})

/** Content of the head row. @public */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>

/** Key of the head row in the table service. @public */
export const CONFIGURATION_HEAD_KEY = 'configuration/head'

/** Chunks and manifest of one configuration, ready to be stored. @public */
export interface EncodedBundle {
  /** SHA-256 of the manifest's bytes in hexadecimal. */
  readonly manifestDigest: string
  /** Bytes of the chunks and of the manifest, by digest. */
  readonly objects: ReadonlyMap<string, Uint8Array>
}

/** Returns the SHA-256 digest in hexadecimal. @public */
export function getDigest (bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}

/** Splits declarations into chunks. Equal declarations give equal digests. @public */
export function encodeBundle (declarations: Declarations): EncodedBundle {
  const objects = new Map<string, Uint8Array>()
  const addObject = (content: unknown): string => {
    const bytes = codec.encode(content)
    const digest = getDigest(bytes)
    objects.set(digest, bytes)
    return digest
  }
  const chunks = listChunks(declarations).map(([name, content]) => ({ name, digest: addObject(content) }))
  const manifestDigest = addObject({ format: BUNDLE_FORMAT, chunks })
  return { manifestDigest, objects }
}

/**
 * Checks the digest of a manifest and decodes it.
 *
 * @returns the chunks that it lists, or `ChunkDigestMismatch` or `SchemaViolation`.
 * @public
 */
export function decodeManifest (digest: string, bytes: Uint8Array): Result<ChunkReference[], ResultCode> {
  if (getDigest(bytes) !== digest) return Result.err(ResultCode.ChunkDigestMismatch)
  const res = manifestSchema.safeParse(codec.decode(bytes))
  return res.success ? Result.ok(res.data.chunks) : Result.err(ResultCode.SchemaViolation)
}

/**
 * Joins chunks into declarations.
 *
 * @param chunks - bytes by digest.
 * @returns the declarations; `ChunkDigestMismatch` if a chunk is missing or altered; `SchemaViolation`.
 */
export function decodeBundle (references: readonly ChunkReference[], chunks: ReadonlyMap<string, Uint8Array>): Result<Declarations, ResultCode> {
  const inventory: Record<string, unknown[]> = { regions: [], pools: [], vms: [], services: [] }
  let rules: unknown
  for (const { name, digest } of references) {
    const bytes = chunks.get(digest)
    if (bytes === undefined || getDigest(bytes) !== digest) return Result.err(ResultCode.ChunkDigestMismatch)
    const content = codec.decode(bytes)
    if (name === RULES_CHUNK) rules = content
    else if (name === REGIONS_CHUNK) inventory['regions'] = content
    else mergePoolChunk(inventory, content)
  }
  return parseParts(inventory, rules)
}

function parseParts (inventory: unknown, rules: unknown): Result<Declarations, ResultCode> {
  const parsedInventory = inventorySchema.safeParse(inventory)
  const parsedRules = rulesSchema.safeParse(rules)
  if (!parsedInventory.success || !parsedRules.success) return Result.err(ResultCode.SchemaViolation)
  return Result.ok({ inventory: parsedInventory.data, rules: parsedRules.data })
}

function mergePoolChunk (inventory: Record<string, unknown[]>, content: { pool: unknown, vms: unknown[], services: unknown[] }): void {
  inventory['pools']?.push(content.pool)
  inventory['vms']?.push(...content.vms)
  inventory['services']?.push(...content.services)
}

function listChunks ({ inventory, rules }: Declarations): Array<[string, unknown]> {
  const pools = [...inventory.pools].sort((a, b) => a.id.localeCompare(b.id))
  const poolChunks = pools.map((pool): [string, unknown] => [POOL_CHUNK_PREFIX + pool.id, {
    pool,
    vms: inventory.vms.filter((vm) => vm.pool === pool.id),
    services: inventory.services.filter((service) => service.pool === pool.id),
  }])
  return [[RULES_CHUNK, rules], [REGIONS_CHUNK, inventory.regions], ...poolChunks]
}
