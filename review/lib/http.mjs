/**
 * Helpers for the HTTP servers of the stand-ins.
 */

/** Listens on a free port and returns the address. */
export function listen (server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve({ host, port: server.address().port })
    })
  })
}

export async function readJson (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}

export function sendJson (res, status, body) {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
