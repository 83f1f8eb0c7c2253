import type { PlacementPermit } from '@toucanline/schema';
import { schedulingLimits } from './schedulingLimits.js';
import type { Worker } from './Worker.js';

/** Answer of the placement advisor for one step on one incarnation of a worker. */
interface PermitEntry {
  /** Permit, or empty if the placement policy forbids the worker; a policy verdict never changes. */
  readonly permit: string;
  /** Monotonic time in milliseconds until which the permit is used. */
  readonly validUntil: number;
}

/** Caches placement permits by step and worker. */
export class PermitCache {
  readonly #entriesByStep = new Map<string, Map<Worker, PermitEntry>>();
  /** Steps with an open request, and whether it is an early one. */
  readonly #requestedSteps = new Map<string, boolean>();
  readonly #retryAt = new Map<string, number>();

  /**
   * Finds a permit.
   *
   * @param stepKey - key of the step
   * @param worker - worker to check
   * @param now - monotonic time in milliseconds
   * @returns the permit; undefined if there is none or it has expired
   */
  public findPermit(stepKey: string, worker: Worker, now: number): string | undefined {
    const entry = this.#entriesByStep.get(stepKey)?.get(worker);
    return entry !== undefined && entry.permit !== '' && entry.validUntil > now
      ? entry.permit
      : undefined;
  }

  /**
   * Lists the workers that the policy is known to allow, even if their permits have expired.
   *
   * @param stepKey - key of the step
   * @returns allowed workers, also ones that have ended meanwhile
   */
  public listAllowed(stepKey: string): readonly Worker[] {
    const allowed: Worker[] = [];
    for (const [worker, { permit }] of this.#entriesByStep.get(stepKey) ?? [])
      if (permit !== '') allowed.push(worker);
    return allowed;
  }

  /**
   * Checks whether the policy's verdict on a worker is known.
   *
   * @param stepKey - key of the step
   * @param worker - worker to check
   * @returns whether the verdict is known
   */
  public hasVerdict(stepKey: string, worker: Worker): boolean {
    return this.#entriesByStep.get(stepKey)?.has(worker) === true;
  }

  /**
   * Checks whether permits for a step may be requested now.
   *
   * @param stepKey - key of the step
   * @param now - monotonic time in milliseconds
   * @param isEarly - whether no waiting task has room now
   * @returns false while a request is open or has just failed; an early one is replaced as soon as a task has room
   */
  public canRequest(stepKey: string, now: number, isEarly = false): boolean {
    if ((this.#retryAt.get(stepKey) ?? 0) > now) return false;
    const isOpenEarly = this.#requestedSteps.get(stepKey);
    return isOpenEarly === undefined || (isOpenEarly && !isEarly);
  }

  /**
   * Checks whether a request for permits for a step has no answer yet.
   *
   * @param stepKey - key of the step
   * @returns whether a request that is not an early one is queued or in flight
   */
  public isRequested(stepKey: string): boolean {
    return this.#requestedSteps.get(stepKey) === false;
  }

  /**
   * Records that permits for a step were requested.
   *
   * @param stepKey - key of the step
   * @param isEarly - whether no waiting task has room now
   */
  public markRequested(stepKey: string, isEarly = false): void {
    this.#requestedSteps.set(stepKey, isEarly);
  }

  /**
   * Records the answer to a request.
   *
   * @param stepKey - key of the step
   * @param requested - workers that the request named
   * @param permits - permits for the allowed ones among them; the others are forbidden
   * @param validUntil - monotonic time in milliseconds at which the permits expire
   */
  public recordAnswer(
    stepKey: string,
    requested: readonly Worker[],
    permits: readonly PlacementPermit[],
    validUntil: number,
  ): void {
    // The step may have been removed while the request was in flight.
    if (!this.#requestedSteps.delete(stepKey)) return;
    const byWorker = new Map(permits.map(({ workerId, permit }) => [workerId, permit]));
    const entries = this.#entriesByStep.get(stepKey) ?? new Map<Worker, PermitEntry>();
    this.#entriesByStep.set(stepKey, entries);
    for (const worker of requested) {
      entries.set(worker, {
        permit: byWorker.get(worker.id) ?? '',
        validUntil: validUntil - schedulingLimits.permitMarginMs,
      });
    }
  }

  /**
   * Records a request without a response; the next one is delayed.
   *
   * @param stepKey - key of the step
   * @param now - monotonic time in milliseconds
   */
  public recordFailure(stepKey: string, now: number): void {
    if (!this.#requestedSteps.delete(stepKey)) return;
    this.#retryAt.set(stepKey, now + schedulingLimits.workerBackoffMs / 2);
  }

  /**
   * Expires a permit that a worker refused; the policy's verdict on the worker stays.
   *
   * @param stepKey - key of the step
   * @param worker - worker that refused the permit
   */
  public expirePermit(stepKey: string, worker: Worker): void {
    const entries = this.#entriesByStep.get(stepKey);
    const entry = entries?.get(worker);
    if (entry !== undefined) entries?.set(worker, { ...entry, validUntil: 0 });
  }

  /**
   * Removes a step that needs no more permits.
   *
   * @param stepKey - key of the step
   */
  public removeStep(stepKey: string): void {
    this.#entriesByStep.delete(stepKey);
    this.#requestedSteps.delete(stepKey);
    this.#retryAt.delete(stepKey);
  }
}
