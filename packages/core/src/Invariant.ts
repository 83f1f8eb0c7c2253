import type { EventRecorder } from './EventRecorder.js';

/** Checks invariants; violations throw in tests, and are counted and recorded in production. */
export class Invariant {
  readonly #recorder: EventRecorder;
  readonly #throws: boolean;
  #violations = 0;

  /**
   * @param recorder - records an event for each violation
   * @param throws - whether a violation throws
   */
  public constructor(recorder: EventRecorder, throws: boolean) {
    this.#recorder = recorder;
    this.#throws = throws;
  }

  /** Number of violations since the start of the process. */
  public get violations(): number {
    return this.#violations;
  }

  /**
   * Checks one condition.
   *
   * @param holds - the condition
   * @param detail - creates the description of the violation
   * @returns the condition, so that callers can stop if it is false
   * @throws Error if the condition is false and violations throw
   */
  public check(holds: boolean, detail: () => string): boolean {
    if (holds) return true;
    this.#violations += 1;
    const text = detail();
    this.#recorder.record('invariantViolated', { detail: text });
    if (this.#throws) throw new Error(`invariant violated: ${text}`);
    return false;
  }
}
