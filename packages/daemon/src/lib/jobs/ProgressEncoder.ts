/**
 * Encodes the progress of jobs as rows of the store. A job whose progress outgrows a row is stored in smaller forms, never given up: what a new
 * owner can learn again is left out first.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { ProgressForm, PROGRESS_FORMS, type JobProgress, type TrackedJob } from '@vanillathread/policy'
import { encodeRow } from './rows.js'

/** Options of {@link ProgressEncoder.create}. */
export interface ProgressEncoderOptions {
  readonly shard: string
  readonly log: EventLog
  /** Bytes that a row may have at the most. */
  readonly rowBytes: number
}

/** A job's progress, and the row that holds it. */
export interface EncodedProgress {
  readonly progress: JobProgress
  readonly value: Uint8Array<ArrayBuffer>
}

/** Which forms a job's progress needs. */
interface JobForms {
  /** Form that was used last. */
  last: ProgressForm
  /** The store rejected all forms before this one. */
  first: ProgressForm
}

/** Encoder of one owner. */
export class ProgressEncoder {
  /** Jobs whose progress did not fit into a row, or was rejected, in its usual form. */
  private readonly forms = new WeakMap<TrackedJob, JobForms>()

  private constructor (private readonly options: ProgressEncoderOptions) {}

  static create (options: ProgressEncoderOptions): ProgressEncoder {
    return new ProgressEncoder(options)
  }

  /** Encodes a job's progress in the largest form that fits into a row, or in the smallest one. */
  encode (job: TrackedJob, storeNowMs: number): EncodedProgress {
    const forms = this.forms.get(job)
    // The usual form of a job that has outgrown a row is not tried each time, as encoding it takes long.
    const first = forms === undefined ? ProgressForm.Listed : Math.max(forms.first, Math.min(forms.last, ProgressForm.Sets))
    let encoded: EncodedProgress | undefined
    let largestBytes = 0
    for (const form of PROGRESS_FORMS.slice(first)) {
      const progress = job.toProgress(storeNowMs, form)
      encoded = { progress, value: encodeRow(progress) }
      largestBytes ||= encoded.value.length
      if (encoded.value.length > this.options.rowBytes && form !== PROGRESS_FORMS.at(-1)) continue
      this.recordForm(job, form, { largestBytes, bytes: encoded.value.length })
      break
    }
    if (encoded === undefined) throw new Error('there is no form of progress')
    return encoded
  }

  /** Has a job's progress stored in a smaller form than the last one, which the store rejects. @returns false if there is none. */
  requireSmallerForm (job: TrackedJob): boolean {
    const last = this.forms.get(job)?.last ?? ProgressForm.Listed
    const next = PROGRESS_FORMS[PROGRESS_FORMS.indexOf(last) + 1]
    if (next === undefined) return false
    this.forms.set(job, { last: next, first: next })
    return true
  }

  private recordForm (job: TrackedJob, form: ProgressForm, { largestBytes, bytes }: { readonly largestBytes: number, readonly bytes: number }): void {
    const former = this.forms.get(job)
    if (form === ProgressForm.Listed && former === undefined) return
    job.waiveCrashes(form)
    this.forms.set(job, { last: form, first: former?.first ?? ProgressForm.Listed })
    if (form <= (former?.last ?? ProgressForm.Listed)) return
    const { shard, log } = this.options
    log.write(form === ProgressForm.Sets ? EventCode.ProgressCompacted : EventCode.ProgressReduced, { shard, job: job.id, form: ProgressForm[form], bytes, largestBytes, state: job.state })
  }
}
