/**
 * Settings of the daemons of a lab.
 */
import type { JobsSettings } from '@vanillathread/daemon'
import type { LabDaemon } from './JobLab.js'

/** Builds the settings of a daemon that every lab starts with. */
export function createSettings (daemon: LabDaemon): JobsSettings {
  return {
    name: daemon.name,
    zone: 'a',
    speed: 1,
    peer: daemon.address,
    metrics: daemon.address,
    maxLeaseMs: 6_000,
    stopMs: 200,
    orderLeaseMs: 3_000,
    fencingEnforced: true,
    graceMs: 6_000,
    maintenanceMs: 2_000,
    moveMs: 1_500,
    stateKeptMs: 120_000,
    rowBytes: 65_536,
    configurationApplyMs: 2_000,
  }
}
