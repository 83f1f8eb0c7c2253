/** Callers that wait for a change of a request. */
export class RequestWaiters {
  readonly #callbacks = new Map<string, Set<() => void>>();

  /**
   * Waits for the next change of a request.
   *
   * @param requestId - identifier of the request
   * @param waitMs - longest wait in milliseconds
   * @returns once the request changed or the time is over
   */
  public wait(requestId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.#callbacks.get(requestId) ?? new Set();
      this.#callbacks.set(requestId, waiting);
      const finish = (): void => {
        clearTimeout(timer);
        waiting.delete(finish);
        if (waiting.size === 0) this.#callbacks.delete(requestId);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      waiting.add(finish);
    });
  }

  /**
   * Waits until a condition holds, which may change with the request.
   *
   * @param requestId - identifier of the request
   * @param waitMs - longest wait in milliseconds
   * @param isDone - the condition
   * @returns once the condition holds or the time is over
   */
  public async waitUntil(requestId: string, waitMs: number, isDone: () => boolean): Promise<void> {
    const endsAt = performance.now() + waitMs;
    while (!isDone()) {
      const leftMs = endsAt - performance.now();
      if (leftMs <= 0) return;
      await this.wait(requestId, leftMs);
    }
  }

  /**
   * Wakes the callers that wait for a request.
   *
   * @param requestId - identifier of the request
   */
  public notify(requestId: string): void {
    for (const finish of [...(this.#callbacks.get(requestId) ?? [])]) finish();
  }

  /** Wakes all callers. */
  public notifyAll(): void {
    for (const requestId of [...this.#callbacks.keys()]) this.notify(requestId);
  }
}
