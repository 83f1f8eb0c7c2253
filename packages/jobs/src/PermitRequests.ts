import type { AdviceTerms } from '@toucanline/schema';
import type { PendingStep } from './PendingStep.js';
import type { DurationEstimates } from './durations/DurationEstimates.js';
import type { PermitCache } from './PermitCache.js';
import type { PlanningPass } from './PlanningPass.js';
import { resources } from './resources.js';
import { schedulingLimits } from './schedulingLimits.js';
import type { StepInstance } from './StepInstance.js';
import type { Worker } from './Worker.js';

/** Workers for which permits may be requested. */
interface PermitCandidates {
  /** Workers that match the service and labels of the step. */
  readonly workers: readonly Worker[];
  /** Workers that the policy is known to allow. */
  readonly allowed: readonly Worker[];
  /** Workers on which capacity is reserved for the step. */
  readonly reserved: ReadonlySet<Worker>;
  /** Whether a task may fit on one of the workers now. */
  readonly mayFit: boolean;
  /** Whether free capacity is reserved for the step. */
  readonly hasRoom: boolean;
}

/** Decides for which steps and workers placement permits are requested, and when. */
export class PermitRequests {
  readonly #permits: PermitCache;
  readonly #durations: DurationEstimates;

  /**
   * @param permits - known permits
   * @param durations - expected durations
   */
  public constructor(permits: PermitCache, durations: DurationEstimates) {
    this.#permits = permits;
    this.#durations = durations;
  }

  /**
   * Requests unknown verdicts, and renews expired permits of workers that have the capacity now. A request is filled up
   * with expired permits of other allowed workers. A request is early if no waiting task has room now: permits for tasks
   * that wait for a full worker expire again and again, and their calls must not delay others.
   *
   * @param pending - step and its queue
   * @param candidates - workers of the step, and what is known about them
   * @param pass - planning pass, which receives the request if one is needed and possible
   */
  public requestPermits(
    { step, queue }: PendingStep,
    candidates: PermitCandidates,
    pass: PlanningPass,
  ): void {
    const { advice } = queue;
    if (advice === undefined || !this.#permits.canRequest(step.key, pass.now)) return;
    const isEarly = !candidates.hasRoom && !this.#hasRoomOnUnknown(step, candidates, pass);
    if (!this.#permits.canRequest(step.key, pass.now, isEarly)) return;
    const needed = this.#listNeeded(step, candidates, pass);
    if (needed.length === 0) return;
    const extraCount = Math.min(
      schedulingLimits.maxWorkersPerAdvice - needed.length,
      countCheapWorkers(advice),
    );
    const renewable = this.#listRenewable(step, candidates.allowed, needed, pass.now);
    const requested = [...needed, ...renewable.slice(0, extraCount)];
    this.#permits.markRequested(step.key, isEarly);
    pass.addCommand({
      kind: 'advise',
      stepKey: step.key,
      service: queue.service,
      workers: requested,
      expectedMs: advice.baseMs + advice.perWorkerMs * requested.length,
      validMs: advice.validMs,
      priority: queue.priority,
      isEarly,
    });
  }

  /** Checks whether a task fits on a worker whose verdict is unknown. */
  #hasRoomOnUnknown(
    { key, description: { size } }: StepInstance,
    { workers, mayFit }: PermitCandidates,
    { reservations }: PlanningPass,
  ): boolean {
    return (
      mayFit &&
      workers.some(
        (worker) =>
          !this.#permits.hasVerdict(key, worker) &&
          resources.fits(size, reservations.freeOn(worker)),
      )
    );
  }

  /** Lists the workers whose permits are worth a request, those with the most free capacity first. */
  #listNeeded(
    step: StepInstance,
    { workers, allowed, reserved, mayFit }: PermitCandidates,
    { now, reservations }: PlanningPass,
  ): readonly Worker[] {
    const { size } = step.description;
    const hasChoice = allowed.length >= schedulingLimits.minAllowedWorkers;
    const unknown =
      hasChoice && !mayFit
        ? []
        : workers.filter(
            (worker) =>
              !this.#permits.hasVerdict(step.key, worker) &&
              (!hasChoice || resources.fits(size, reservations.freeOn(worker))),
          );
    const expired = [...reserved].filter(
      (worker) => this.#permits.findPermit(step.key, worker, now) === undefined,
    );
    return [...unknown, ...expired]
      .sort(compareFreeCapacity)
      .slice(0, schedulingLimits.maxWorkersPerAdvice);
  }

  /** Lists the other allowed workers whose permits have expired, those with the most free capacity first. */
  #listRenewable(
    { key }: StepInstance,
    allowed: readonly Worker[],
    needed: readonly Worker[],
    now: number,
  ): readonly Worker[] {
    const named = new Set(needed);
    return allowed
      .filter(
        (worker) => !named.has(worker) && this.#permits.findPermit(key, worker, now) === undefined,
      )
      .sort(compareFreeCapacity);
  }

  /**
   * Checks whether the dependencies of a step are about to complete, so that its permits should be requested.
   *
   * @param step - step that waits for its dependencies
   * @param leadMs - expected duration of the request, in milliseconds
   * @param now - monotonic time in milliseconds
   * @returns whether permits should be requested now
   */
  public isDueSoon(step: StepInstance, leadMs: number, now: number): boolean {
    if (step.description.dependsOn.length === 0 || step.isDone || step.isReady) return false;
    return step.description.dependsOn.every((number) => {
      const dependency = step.job.findStep(step.occurrence, number);
      if (dependency === undefined) return false;
      const totalLeadMs = leadMs + schedulingLimits.adviceLeadMs;
      return dependency.tasks.every(
        (task) =>
          task.phase === 'done' ||
          (task.phase === 'running' &&
            now - task.phaseStartedAt >= this.#durations.estimateRunMs(task) - totalLeadMs),
      );
    });
  }
}

/**
 * Counts the workers by which a request can be extended for a small part of its duration. Their permits let tasks start
 * as soon as one of the workers has room, without another request.
 */
const countCheapWorkers = ({ baseMs, perWorkerMs }: AdviceTerms): number =>
  perWorkerMs > 0
    ? Math.floor((baseMs * schedulingLimits.permitRenewalShare) / perWorkerMs)
    : schedulingLimits.maxWorkersPerAdvice;

const compareFreeCapacity = (a: Worker, b: Worker): number =>
  b.free.milliProcessors - a.free.milliProcessors;
