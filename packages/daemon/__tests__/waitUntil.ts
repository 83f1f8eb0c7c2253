/** Longest time for which a test waits for a condition, in milliseconds. */
const longestWaitMs = 5000;

/** Waits until a condition is met. */
export const waitUntil = async (isMet: () => boolean, what: string): Promise<void> => {
  const endsAt = performance.now() + longestWaitMs;
  while (!isMet()) {
    if (performance.now() > endsAt) throw new Error(`not within ${longestWaitMs} ms: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
};
