/**
 * Generates docs/RESULT-CODES.md and docs/EVENTS.md from the code. Run it after `npm run build`.
 */
import { writeFileSync } from 'node:fs'
import { EventCode, EVENTS, RESULT_CODES, ResultCode } from '@vanillathread/model'

function listNumbers (codes) {
  return Object.values(codes).filter((value) => typeof value === 'number')
}

const codeRows = listNumbers(ResultCode).map((code) => {
  const { title, status, execution } = RESULT_CODES[code]
  return `| ${code} | ${ResultCode[code]} | ${title} | ${status ?? ''} | ${execution ?? ''} |`
})
writeFileSync('docs/RESULT-CODES.md', `# Result codes

1xxx: declarations and settings. 2xxx: requests, with the HTTP status and whether the request ran (21xx: jobs).
3xxx: configuration. 4xxx: platform. Written by \`node scripts/writeTables.js\`; a test keeps this table and the code equal.

| code | name | meaning | status | execution |
|---|---|---|---|---|
${codeRows.join('\n')}
`)

const eventRows = listNumbers(EventCode).map((code) => `| ${code} | ${EventCode[code]} | ${EVENTS[code].level} | ${EVENTS[code].message} |`)
writeFileSync('docs/EVENTS.md', `# Log events

1xx: daemon. 2xx: configuration and platform. 3xx: peers. 4xx: endpoints. 5xx: requests. 6xx: fleet. 7xx: jobs, VMs, shards, store, machines.
No event carries a request body, a header value or a secret.
Written by \`node scripts/writeTables.js\`; a test keeps this catalogue and the code equal.

| event | name | level | message |
|---|---|---|---|
${eventRows.join('\n')}
`)
