/** Speed of work on a cold worker relative to the same worker when it is warm. */
const coldSpeed = 0.5;

/**
 * Computes how much longer a task takes on a worker that is still cold for a while.
 *
 * @param expectedMs - duration of the task on the worker when it is warm, in milliseconds
 * @param coldLeftMs - time for which the worker stays cold, in milliseconds
 * @returns factor of the duration: 1 on a warm worker, 2 if the worker stays cold until the task ends
 */
export const computeColdFactor = (expectedMs: number, coldLeftMs: number): number => {
  if (coldLeftMs <= 0 || expectedMs <= 0) return 1;
  const lostMs = coldLeftMs * (1 - coldSpeed);
  return Math.min(1 / coldSpeed, 1 + lostMs / expectedMs);
};
