/**
 * Waits for a call, but no longer than callers of this host can wait.
 *
 * @param call - pending call
 * @param timeoutMs - longest wait, in milliseconds
 * @returns its result; undefined after the timeout
 */
export const waitWithTimeout = <Value>(
  call: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      resolve(undefined);
    }, timeoutMs);
    call.then(resolve, reject).finally(() => {
      clearTimeout(timer);
    });
  });
