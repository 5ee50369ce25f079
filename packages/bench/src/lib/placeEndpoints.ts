/**
 * Points declared endpoints at stand-ins on this machine.
 */
import type { Declarations, Service } from '@vanillathread/model'
import type { EndpointStandIn } from '@vanillathread/stand-ins'

/** Returns declarations in which a service has exactly the given endpoints, on the first VMs of its pool. */
export function placeEndpoints (declarations: Declarations, serviceId: string, standIns: readonly EndpointStandIn[]): Declarations {
  const services = declarations.inventory.services.map((service) => service.id === serviceId ? placeAll(service, standIns) : service)
  return { ...declarations, inventory: { ...declarations.inventory, services } }
}

function placeAll (service: Service, standIns: readonly EndpointStandIn[]): Service {
  const endpoints = service.endpoints.slice(0, standIns.length).map((endpoint, index) => ({
    ...endpoint, host: '127.0.0.1', port: standIns[index]?.port ?? 1,
  }))
  return { ...service, endpoints }
}
