/**
 * Output of commands: text for people or JSON for programs.
 */

/** Formats of `--output`. */
export enum OutputFormat {
  Text = 'text',
  Json = 'json',
}

/** Receives the lines that a command prints. */
export interface OutputStreams {
  stdout (line: string): void
  stderr (line: string): void
}

/** Prints results on standard output and failures on standard error. */
export class Output {
  private constructor (private readonly format: OutputFormat, private readonly streams: OutputStreams) {}

  static create (options: { format: OutputFormat, streams: OutputStreams }): Output {
    return new Output(options.format, options.streams)
  }

  /** Prints a result: the document as JSON, or the lines as text. */
  print (document: object, lines: readonly string[]): void {
    if (this.format === OutputFormat.Json) this.streams.stdout(JSON.stringify(document))
    else for (const line of lines) this.streams.stdout(line)
  }

  /** Prints a failure on standard error. */
  fail (document: object, message: string): void {
    this.streams.stderr(this.format === OutputFormat.Json ? JSON.stringify(document) : message)
  }
}
