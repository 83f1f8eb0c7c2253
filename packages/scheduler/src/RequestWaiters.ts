/** Callers that wait for changes of requests. */
export class RequestWaiters {
  readonly #callbacks = new Map<string, Set<() => void>>();

  /**
   * Waits for the next change of a request.
   *
   * @param requestId - identifier of the request
   * @param waitMs - longest wait in milliseconds
   * @returns a promise that resolves once the request has changed or the time is over
   */
  public wait(requestId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const callbacks = this.#callbacks.get(requestId) ?? new Set();
      this.#callbacks.set(requestId, callbacks);
      const resume = (): void => {
        clearTimeout(timer);
        callbacks.delete(resume);
        if (callbacks.size === 0) this.#callbacks.delete(requestId);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      callbacks.add(resume);
    });
  }

  /**
   * Waits until a condition holds; it is checked after each change of the request.
   *
   * @param requestId - identifier of the request
   * @param waitMs - longest wait in milliseconds
   * @param isDone - checks whether the condition holds
   * @returns a promise that resolves once the condition holds or the time is over
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
   * @param requestId - identifier of the request that changed
   */
  public notify(requestId: string): void {
    for (const resume of [...(this.#callbacks.get(requestId) ?? [])]) resume();
  }

  /** Wakes all callers. */
  public notifyAll(): void {
    for (const requestId of [...this.#callbacks.keys()]) this.notify(requestId);
  }
}
