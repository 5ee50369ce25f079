/**
 * A parsed YAML file with the line of each value.
 */
import { isNode, LineCounter, parseDocument, type Document } from 'yaml'
import type { z } from 'zod'
import { Result } from '../result/Result.js'
import { ResultCode } from '../result/ResultCode.js'
import type { Fault } from './Fault.js'

type KeyPath = ReadonlyArray<PropertyKey>

const FOUND_TEXT_LIMIT_CHARS = 80

/** A YAML file with line numbers. @public */
export class YamlFile {
  private constructor (
    readonly name: string,
    private readonly document: Document,
    private readonly lines: LineCounter
  ) {}

  /** Parses the text. Returns every syntax error if there is one. */
  static create (name: string, text: string): Result<YamlFile, Fault[]> {
    const lines = new LineCounter()
    const document = parseDocument(text, { lineCounter: lines })
    const file = new YamlFile(name, document, lines)
    if (document.errors.length === 0) return Result.ok(file)
    return Result.err(document.errors.map((err) => ({
      code: ResultCode.YamlSyntax,
      file: name,
      line: err.linePos?.[0].line ?? 1,
      path: '(file)',
      found: err.code,
      allowed: 'YAML 1.2',
    })))
  }

  /** Checks the content against a schema. Returns every violation if there is one. */
  parse<T> (schema: z.ZodType<T>): Result<T, Fault[]> {
    const res = schema.safeParse(this.document.toJS() ?? {})
    if (res.success) return Result.ok(res.data)
    return Result.err(res.error.issues.flatMap((issue) => this.toFaults(issue)))
  }

  /** Builds a fault at a path of this file. */
  createFault (path: KeyPath, code: ResultCode, found: string, allowed: string): Fault {
    return { code, file: this.name, line: this.getLine(path), path: path.map(String).join('.') || '(root)', found, allowed }
  }

  /** Returns the line of the value at a path, or of its closest parent that exists. */
  getLine (path: KeyPath): number {
    for (let length = path.length; length >= 0; length--) {
      const node = this.document.getIn(path.slice(0, length), true)
      if (isNode(node) && node.range) return this.lines.linePos(node.range[0]).line
    }
    return 1
  }

  private toFaults (issue: z.core.$ZodIssue): Fault[] {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => this.createFault([...issue.path, key], ResultCode.SchemaViolation, `key "${key}"`, 'only the documented keys'))
    }
    const found = this.describeValue(issue.path)
    return [this.createFault(issue.path, ResultCode.SchemaViolation, found, describeAllowed(issue))]
  }

  private describeValue (path: KeyPath): string {
    const node = this.document.getIn(path, true)
    if (node === undefined) return 'nothing'
    const value = isNode(node) ? node.toJS(this.document) : node
    return (JSON.stringify(value) ?? 'nothing').slice(0, FOUND_TEXT_LIMIT_CHARS)
  }
}

/** Describes what a schema allows. The value that was found is not part of it, as a fault holds that separately. */
function describeAllowed (issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type': return `a value of type ${issue.expected}`
    case 'invalid_value': return issue.values.map(String).join(', ')
    case 'too_small': return `at least ${issue.minimum}`
    case 'too_big': return `at most ${issue.maximum}`
    default: return issue.message
  }
}
