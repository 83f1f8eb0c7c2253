/**
 * Calls a function that handles one item of many: an error concerns only this item.
 *
 * @param callback - function to call
 * @param onError - called with the thrown value
 */
export const runGuarded = (callback: () => void, onError: (error: unknown) => void): void => {
  try {
    callback();
  } catch (error) {
    onError(error);
  }
};
