/**
 * JSON over HTTP for the stand-ins, and the client that the cases use.
 */
import http from 'node:http'

/** Starts a server. The handler returns `{ status, body, headers }`, or undefined to leave the request without an answer. */
export function serveJson (host, handle, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, async (req, res) => {
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    const url = new URL(req.url, 'http://stand-in')
    const text = Buffer.concat(chunks).toString('utf8')
    const answer = await handle({ method: req.method, path: url.pathname, query: url.searchParams, headers: req.headers, body: parse(text), socket: req.socket })
    if (answer === undefined || res.destroyed) return
    res.writeHead(answer.status, { 'content-type': 'application/json', ...answer.headers })
    res.end(JSON.stringify(answer.body ?? {}))
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}

/** Closes a server with all its connections, as the end of its process does. */
export function closeServer (server) {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/** Sends a request. Resolves with `{ status, body }`, or with `{ error }` if no complete answer came. */
export function send ({ host, port, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  return new Promise((resolve) => {
    const content = body === undefined ? undefined : JSON.stringify(body)
    const req = http.request({
      host, port, method, path, headers: { ...(content === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) }), ...headers }, agent: false,
    })
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), timeoutMs)
    const finish = (answer) => {
      clearTimeout(timer)
      resolve(answer)
    }
    req.on('error', (err) => finish({ error: err.message }))
    req.on('response', (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('error', (err) => finish({ error: err.message }))
      res.on('end', () => finish({ status: res.statusCode, body: parse(Buffer.concat(chunks).toString('utf8')) }))
    })
    req.end(content)
  })
}

function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return {}
  }
}
