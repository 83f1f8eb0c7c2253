import { createFailure } from '@toucanline/core';
import type { Failure, RequestView } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { AnswerWaiter } from './AnswerWaiter.js';
import { OpenRequestLimiter } from './OpenRequestLimiter.js';
import { OwnerClient } from './OwnerClient.js';
import { ownerFailures } from './ownerFailures.js';
import { RequestQueries } from './RequestQueries.js';
import type { ServiceDependencies } from './ServiceDependencies.js';
import { requestTimings } from './requestTimings.js';
import { ShardSubmitter } from './ShardSubmitter.js';
import type { Submission } from './Submission.js';

const { failoverTimeoutMs: ownerWaitMs, retryDelayMs: retryMs } = requestTimings;
const maxShardAttempts = 3;

/** Attached requests that an entry has open, each with about 1 KB of memory and one pending call. */
const openRequestLimits = { total: 10_000, perTeam: 5000 } as const;

/** Carries requests to the owners of shards and their answers back. */
export class RequestService {
  readonly #dependencies: ServiceDependencies;
  readonly #openRequests = new OpenRequestLimiter(openRequestLimits);
  readonly #submitter: ShardSubmitter;
  readonly #waiter: AnswerWaiter;
  readonly #queries: RequestQueries;

  /** @param parts - what the service works with */
  public constructor(parts: ServiceDependencies) {
    const owners = new OwnerClient(parts);
    this.#dependencies = parts;
    this.#submitter = new ShardSubmitter(parts, owners);
    this.#waiter = new AnswerWaiter(parts, owners, this.#submitter, this.#openRequests);
    this.#queries = new RequestQueries(parts, owners);
  }

  /**
   * Finds a shard for a request, hands it in and waits for its answer. While no shard has an owner, for
   * example during a failover, the request is kept back for a bounded time.
   *
   * @param submission - the request
   * @returns its state when the wait ended; or the failure
   */
  public async submit(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { detached, team } = submission.request;
    if (detached) return this.#submitWithRetry(submission);
    const counted = this.#openRequests.admit(team);
    if (counted.isErr()) return err(counted.error);
    const result = await this.#submitWithRetry(submission);
    this.#openRequests.release(team);
    return result;
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @returns its state when the wait ended; or the failure
   */
  public wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
  ): Promise<Result<RequestView, Failure>> {
    return this.#queries.wait(requestId, team, waitMs);
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns its state; or the failure
   */
  public cancel(
    requestId: string,
    team: string | undefined,
  ): Promise<Result<RequestView, Failure>> {
    return this.#queries.cancel(requestId, team);
  }

  async #submitWithRetry(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#dependencies;
    const endsAt = Math.min(submission.deadlineAt, clock.now() + ownerWaitMs);
    for (;;) {
      const result = await this.#submitToShards(submission);
      if (result.isOk() || !ownerFailures.duringFailover.has(result.error.kind)) return result;
      if (clock.now() >= endsAt) {
        return err(createFailure('noOwner', 'no shard has a reachable owner', 1));
      }
      await clock.sleep(retryMs);
    }
  }

  async #submitToShards(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock, router, recorder } = this.#dependencies;
    const { request, policy } = submission;
    const { team, idempotencyKey } = request;
    const home =
      idempotencyKey === undefined
        ? undefined
        : router.chooseHomeShard(policy, team, idempotencyKey);
    const shards = home === undefined ? router.orderShards(policy, request) : [home];
    let last = createFailure('notOwner', 'no shard has a reachable owner', 1);
    for (const shard of shards.slice(0, maxShardAttempts)) {
      const offered = { ...request, id: `${shard}.${request.id}` };
      recorder.record('requestRouted', { requestId: offered.id, shard, team });
      const accepted = { ...submission, request: offered, offeredAt: clock.now() };
      const result = await this.#submitter.submit(shard, accepted);
      if (result.isOk()) return this.#waiter.waitForAnswer(shard, accepted, result.value);
      last = result.error;
      if (!ownerFailures.passedOn.has(last.kind)) break;
    }
    return err(last);
  }
}
