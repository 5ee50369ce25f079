/**
 * Entry point of a daemon with a planted fault: the real program, whose owner makes the calls to VMs in a naive way.
 * Argument: the fault.
 */
import { createNaiveClients, type NaiveOwner } from '@vanillathread/integration'
import type { VmClients } from '@vanillathread/ports'

const PLATFORM_FOLDER = new URL('../../../platform/dist/', import.meta.url)

const naive = process.argv[2] as NaiveOwner
const { HttpVmClients } = await import(new URL('lib/HttpVmClients.js', PLATFORM_FOLDER).href) as { HttpVmClients: { create: () => VmClients } }
const create = HttpVmClients.create.bind(HttpVmClients)
HttpVmClients.create = () => createNaiveClients(create(), naive)
await import(new URL('main.js', PLATFORM_FOLDER).href)
