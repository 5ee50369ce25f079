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

/** What a process may use. */
export interface ProcessResources {
  /** Resident memory, with the bytes that the system has received for the process and that it has not read. */
  readonly memoryMb: number
  /** Descriptors, of which {@link FILE_DESCRIPTORS} are for files and the rest for sockets and pipes. */
  readonly maxDescriptors: number
}

/** Options of {@link ProcessMeter.start}. */
export interface ProcessMeterOptions {
  readonly pid: number
  /** Local address of the process's sockets. */
  readonly ip: string
  readonly resources: ProcessResources
}

/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200

/** Samples a process until it is stopped. */
export class ProcessMeter {
  private peakMemoryBytes = 0
  private peakSockets = 0
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly options: ProcessMeterOptions) {
    this.sample()
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS)
  }

  static start (options: ProcessMeterOptions): ProcessMeter {
    return new ProcessMeter(options)
  }

  /** Returns what the process has exceeded. It has ended if the program now runs under another id, or under none. */
  listFaults (currentPid: number | undefined): string[] {
    this.sample()
    const { pid, resources: { memoryMb, maxDescriptors } } = this.options
    const peakMb = Math.round(this.peakMemoryBytes / BYTES_PER_MB)
    const maxSockets = maxDescriptors - FILE_DESCRIPTORS
    const faults = []
    if (currentPid !== pid) faults.push('the process has ended')
    if (peakMb > memoryMb) faults.push(`memory ${peakMb} MB of ${memoryMb} MB`)
    if (this.peakSockets > maxSockets) faults.push(`${this.peakSockets} sockets of ${maxSockets}`)
    return faults
  }

  stop (): void {
    clearInterval(this.timer)
  }

  sample (): void {
    try {
      const status = readFileSync(`/proc/${this.options.pid}/status`, 'utf8')
      const residentBytes = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * BYTES_PER_KB
      this.peakMemoryBytes = Math.max(this.peakMemoryBytes, residentBytes + this.countUnreadBytes())
      this.peakSockets = Math.max(this.peakSockets, this.countSockets())
    } catch {
      // The process has exited, which the test finds by itself.
      this.stop()
    }
  }

  private countUnreadBytes (): number {
    const address = Buffer.from(this.options.ip.split('.').reverse().map(Number)).toString('hex').toUpperCase()
    let bytes = 0
    for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
      const columns = line.trim().split(/\s+/)
      if (columns[SocketColumn.LocalAddress]?.startsWith(`${address}:`) !== true) continue
      bytes += Number.parseInt(columns[SocketColumn.QueuedBytes]?.split(':')[1] ?? '0', 16)
    }
    return bytes
  }

  private countSockets (): number {
    const folder = `/proc/${this.options.pid}/fd`
    return readdirSync(folder).filter((descriptor) => {
      try {
        return /^(socket|pipe):/.test(readlinkSync(`${folder}/${descriptor}`))
      } catch {
        return false
      }
    }).length
  }
}
