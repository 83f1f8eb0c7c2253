import type { Failure, SubmitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { coversResources } from './coversResources.js';
import { createFailure } from './createFailure.js';
import type { Fleet } from './Fleet.js';
import type { Policy } from './Policy.js';
import type { Recovery } from './Recovery.js';
import { scaleResources } from './scaleResources.js';
import type { Clock } from './Clock.js';
import type { WaitEstimator } from './WaitEstimator.js';
import type { WaitingQueue } from './WaitingQueue.js';

/** Bounds of the retry delay that is suggested to a refused caller, in seconds. */
const minRetryAfterSeconds = 1;
const maxRetryAfterSeconds = 30;
/**
 * Largest fraction of the remaining time that the estimated wait and the run time may use together.
 * Without this reserve, requests would start and then be stopped by their deadline; under overload that
 * would be most of the work.
 */
const maxDeadlineFraction = 0.7;
/** Fraction of the remaining time that a request may always spend in the queue, whatever its declared run time. */
const minWaitFraction = 0.3;

/** Components of the shard that admission control reads. */
interface AdmissionDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly estimator: WaitEstimator;
  readonly clock: Clock;
}

/** Admission control: decides whether a shard accepts a request. A refused request certainly did not run. */
export class Admission {
  readonly #dependencies: AdmissionDependencies;

  /** @param dependencies - components to read */
  public constructor(dependencies: AdmissionDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Checks a request that is new to this shard.
   *
   * @param policy - policy in effect
   * @param call - the request and the time until its deadline, in milliseconds
   * @returns nothing if the request may be queued; otherwise `unknownQueue`, `deadlinePassed`, `neverFits`,
   * `overLimit`, `overloaded` or `noOwner`
   */
  public check(policy: Policy, { request, remainingMs }: SubmitCall): Result<void, Failure> {
    const { team, queue, size, tasks, acceleratorType, kind } = request;
    if (policy.findQueue(queue) === undefined) {
      return err(createFailure('unknownQueue', `no queue ${queue}`));
    }
    if (remainingMs <= 0) {
      return err(createFailure('deadlinePassed', 'the deadline passed before the request arrived'));
    }
    if (!policy.canEverFit(size, acceleratorType)) {
      return err(createFailure('neverFits', 'no worker class is large enough for one task'));
    }
    const limit = policy.findLimit(team);
    const simultaneousSize = kind === 'gang' ? scaleResources(size, tasks) : size;
    if (limit !== undefined && !coversResources(limit, simultaneousSize)) {
      return err(createFailure('overLimit', `the request exceeds the limit of team ${team}`));
    }
    const overload = this.#checkOverload(policy, request, remainingMs);
    if (overload !== undefined) return err(overload);
    const { fleet, recovery } = this.#dependencies;
    if (recovery.isComplete && !fleet.hasSuitableWorker(size, acceleratorType)) {
      return err(createFailure('noOwner', 'no worker of this shard is large enough for one task'));
    }
    return ok(undefined);
  }

  /**
   * Refuses a request early if it would wait too long. Only the team's own waiting requests count, so one
   * team cannot use up the queue capacity of the others.
   */
  #checkOverload(
    policy: Policy,
    { team, queue, runTimeMs, urgent }: SubmitCall['request'],
    remainingMs: number,
  ): Failure | undefined {
    const waiting = this.#dependencies.queue.countRequests(team);
    const waitMs = this.#dependencies.estimator.estimateWaitMs(
      team,
      waiting,
      this.#dependencies.clock.now(),
    );
    // Declared run times are often wrong, so a long one alone does not cause a refusal.
    const maxWaitMs = Math.max(
      remainingMs * minWaitFraction,
      remainingMs * maxDeadlineFraction - runTimeMs,
    );
    const seconds = Math.ceil((waitMs - maxWaitMs) / 1000);
    const retryAfter = Math.min(maxRetryAfterSeconds, Math.max(minRetryAfterSeconds, seconds));
    if (waiting >= policy.readMaxWaiting(queue)) {
      return createFailure('overloaded', `team ${team} has too many waiting requests`, retryAfter);
    }
    if (urgent || waitMs <= maxWaitMs) return undefined;
    const detail = `team ${team} would wait ${Math.ceil(waitMs / 1000)} s, too long for the deadline`;
    return createFailure('overloaded', detail, retryAfter);
  }
}
