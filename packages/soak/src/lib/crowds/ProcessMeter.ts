/**
 * Measures the memory and the descriptors of a process, from the files that the system shows of it.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

const SAMPLE_INTERVAL_MS = 100

const BYTES_PER_KB = 1_024
const BYTES_PER_MB = 1_024 * 1_024

/** Columns of the system's table of TCP sockets. */
enum SocketColumn {
  LocalAddress = 1,
  QueuedBytes = 4,
}

/** Highest figures that a process has reached. */
export interface ProcessPeaks {
  /** Resident memory, and the bytes that the system has received for the process and that it has not read. */
  readonly memoryMb: number
  /** Open sockets and pipes. */
  readonly sockets: number
}

/** Samples a process until it is stopped. */
export class ProcessMeter {
  private peakMemoryBytes = 0
  private peakSockets = 0
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly pid: number, private readonly ip: string) {
    this.sample()
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS)
  }

  /** Measures the process with the id `pid`, whose sockets have the local address `ip`. */
  static start (pid: number, ip: string): ProcessMeter {
    return new ProcessMeter(pid, ip)
  }

  get peaks (): ProcessPeaks {
    return { memoryMb: Math.round(this.peakMemoryBytes / BYTES_PER_MB), sockets: this.peakSockets }
  }

  stop (): void {
    clearInterval(this.timer)
  }

  sample (): void {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8')
      const residentBytes = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * BYTES_PER_KB
      this.peakMemoryBytes = Math.max(this.peakMemoryBytes, residentBytes + this.countUnreadBytes())
      this.peakSockets = Math.max(this.peakSockets, this.countSockets())
    } catch {
      // The process has exited, which the test finds by itself.
      this.stop()
    }
  }

  private countUnreadBytes (): number {
    const address = Buffer.from(this.ip.split('.').reverse().map(Number)).toString('hex').toUpperCase()
    let bytes = 0
    for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
      const columns = line.trim().split(/\s+/)
      if (columns[SocketColumn.LocalAddress]?.startsWith(`${address}:`) !== true) continue
      bytes += Number.parseInt(columns[SocketColumn.QueuedBytes]?.split(':')[1] ?? '0', 16)
    }
    return bytes
  }

  private countSockets (): number {
    const folder = `/proc/${this.pid}/fd`
    return readdirSync(folder).filter((descriptor) => {
      try {
        return /^(socket|pipe):/.test(readlinkSync(`${folder}/${descriptor}`))
      } catch {
        return false
      }
    }).length
  }
}
