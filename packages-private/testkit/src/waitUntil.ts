import { sleep } from './sleep.js';

/**
 * Waits until a condition holds.
 *
 * @param isTrue - the condition, checked every 20 ms
 * @param timeoutMs - longest wait in milliseconds
 * @param description - description of the condition, for the error
 * @throws Error if it does not hold in time
 */
export const waitUntil = async (
  isTrue: () => boolean | Promise<boolean>,
  timeoutMs: number,
  description: string,
): Promise<void> => {
  const endsAt = performance.now() + timeoutMs;
  while (!(await isTrue())) {
    if (performance.now() > endsAt) throw new Error(`not within ${timeoutMs} ms: ${description}`);
    await sleep(20);
  }
};
