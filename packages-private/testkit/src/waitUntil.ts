import { sleep } from './sleep.js';

/**
 * Waits until a condition holds.
 *
 * @param isTrue - the condition
 * @param timeoutMs - longest wait in milliseconds
 * @param what - the condition in words
 * @throws Error if it does not hold in time
 */
export const waitUntil = async (
  isTrue: () => boolean | Promise<boolean>,
  timeoutMs: number,
  what: string,
): Promise<void> => {
  const endsAt = performance.now() + timeoutMs;
  while (!(await isTrue())) {
    if (performance.now() > endsAt) throw new Error(`not within ${timeoutMs} ms: ${what}`);
    await sleep(20);
  }
};
