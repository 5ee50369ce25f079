/**
 * What the members of crowds send.
 */
import { QUEUE_HOST, POOLS } from '../SoakCluster.js'
import type { CrowdConnection } from './CrowdConnection.js'

/** Sends the requests of one member. Returns early if the connection is closed. */
export type Member = (connection: CrowdConnection, index: number) => Promise<void>

/** Largest body that the daemon's configuration allows, in bytes. */
export const MAX_BODY_BYTES = 262_144

/** Largest head of a request that the daemon's configuration allows, in bytes. */
export const MAX_HEADER_BYTES = 16_384

const CRLF = '\r\n'

function createHead (index: number, headers: readonly string[], method = 'POST'): string {
  const id = index.toString(16).padStart(16, '0')
  return [`${method} /${POOLS[0]}/${id} HTTP/1.1`, `Host: ${QUEUE_HOST}`, ...headers, '', ''].join(CRLF)
}

function createChunk (size: number): Buffer {
  return Buffer.from(`${size.toString(16)}${CRLF}${' '.repeat(size)}${CRLF}`)
}

/** Sends a body in chunks of `chunkBytes`, at most `totalBytes` of it and without its end. */
export function sendChunks (chunkBytes: number, totalBytes: number, headers: readonly string[] = []): Member {
  const chunk = createChunk(chunkBytes)
  const chunksPerWrite = Math.max(1, Math.floor(MAX_HEADER_BYTES / chunk.length))
  const piece = Buffer.concat(Array.from({ length: chunksPerWrite }, () => chunk))
  return async (connection, index) => {
    if (!await connection.send(createHead(index, ['Transfer-Encoding: chunked', ...headers]))) return
    for (let sent = chunkBytes * chunksPerWrite; sent < totalBytes; sent += chunkBytes * chunksPerWrite) {
      if (!await connection.send(piece)) return
    }
  }
}

/** Announces a body of a length and sends all of it but the last bytes. */
export function announce (length: number, missingBytes: number): Member {
  const piece = Buffer.alloc(MAX_HEADER_BYTES, ' ')
  return async (connection, index) => {
    if (!await connection.send(createHead(index, [`Content-Length: ${length}`]))) return
    for (let left = length - missingBytes; left > 0; left -= piece.length) {
      if (!await connection.send(piece.subarray(0, left))) return
    }
  }
}

/** Sends whole requests with a body, one after the other. */
export function sendWhole (createBody: (index: number) => string, count: number, headers: readonly string[] = []): Member {
  return async (connection, index) => {
    for (let request = 0; request < count; request++) {
      const body = createBody(index * count + request)
      if (!await connection.send(createHead(index * count + request, [`Content-Length: ${Buffer.byteLength(body)}`, ...headers]) + body)) return
    }
  }
}

/** Sends GET requests ahead, without waiting for their answers. Without a host, the requests lack the header. */
export function sendAhead (count: number, host: string | undefined): Member {
  const requestsPerWrite = 250
  const request = `GET /${POOLS[0]}/ HTTP/1.1${CRLF}${host === undefined ? '' : `Host: ${host}${CRLF}`}${CRLF}`
  const piece = Buffer.from(request.repeat(requestsPerWrite))
  return async (connection) => {
    for (let sent = 0; sent < count; sent += requestsPerWrite) {
      if (!await connection.send(piece)) return
    }
  }
}

/** Sends a head that does not end, as many short header fields. */
export function sendUnfinishedHead (bytes: number): Member {
  const field = `a: b${CRLF}`
  return async (connection, index) => {
    await connection.send(createHead(index, []).slice(0, -CRLF.length) + field.repeat(Math.floor(bytes / field.length)))
  }
}

/** Sends nothing. */
export const staySilent: Member = async () => {}

/** Sends bytes that announce a message between daemons of `length` bytes, and all of it but the last one. */
export function sendUnfinishedFrame (length: number): Member {
  const piece = Buffer.alloc(MAX_HEADER_BYTES)
  return async (connection) => {
    const prefix = Buffer.alloc(4)
    prefix.writeUInt32BE(length)
    if (!await connection.send(prefix)) return
    for (let left = length - 1; left > 0; left -= piece.length) {
      if (!await connection.send(piece.subarray(0, left))) return
    }
  }
}
