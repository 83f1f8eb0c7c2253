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

/** Bounds of the suggested delay before a refused caller tries again, in seconds. */
const minRetryAfterSeconds = 1;
const maxRetryAfterSeconds = 30;
/**
 * Part of the remaining time that the estimated wait and run may take. Without a reserve, requests
 * start that their deadline then stops, and under overload that is most of the work.
 */
const maxDeadlineFraction = 0.7;
/** Part of the remaining time that may pass in the queue, whatever run time was declared. */
const minWaitFraction = 0.3;

/** Parts of the shard that admission reads. */
interface AdmissionDependencies {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
  readonly estimator: WaitEstimator;
  readonly clock: Clock;
}

/** Decides whether a shard takes a request. Each refusal proves that the request did not run. */
export class Admission {
  readonly #dependencies: AdmissionDependencies;

  /** @param parts - the parts to read */
  public constructor(parts: AdmissionDependencies) {
    this.#dependencies = parts;
  }

  /**
   * Checks a request that this shard does not know yet.
   *
   * @param policy - policy in effect
   * @param call - the request
   * @returns nothing if it may be queued; the reason otherwise
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
    const atOnce = kind === 'gang' ? scaleResources(size, tasks) : size;
    if (limit !== undefined && !coversResources(limit, atOnce)) {
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

  /** Refuses early what would wait too long; the room of other teams' queues is not affected. */
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
    const spareMs = Math.max(
      remainingMs * minWaitFraction,
      remainingMs * maxDeadlineFraction - runTimeMs,
    );
    const seconds = Math.ceil((waitMs - spareMs) / 1000);
    const retryAfter = Math.min(maxRetryAfterSeconds, Math.max(minRetryAfterSeconds, seconds));
    if (waiting >= policy.readMaxWaiting(queue)) {
      return createFailure('overloaded', `team ${team} has too many waiting requests`, retryAfter);
    }
    if (urgent || waitMs <= spareMs) return undefined;
    const detail = `team ${team} would wait ${Math.ceil(waitMs / 1000)} s, too long for the deadline`;
    return createFailure('overloaded', detail, retryAfter);
  }
}
