/**
 * Checks that faults in the operators' files are reported with code, line and path, and that an encoded configuration
 * decodes to the same content.
 */
import { readFileSync } from 'node:fs'
import { assert, describe } from '@vanillathread/testing'
import { decodeBundle, decodeManifest, encodeBundle } from '../configuration/ConfigurationBundle.js'
import { ResultCode } from '../result/ResultCode.js'
import { formatFault, type Fault } from '../yaml/Fault.js'
import { parseDeclarations } from './Declarations.js'

function readExample (example: string, name: string): string {
  return readFileSync(new URL(`../../../../../examples/${example}/${name}`, import.meta.url), 'utf8')
}

const inventory = readExample('lowicz', 'inventory.yaml')
const rules = readExample('lowicz', 'rules.yaml')

function findFaults (inventoryText: string, rulesText: string): Fault[] {
  const res = parseDeclarations({ name: 'inventory.yaml', text: inventoryText }, { name: 'rules.yaml', text: rulesText })
  return res.ok ? [] : res.error
}

/** Returns the line, counted from 1, of the first line that holds a text. */
function findLine (text: string, part: string): number {
  return text.split('\n').findIndex((line) => line.includes(part)) + 1
}

/** A text and its replacement. */
type Replacement = [string, string]

function replaceAll (text: string, replacements: readonly Replacement[]): string {
  return replacements.reduce((changed, [from, to]) => changed.replace(from, to), text)
}

interface FaultCase {
  readonly name: string
  readonly code: ResultCode
  readonly inventory?: Replacement
  readonly rules?: Replacement[]
}

const CASES: FaultCase[] = [
  { name: 'a file that is not YAML', code: ResultCode.YamlSyntax, inventory: ['pools:', 'pools: ['] },
  { name: 'a value of the wrong type', code: ResultCode.SchemaViolation, rules: [['minAvailable: 6', 'minAvailable: six']] },
  { name: 'an unknown key', code: ResultCode.SchemaViolation, rules: [['minAvailable: 6', 'minAvailable: 6, maxAvailable: 7']] },
  { name: 'a VM declared twice in one pool', code: ResultCode.DuplicateId, inventory: ['id: lowicz-02, zone', 'id: lowicz-01, zone'] },
  { name: 'a VM named in two pools', code: ResultCode.VmInTwoPools, inventory: ['id: lowicz-09, zone', 'id: lowicz-01, zone'] },
  { name: 'a VM in an unknown pool', code: ResultCode.UnknownPool, inventory: ['rack: mazovia-a-r1, pool: listings', 'rack: mazovia-a-r1, pool: cattle'] },
  { name: 'a VM in an unknown zone', code: ResultCode.UnknownZone, inventory: ['zone: mazovia-a, rack', 'zone: mazovia-z, rack'] },
  { name: 'a service of an unknown pool', code: ResultCode.ServiceWithoutPool, inventory: ['  - id: auctions\n    pool: auctions\n    attempt', '  - id: auctions\n    pool: cattle\n    attempt'] },
  { name: 'an endpoint on a VM outside the pool of its service', code: ResultCode.EndpointOutsidePool, inventory: ['id: listings-1, vm: lowicz-01', 'id: listings-1, vm: lowicz-09'] },
  { name: 'a budget that leaves no VM for a maintenance wave', code: ResultCode.BudgetNotSatisfiable, rules: [['pool: listings, minAvailable: 6', 'pool: listings, minAvailable: 8']] },
  { name: 'a budget of an unknown pool', code: ResultCode.UnknownPool, rules: [['pool: listings, minAvailable', 'pool: cattle, minAvailable']] },
  { name: 'a pool without a budget', code: ResultCode.PoolWithoutBudget, rules: [['  - { pool: office, minAvailable: 4 }\n', '']] },
  { name: 'a window too short to maintain every VM within the period', code: ResultCode.WindowTooShort, rules: [["to: '04:00'", "to: '22:30'"], ['[monday, wednesday, saturday]', '[monday]'], ['minAvailable: 6', 'minAvailable: 7']] },
]

describe('parseDeclarations', ({ it, describe }) => {
  for (const example of ['lowicz', 'estrada']) {
    it(`accepts the example ${example}, with the expected numbers of zones, services, VMs and endpoints`, () => {
      const res = parseDeclarations({ name: 'i', text: readExample(example, 'inventory.yaml') }, { name: 'r', text: readExample(example, 'rules.yaml') })
      assert.is(res.ok, true)
      if (!res.ok) return
      const { regions, services, vms, pools } = res.value.inventory
      assert.equal([regions[0]?.zones.length, services.length, vms.length], [3, 5, 35])
      const spare = pools.find((pool) => pool.spare)
      assert.is(vms.filter((vm) => vm.pool === spare?.id).length, 6)
      for (const service of services) assert.is(service.endpoints.length >= 6 && service.endpoints.length <= 9, true)
    })
  }

  describe('faults', ({ it }) => {
    for (const fault of CASES) {
      it(`finds ${fault.name}`, () => {
        const changedInventory = replaceAll(inventory, fault.inventory === undefined ? [] : [fault.inventory])
        const changedRules = replaceAll(rules, fault.rules ?? [])
        const faults = findFaults(changedInventory, changedRules)
        const found = faults.find(({ code }) => code === fault.code)
        assert.is(found === undefined, false, faults.map(formatFault).join('\n'))
      })
    }

    it('reports line, path and text of a wrong value', () => {
      const changed = rules.replace('pool: pedigrees, minAvailable: 5', 'pool: pedigrees, minAvailable: five')
      const [fault] = findFaults(inventory, changed)
      assert.is(fault?.line, findLine(changed, 'five'))
      assert.is(fault?.path, 'budgets.1.minAvailable')
      assert.is(fault?.found, '"five"')
    })

    it('reports every fault of both files, ordered by file and line', () => {
      const faults = findFaults(
        inventory.replace('zone: mazovia-a, rack', 'zone: mazovia-z, rack').replace('id: listings-1, vm: lowicz-01', 'id: listings-1, vm: lowicz-09'),
        rules.replace('pool: listings, minAvailable: 6', 'pool: listings, minAvailable: 8'))
      assert.equal(faults.map(({ code }) => code), [ResultCode.UnknownZone, ResultCode.EndpointOutsidePool, ResultCode.BudgetNotSatisfiable])
    })
  })
})

describe('ConfigurationBundle', ({ it }) => {
  it('decodes to the encoded declarations, and gives equal content equal digests', () => {
    const res = parseDeclarations({ name: 'i', text: inventory }, { name: 'r', text: rules })
    if (!res.ok) throw new Error('example has faults')
    const bundle = encodeBundle(res.value)
    assert.is(encodeBundle(structuredClone(res.value)).manifestDigest, bundle.manifestDigest)
    const manifest = decodeManifest(bundle.manifestDigest, bundle.objects.get(bundle.manifestDigest) as Uint8Array)
    if (!manifest.ok) throw new Error('manifest does not decode')
    const decoded = decodeBundle(manifest.value, bundle.objects)
    if (!decoded.ok) throw new Error('bundle does not decode')
    assert.is(encodeBundle(decoded.value).manifestDigest, bundle.manifestDigest)
  })

  it('adds one chunk and one manifest if one pool changes', () => {
    const res = parseDeclarations({ name: 'i', text: inventory }, { name: 'r', text: rules })
    if (!res.ok) throw new Error('example has faults')
    const before = encodeBundle(res.value)
    const changed = structuredClone(res.value)
    const [vm] = changed.inventory.vms
    if (vm !== undefined) vm.processors = 64
    const added = [...encodeBundle(changed).objects.keys()].filter((digest) => !before.objects.has(digest))
    assert.is(added.length, 2)
  })

  it('rejects a manifest whose bytes do not match its digest', () => {
    const res = parseDeclarations({ name: 'i', text: inventory }, { name: 'r', text: rules })
    if (!res.ok) throw new Error('example has faults')
    const bundle = encodeBundle(res.value)
    const bytes = Uint8Array.from(bundle.objects.get(bundle.manifestDigest) as Uint8Array)
    bytes[bytes.length - 1] = (bytes[bytes.length - 1] ?? 0) ^ 1
    assert.equal(decodeManifest(bundle.manifestDigest, bytes), { ok: false, error: ResultCode.ChunkDigestMismatch })
  })
})
