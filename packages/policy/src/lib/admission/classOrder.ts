/**
 * The order in which classes are served.
 */
import { WorkClass } from '@vanillathread/model'

/** Classes from the most urgent to the least. */
export const CLASS_ORDER: readonly WorkClass[] = [WorkClass.Urgent, WorkClass.Normal, WorkClass.Deferrable]
