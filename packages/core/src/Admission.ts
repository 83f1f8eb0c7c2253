import type { Failure, SubmitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { coversResources } from './coversResources.js';
import { createFailure } from './createFailure.js';
import type { Fleet } from './Fleet.js';
import type { Policy } from './Policy.js';
import type { Recovery } from './Recovery.js';
import { scaleResources } from './scaleResources.js';
import type { WaitingQueue } from './WaitingQueue.js';

/** Suggested delay before a refused caller tries again, in seconds. */
const retryAfterSeconds = 1;

/** Parts of the shard that admission reads. */
interface AdmissionParts {
  readonly fleet: Fleet;
  readonly queue: WaitingQueue;
  readonly recovery: Recovery;
}

/** Decides whether a shard takes a request. Each refusal proves that the request did not run. */
export class Admission {
  readonly #parts: AdmissionParts;

  /** @param parts - the parts to read */
  public constructor(parts: AdmissionParts) {
    this.#parts = parts;
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
    if (this.#parts.queue.countTeam(team) >= policy.readMaxWaiting(queue)) {
      const detail = `team ${team} has too many waiting requests`;
      return err(createFailure('overloaded', detail, retryAfterSeconds));
    }
    const { fleet, recovery } = this.#parts;
    if (recovery.isComplete && !fleet.hasSuitableWorker(size, acceleratorType)) {
      return err(createFailure('noOwner', 'no worker of this shard is large enough for one task'));
    }
    return ok(undefined);
  }
}
