/**
 * Waits without blocking the event loop.
 *
 * @param ms - duration in milliseconds
 * @returns a promise that resolves after the duration
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
