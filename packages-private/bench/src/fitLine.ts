/** Straight line fitted to measured points. */
interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Largest vertical distance of a point from the line, as a fraction of the largest absolute value. */
  readonly error: number;
}

/**
 * Fits a straight line to points by least squares.
 *
 * @param points - pairs of size and measured value
 * @returns the line and its error
 */
export const fitLine = (points: readonly (readonly [number, number])[]): Line => {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)));
  const distance = Math.max(...points.map(([x, y]) => Math.abs(y - slope * x - intercept)));
  return { slope, intercept, error: largest === 0 ? 0 : distance / largest };
};
