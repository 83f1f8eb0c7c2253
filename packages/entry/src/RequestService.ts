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

const { failoverTimeoutMs, retryDelayMs } = requestTimings;
const maxShardAttempts = 3;

/** Maximum number of open attached requests; each takes about 1 KB of memory and one pending call. */
const openRequestLimits = { total: 10_000, perTeam: 5000 } as const;

/** Forwards the requests of callers to the owners of shards and returns their answers. */
export class RequestService {
  readonly #dependencies: ServiceDependencies;
  readonly #openRequests = new OpenRequestLimiter(openRequestLimits);
  readonly #submitter: ShardSubmitter;
  readonly #waiter: AnswerWaiter;
  readonly #queries: RequestQueries;

  /** @param dependencies - clock, random source, event recorder, router, peers and takeovers */
  public constructor(dependencies: ServiceDependencies) {
    const ownerClient = new OwnerClient(dependencies);
    this.#dependencies = dependencies;
    this.#submitter = new ShardSubmitter(dependencies, ownerClient);
    this.#waiter = new AnswerWaiter(dependencies, ownerClient, this.#submitter, this.#openRequests);
    this.#queries = new RequestQueries(dependencies, ownerClient);
  }

  /**
   * Chooses a shard for a request, submits the request and waits for the answer. While no shard has an owner, for
   * example during a failover, the submission is retried for a bounded time.
   *
   * @param submission - the request
   * @returns the view of the request at the end of the wait; `overloaded` if too many requests are open; or the
   * failure of the submission
   */
  public async submit(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { detached, team } = submission.request;
    if (detached) return this.#submitWithRetry(submission);
    const admitted = this.#openRequests.admit(team);
    if (admitted.isErr()) return err(admitted.error);
    const result = await this.#submitWithRetry(submission);
    this.#openRequests.release(team);
    return result;
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait, in milliseconds
   * @returns the view of the request at the end of the wait; or the failure
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
   * @returns the view of the request; or the failure
   */
  public cancel(
    requestId: string,
    team: string | undefined,
  ): Promise<Result<RequestView, Failure>> {
    return this.#queries.cancel(requestId, team);
  }

  async #submitWithRetry(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#dependencies;
    const endsAt = Math.min(submission.deadlineAt, clock.now() + failoverTimeoutMs);
    for (;;) {
      const result = await this.#submitToShards(submission);
      if (result.isOk() || !ownerFailures.duringFailover.has(result.error.kind)) return result;
      if (clock.now() >= endsAt) {
        return err(createFailure('noOwner', 'no shard has a reachable owner', 1));
      }
      await clock.sleep(retryDelayMs);
    }
  }

  async #submitToShards(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock, router, recorder } = this.#dependencies;
    const { request, policy } = submission;
    const { team, idempotencyKey } = request;
    const homeShard =
      idempotencyKey === undefined
        ? undefined
        : router.chooseHomeShard(policy, team, idempotencyKey);
    const shards = homeShard === undefined ? router.orderShards(policy, request) : [homeShard];
    let lastFailure = createFailure('notOwner', 'no shard has a reachable owner', 1);
    for (const shard of shards.slice(0, maxShardAttempts)) {
      const routed = { ...request, id: `${shard}.${request.id}` };
      recorder.record('requestRouted', { requestId: routed.id, shard, team });
      const sent = { ...submission, request: routed, sentAt: clock.now() };
      const result = await this.#submitter.submit(shard, sent);
      if (result.isOk()) return this.#waiter.waitForAnswer(shard, sent, result.value);
      lastFailure = result.error;
      if (!ownerFailures.rejected.has(lastFailure.kind)) break;
    }
    return err(lastFailure);
  }
}
