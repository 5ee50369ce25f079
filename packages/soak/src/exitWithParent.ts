/**
 * Preloaded into daemons: ends the process if the soak that started it is gone, for example after SIGKILL.
 */
const CHECK_INTERVAL_MS = 1_000

const parent = process.ppid
setInterval(() => { if (process.ppid !== parent) process.exit(1) }, CHECK_INTERVAL_MS).unref()
