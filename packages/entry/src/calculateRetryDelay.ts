import { periods, type RandomSource } from '@toucanline/core';
import { requestTimings } from './requestTimings.js';

/**
 * Chooses an exponential delay with jitter, so that the entries do not return to a new owner at once.
 *
 * @param random - source of the jitter
 * @param failures - attempts that failed before
 * @returns the delay in milliseconds
 */
export const calculateRetryDelay = (random: RandomSource, failures: number): number => {
  const delayMs = Math.min(
    periods.firstRetryDelayMs * 2 ** failures,
    requestTimings.maxRetryDelayMs,
  );
  return delayMs * (0.5 + random.next() / 2);
};
