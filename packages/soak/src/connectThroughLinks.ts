/**
 * Preloaded into daemons: connections come from the daemon's own address, by which links tell daemons apart, and those to other daemons go
 * through their links. A daemon publishes the address at which it listens, so that the soak cannot put a link there.
 */
import { readFileSync } from 'node:fs'
import { Socket, type LookupFunction, type TcpSocketConnectOpts } from 'node:net'
import type { Address } from '@vanillathread/model'

const { SOAK_DAEMON_IP: ownIp, SOAK_PEER_LINKS: path = '' } = process.env
const peerLinks = new Map(JSON.parse(readFileSync(path, 'utf8')) as Array<[string, Address]>)

const connect = Socket.prototype.connect as (this: Socket, options: TcpSocketConnectOpts, onConnect?: () => void) => Socket

Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
  // `net.connect` passes its arguments as one array.
  const [options, onConnect] = (Array.isArray(args[0]) ? args[0] : args) as [TcpSocketConnectOpts, (() => void) | undefined]
  const { host, port } = options
  const link = peerLinks.get(`${host}:${port}`)
  if (link === undefined) return connect.call(this, { ...options, localAddress: ownIp }, onConnect)
  // A link accepts connections to a daemon that has ended, which refuses them.
  const lookup: LookupFunction = (_host, _options, callback) => {
    const probe = connect.call(new Socket(), { host, port })
    probe.once('error', (err) => callback(err, link.host, 4))
    probe.once('connect', () => {
      probe.destroy()
      callback(null, link.host, 4)
    })
  }
  return connect.call(this, { ...options, host: 'peer-link', port: link.port, localAddress: ownIp, lookup, autoSelectFamily: false, family: 4 }, onConnect)
}
