/**
 * Pacing of what a connection's HTTP parser gets to read.
 */
import type { Socket } from 'node:net'
import type { GuardedConnection } from './ConnectionGuard.js'

/** Bytes that the HTTP parser gets at a time. */
const MAX_PARSED_BYTES = 512

/** Bytes that the HTTP parser gets in one turn of the event loop. */
const MAX_TURN_BYTES = 2 * 1024

/**
 * Passes what a socket reads on to the HTTP parser in small pieces, until the connection is closing, and only a few in each turn of the event
 * loop.
 *
 * One read may hold thousands of requests or of parts of a body. The parser makes the objects of all that it gets before any can be
 * refused, and would keep other connections waiting meanwhile. An announced body is passed on as it comes, as it takes one object.
 *
 * @param onTurnEnd - called when a turn ends and more has been read.
 */
export function paceReads (connection: GuardedConnection, onTurnEnd: () => void): void {
  const { socket } = connection
  const parse = socket.listeners('data')
  const resume = socket.resume.bind(socket)
  let rest: Buffer | undefined
  let isHeld = false

  const runTurn = (): void => {
    let turnBytes = 0
    while (rest !== undefined && turnBytes < MAX_TURN_BYTES) {
      if (connection.isClosing || socket.destroyed) {
        rest = undefined
        break
      }
      const size = Math.max(MAX_PARSED_BYTES, connection.announcedBytesLeft)
      const piece = rest.subarray(0, size)
      if (connection.announcedBytesLeft === 0) turnBytes += piece.length
      rest = size < rest.length ? rest.subarray(size) : undefined
      connection.parsedBytes += piece.length
      for (const listener of parse) listener.call(socket, piece)
    }
    if (rest !== undefined) hold()
    else if (isHeld) release()
  }

  const hold = (): void => {
    if (!isHeld) socket.pause()
    isHeld = true
    onTurnEnd()
    setImmediate(runTurn)
  }

  const release = (): void => {
    isHeld = false
    resume()
  }

  socket.removeAllListeners('data')
  // The HTTP server resumes the socket whenever it has room for more of a body.
  socket.resume = (): Socket => isHeld ? socket : resume()
  socket.on('data', (bytes: Buffer) => {
    rest = rest === undefined ? bytes : Buffer.concat([rest, bytes])
    if (!isHeld) runTurn()
  })
}
