import { periods, type RandomSource } from '@toucanline/core';
import { requestTimings } from './requestTimings.js';

/**
 * Calculates an exponential delay with jitter, so that the entries do not all call a new owner at the same time.
 *
 * @param random - source of the jitter
 * @param failures - number of attempts that have failed
 * @returns the delay in milliseconds
 */
export const calculateRetryDelay = (random: RandomSource, failures: number): number => {
  const delayMs = Math.min(
    periods.firstRetryDelayMs * 2 ** failures,
    requestTimings.maxRetryDelayMs,
  );
  return delayMs * (0.5 + random.next() / 2);
};
