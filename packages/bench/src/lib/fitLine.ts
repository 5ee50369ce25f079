/**
 * Least-squares line through measured points.
 */

/** A fitted line. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Largest vertical distance of a point from the line, as a share of the largest absolute value. */
  readonly residual: number
}

/** Fits y = intercept + slope x. */
export function fitLine (points: ReadonlyArray<readonly [x: number, y: number]>): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  const intercept = meanY - slope * meanX
  const highest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.EPSILON)
  const farthest = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)))
  return { intercept, slope, residual: farthest / highest }
}
