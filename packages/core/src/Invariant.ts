import type { EventRecorder } from './EventRecorder.js';

/** Checks invariants: throws in tests, counts and logs in production. */
export class Invariant {
  readonly #recorder: EventRecorder;
  readonly #throws: boolean;
  #violations = 0;

  /**
   * @param recorder - receives an event for each violation
   * @param throws - whether a violation throws an error
   */
  public constructor(recorder: EventRecorder, throws: boolean) {
    this.#recorder = recorder;
    this.#throws = throws;
  }

  /** Violations since the start of the process. */
  public get violations(): number {
    return this.#violations;
  }

  /**
   * Checks one condition.
   *
   * @param holds - the condition
   * @param detail - describes the violation
   * @returns the condition, so that a caller may refuse to go on
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
