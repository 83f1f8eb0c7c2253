/**
 * Lets pending promises settle.
 *
 * @returns after a bounded number of turns of the microtask queue
 */
export const flushPromises = async (): Promise<void> => {
  for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
};
