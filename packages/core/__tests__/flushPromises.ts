/**
 * Waits until pending promise callbacks have run.
 *
 * @returns a promise that resolves after 50 turns of the microtask queue
 */
export const flushPromises = async (): Promise<void> => {
  for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
};
