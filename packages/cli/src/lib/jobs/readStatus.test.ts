/**
 * Checks the status that is read from the metrics text of a daemon.
 */
import { assert, describe } from '@vanillathread/testing'
import { formatStatus, parseStatus } from './readStatus.js'

const TEXT = `
# HELP vanillathread_owner owner
# TYPE vanillathread_owner gauge
vanillathread_owner 1
vanillathread_store_silent_ms 12
vanillathread_configuration_version 7
vanillathread_resident_bytes 104857600
vanillathread_pool_open_jobs{pool="checks"} 3
vanillathread_pool_runs{pool="checks"} 11
vanillathread_pool_vms{pool="checks"} 6
vanillathread_pool_vms_silent{pool="checks"} 1
vanillathread_request_ms_bucket{le="5",call="submit"} 4
`

describe('readStatus', ({ it }) => {
  it('reads the gauges of a daemon\'s state, and ignores other metrics', () => {
    const status = parseStatus('10.1.0.9:7061', TEXT)
    assert.equal(status, {
      address: '10.1.0.9:7061',
      owner: true,
      storeSilentMs: 12,
      configurationVersion: 7,
      residentMb: 100,
      pools: { checks: { jobs: 3, runs: 11, vms: 6, silentVms: 1 } },
    })
    assert.equal(formatStatus(status), [
      '10.1.0.9:7061 owner configuration=7 storeSilentMs=12 residentMb=100', '  checks: 3 open jobs, 11 runs, 6 VMs, 1 silent',
    ])
  })

  it('shows a daemon that is not an owner as a gateway', () => {
    assert.match(formatStatus(parseStatus('h:1', 'vanillathread_owner 0\n'))[0] ?? '', 'gateway')
  })
})
