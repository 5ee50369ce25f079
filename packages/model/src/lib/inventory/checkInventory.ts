/**
 * Checks the declarations for faults that a schema cannot express, such as references to pools that are not declared.
 */
import { ResultCode } from '../result/ResultCode.js'
import type { Fault } from '../yaml/Fault.js'
import type { YamlFile } from '../yaml/YamlFile.js'
import type { Declarations } from './Declarations.js'
import type { MaintenanceWindow, Vm } from './inventorySchema.js'

/** The parsed files, which give the line of each fault. @public */
export interface DeclarationFiles {
  readonly inventory: YamlFile
  readonly rules: YamlFile
}

const MINUTES_PER_HOUR = 60
const MINUTES_PER_DAY = 24 * MINUTES_PER_HOUR
const DAYS_PER_WEEK = 7

/** Returns every fault, in no particular order. @public */
export function checkInventory (declarations: Declarations, files: DeclarationFiles): Fault[] {
  return [
    ...checkVms(declarations, files),
    ...checkDuplicates(declarations, files),
    ...checkServices(declarations, files),
    ...checkBudgets(declarations, files),
    ...checkWindows(declarations, files),
  ]
}

function checkVms ({ inventory }: Declarations, files: DeclarationFiles): Fault[] {
  const faults: Fault[] = []
  const zones = new Set(inventory.regions.flatMap((region) => region.zones))
  const pools = new Set(inventory.pools.map((pool) => pool.id))
  const firstPool = new Map<string, string>()
  inventory.vms.forEach((vm, index) => {
    const path = ['vms', index]
    const earlierPool = firstPool.get(vm.id)
    if (earlierPool !== undefined) faults.push(createDuplicateVmFault(vm, earlierPool, files.inventory, path))
    else firstPool.set(vm.id, vm.pool)
    if (!zones.has(vm.zone)) {
      faults.push(files.inventory.createFault([...path, 'zone'], ResultCode.UnknownZone, vm.zone, [...zones].join(', ')))
    }
    if (!pools.has(vm.pool)) {
      faults.push(files.inventory.createFault([...path, 'pool'], ResultCode.UnknownPool, vm.pool, [...pools].join(', ')))
    }
  })
  return faults
}

function createDuplicateVmFault (vm: Vm, earlierPool: string, file: YamlFile, path: ReadonlyArray<string | number>): Fault {
  if (earlierPool === vm.pool) return file.createFault([...path, 'id'], ResultCode.DuplicateId, vm.id, 'an identifier used once')
  return file.createFault([...path, 'pool'], ResultCode.VmInTwoPools, `${vm.id} in ${earlierPool} and ${vm.pool}`, 'one pool for a VM')
}

function checkDuplicates ({ inventory, rules }: Declarations, files: DeclarationFiles): Fault[] {
  const endpoints = inventory.services.flatMap((service, index) =>
    service.endpoints.map((endpoint, place) => ({ id: endpoint.id, path: ['services', index, 'endpoints', place, 'id'] })))
  return [
    ...findDuplicates(files.inventory, inventory.regions.map((region, index) => ({ id: region.id, path: ['regions', index, 'id'] }))),
    ...findDuplicates(files.inventory, inventory.pools.map((pool, index) => ({ id: pool.id, path: ['pools', index, 'id'] }))),
    ...findDuplicates(files.inventory, inventory.services.map((service, index) => ({ id: service.id, path: ['services', index, 'id'] }))),
    ...findDuplicates(files.inventory, endpoints),
    ...findDuplicates(files.rules, rules.budgets.map((budget, index) => ({ id: budget.pool, path: ['budgets', index, 'pool'] }))),
    ...findDuplicates(files.rules, rules.teams.map((team, index) => ({ id: team.id, path: ['teams', index, 'id'] }))),
  ]
}

function findDuplicates (file: YamlFile, items: Array<{ id: string, path: Array<string | number> }>): Fault[] {
  const seen = new Set<string>()
  return items.flatMap(({ id, path }) => {
    if (seen.has(id)) return [file.createFault(path, ResultCode.DuplicateId, id, 'an identifier used once')]
    seen.add(id)
    return []
  })
}

function checkServices ({ inventory }: Declarations, files: DeclarationFiles): Fault[] {
  const pools = new Set(inventory.pools.map((pool) => pool.id))
  const poolOfVm = new Map(inventory.vms.map((vm) => [vm.id, vm.pool]))
  const sparePools = new Set(inventory.pools.filter((pool) => pool.spare).map((pool) => pool.id))
  // An endpoint on a spare VM is used while that VM is lent to the service's pool.
  const mayRunOn = (vmPool: string | undefined, servicePool: string): boolean => vmPool === servicePool || (vmPool !== undefined && sparePools.has(vmPool))
  return inventory.services.flatMap((service, index) => {
    const path = ['services', index]
    if (!pools.has(service.pool)) {
      return [files.inventory.createFault([...path, 'pool'], ResultCode.ServiceWithoutPool, service.pool, [...pools].join(', '))]
    }
    return service.endpoints.flatMap((endpoint, place) => {
      if (mayRunOn(poolOfVm.get(endpoint.vm), service.pool)) return []
      return [files.inventory.createFault([...path, 'endpoints', place, 'vm'], ResultCode.EndpointOutsidePool, endpoint.vm, `a VM of pool ${service.pool} or of a spare pool`)]
    })
  })
}

function checkBudgets ({ inventory, rules }: Declarations, files: DeclarationFiles): Fault[] {
  const sizes = countVmsByPool(inventory.vms)
  const budgeted = new Set(rules.budgets.map((budget) => budget.pool))
  const faults = rules.budgets.flatMap((budget, index) => {
    const size = sizes.get(budget.pool)
    if (size === undefined) return [files.rules.createFault(['budgets', index, 'pool'], ResultCode.UnknownPool, budget.pool, 'a pool with VMs')]
    if (budget.minAvailable < size) return []
    return [files.rules.createFault(['budgets', index, 'minAvailable'], ResultCode.BudgetNotSatisfiable, String(budget.minAvailable), `at most ${size - 1} of ${size} VMs`)]
  })
  const missing = inventory.pools.flatMap((pool, index) => budgeted.has(pool.id)
    ? []
    : [files.inventory.createFault(['pools', index, 'id'], ResultCode.PoolWithoutBudget, pool.id, 'a pool that rules.yaml gives a budget')])
  return [...faults, ...missing]
}

function checkWindows ({ inventory, rules }: Declarations, files: DeclarationFiles): Fault[] {
  const sizes = countVmsByPool(inventory.vms)
  const budgets = new Map(rules.budgets.map((budget) => [budget.pool, budget.minAvailable]))
  return rules.windows.flatMap((window, index) => window.pools.flatMap((pool, place) => {
    const path = ['windows', index, 'pools', place]
    const size = sizes.get(pool)
    if (size === undefined) return [files.rules.createFault(path, ResultCode.UnknownPool, pool, 'a pool with VMs')]
    const maxConcurrent = Math.max(0, size - (budgets.get(pool) ?? 0))
    const maintainableVms = countMaintenanceRounds(window, rules.maintenance.periodDays) * maxConcurrent
    if (maintainableVms >= size || maxConcurrent === 0) return []
    return [files.rules.createFault(path, ResultCode.WindowTooShort, `room for ${maintainableVms} VMs`, `room for ${size} VMs in ${rules.maintenance.periodDays} days`)]
  }))
}

/**
 * Returns the number of VMs that can be maintained one after another in all openings of a window within a period.
 * Only whole weeks of the period count.
 */
function countMaintenanceRounds (window: MaintenanceWindow, periodDays: number): number {
  const perOpening = Math.floor(getWindowMinutes(window) / window.vmMinutes)
  const openings = Math.floor(periodDays / DAYS_PER_WEEK) * new Set(window.days).size
  return perOpening * openings
}

function getWindowMinutes (window: MaintenanceWindow): number {
  const length = parseMinutes(window.to) - parseMinutes(window.from)
  return length > 0 ? length : length + MINUTES_PER_DAY
}

function parseMinutes (timeOfDay: string): number {
  const [hours = '0', minutes = '0'] = timeOfDay.split(':')
  return Number(hours) * MINUTES_PER_HOUR + Number(minutes)
}

function countVmsByPool (vms: readonly Vm[]): Map<string, number> {
  const sizes = new Map<string, number>()
  for (const vm of vms) sizes.set(vm.pool, (sizes.get(vm.pool) ?? 0) + 1)
  return sizes
}
