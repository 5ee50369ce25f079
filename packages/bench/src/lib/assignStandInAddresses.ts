/**
 * Gives declared endpoints the addresses of stand-ins.
 */
import type { Declarations, Service } from '@vanillathread/model'
import type { EndpointStandIn } from '@vanillathread/stand-ins'

/** Returns declarations in which the first endpoints of a service have the stand-ins' addresses and its other endpoints are removed. */
export function assignStandInAddresses (declarations: Declarations, serviceId: string, standIns: readonly EndpointStandIn[]): Declarations {
  const services = declarations.inventory.services.map((service) => service.id === serviceId ? assignServiceAddresses(service, standIns) : service)
  return { ...declarations, inventory: { ...declarations.inventory, services } }
}

function assignServiceAddresses (service: Service, standIns: readonly EndpointStandIn[]): Service {
  const endpoints = service.endpoints.slice(0, standIns.length).map((endpoint, index) => ({
    ...endpoint, host: '127.0.0.1', port: standIns[index]?.port ?? 1,
  }))
  return { ...service, endpoints }
}
