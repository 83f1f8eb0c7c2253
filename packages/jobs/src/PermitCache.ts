import type { PlacementPermit } from '@toucanline/schema';
import { schedulingLimits } from './schedulingLimits.js';
import type { Worker } from './Worker.js';

/** Answer of the advice service for one step on one incarnation of a worker. */
interface PermitEntry {
  /** Empty if the policy forbids the worker. That verdict does not change. */
  readonly permit: string;
  readonly validUntil: number;
}

/** Placement permits by step and worker. */
export class PermitCache {
  readonly #steps = new Map<string, Map<Worker, PermitEntry>>();
  readonly #pending = new Set<string>();
  readonly #retryAt = new Map<string, number>();

  /**
   * Looks a permit up.
   *
   * @param stepKey - the step
   * @param worker - the worker
   * @param now - monotonic time
   * @returns the valid permit; undefined if there is none
   */
  public findPermit(stepKey: string, worker: Worker, now: number): string | undefined {
    const entry = this.#steps.get(stepKey)?.get(worker);
    return entry !== undefined && entry.permit !== '' && entry.validUntil > now
      ? entry.permit
      : undefined;
  }

  /**
   * Tells whether the policy is known to allow a worker, even if the permit has expired.
   *
   * @param stepKey - the step
   * @param worker - the worker
   * @returns whether it does
   */
  public isAllowed(stepKey: string, worker: Worker): boolean {
    const permit = this.#steps.get(stepKey)?.get(worker)?.permit;
    return permit !== undefined && permit !== '';
  }

  /**
   * Tells whether the policy's verdict on a worker is known.
   *
   * @param stepKey - the step
   * @param worker - the worker
   * @returns whether it is
   */
  public hasVerdict(stepKey: string, worker: Worker): boolean {
    return this.#steps.get(stepKey)?.has(worker) === true;
  }

  /**
   * Tells whether a call for the step may be made now.
   *
   * @param stepKey - the step
   * @param now - monotonic time
   * @returns false while one is under way or has just failed
   */
  public canRequest(stepKey: string, now: number): boolean {
    return !this.#pending.has(stepKey) && (this.#retryAt.get(stepKey) ?? 0) <= now;
  }

  /** @param stepKey - step for which a call was made */
  public markRequested(stepKey: string): void {
    this.#pending.add(stepKey);
  }

  /**
   * Takes an answer.
   *
   * @param stepKey - the step
   * @param asked - workers that were named in the call
   * @param permits - permits of those that are allowed
   * @param validUntil - end of their validity on the monotonic clock
   */
  public recordAnswer(
    stepKey: string,
    asked: readonly Worker[],
    permits: readonly PlacementPermit[],
    validUntil: number,
  ): void {
    this.#pending.delete(stepKey);
    const byWorker = new Map(permits.map(({ workerId, permit }) => [workerId, permit]));
    const entries = this.#steps.get(stepKey) ?? new Map<Worker, PermitEntry>();
    this.#steps.set(stepKey, entries);
    for (const worker of asked) {
      entries.set(worker, {
        permit: byWorker.get(worker.id) ?? '',
        validUntil: validUntil - schedulingLimits.permitMarginMs,
      });
    }
  }

  /**
   * Notes a call without an answer.
   *
   * @param stepKey - the step
   * @param now - monotonic time
   */
  public recordFailure(stepKey: string, now: number): void {
    this.#pending.delete(stepKey);
    this.#retryAt.set(stepKey, now + schedulingLimits.workerBackoffMs / 2);
  }

  /**
   * Drops a permit that a worker refused; the verdict on the worker stays.
   *
   * @param stepKey - the step
   * @param worker - the worker
   */
  public expirePermit(stepKey: string, worker: Worker): void {
    const entries = this.#steps.get(stepKey);
    const entry = entries?.get(worker);
    if (entry !== undefined) entries?.set(worker, { ...entry, validUntil: 0 });
  }

  /** @param stepKey - step that needs no more permits */
  public removeStep(stepKey: string): void {
    this.#steps.delete(stepKey);
    this.#retryAt.delete(stepKey);
  }
}
