/**
 * Reading of a request's body into one buffer.
 */
import type { IncomingMessage } from 'node:http'
import { ResultCode } from '@vanillathread/model'
import type { ConnectionGuard } from './ConnectionGuard.js'
import { GrowingBuffer } from './GrowingBuffer.js'
import { RequestRefusal } from './RequestRefusal.js'

/** Options of {@link readBody}. */
export interface BodyOptions {
  readonly guard: ConnectionGuard
  /** Largest body, in bytes. */
  readonly maxBytes: number
}

/** Returns true if a body follows the head of a request. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0'
}

/**
 * Reads a body into a buffer that grows with what has arrived, and not with what is announced.
 *
 * @throws RequestRefusal if the body is too large, or has to give way to other requests.
 */
export function readBody (req: IncomingMessage, { guard, maxBytes }: BodyOptions): Promise<Buffer> {
  const connection = guard.find(req.socket)
  if (connection === undefined) return Promise.reject(new RequestRefusal(ResultCode.CallerGone))
  const announcedBytes = Number(req.headers['content-length'] ?? 0)
  if (announcedBytes > maxBytes) return Promise.reject(new RequestRefusal(ResultCode.RequestTooLarge))
  const maxCapacity = announcedBytes > 0 ? announcedBytes : maxBytes
  return new Promise((resolve, reject) => {
    const content = GrowingBuffer.create()
    const end = (): void => {
      req.off('data', onData).off('end', onEnd).off('close', onClose)
      guard.endUnfinished(connection)
    }
    const refuse = (code: ResultCode): void => {
      end()
      content.clear()
      connection.isClosing = true
      reject(new RequestRefusal(code))
    }
    const onData = (part: Buffer): void => {
      if (content.length + part.length > maxBytes) return refuse(ResultCode.RequestTooLarge)
      const formerCapacity = content.capacity
      content.append(part, maxCapacity)
      connection.announcedBytesLeft = Math.max(0, announcedBytes - content.length)
      guard.charge(connection, content.capacity - formerCapacity, 1)
    }
    const onEnd = (): void => {
      end()
      connection.onWholeBody?.()
      resolve(content.take())
    }
    const onClose = (): void => {
      end()
      content.clear()
      reject(new RequestRefusal(ResultCode.CallerGone))
    }
    guard.beginBody(connection, announcedBytes, refuse)
    req.on('data', onData).on('end', onEnd).on('close', onClose)
  })
}
