import { createFailure } from '@toucanline/core';
import type { Failure, RequestView } from '@toucanline/schema';
import { err, type Result } from 'neverthrow';
import { AnswerWaiter } from './AnswerWaiter.js';
import { OpenRequests } from './OpenRequests.js';
import { OwnerCalls } from './OwnerCalls.js';
import { ownerFailures } from './ownerFailures.js';
import { RequestQueries } from './RequestQueries.js';
import type { ServiceParts } from './ServiceParts.js';
import { serviceTimes } from './serviceTimes.js';
import { ShardOffer } from './ShardOffer.js';
import type { Submission } from './Submission.js';

const { ownerWaitMs, retryMs } = serviceTimes;
const maxHops = 3;

/** Attached requests that an entry has open, each with about 1 KB of memory and one pending call. */
const openBounds = { total: 10_000, perTeam: 5000 } as const;

/** Carries requests to the owners of shards and their answers back. */
export class RequestService {
  readonly #parts: ServiceParts;
  readonly #open = new OpenRequests(openBounds);
  readonly #offers: ShardOffer;
  readonly #waiter: AnswerWaiter;
  readonly #queries: RequestQueries;

  /** @param parts - what the service works with */
  public constructor(parts: ServiceParts) {
    const owners = new OwnerCalls(parts);
    this.#parts = parts;
    this.#offers = new ShardOffer(parts, owners);
    this.#waiter = new AnswerWaiter(parts, owners, this.#offers, this.#open);
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
    if (detached) return this.#place(submission);
    const counted = this.#open.take(team);
    if (counted.isErr()) return err(counted.error);
    const result = await this.#place(submission);
    this.#open.release(team);
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

  async #place(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#parts;
    const endsAt = Math.min(submission.deadlineAt, clock.now() + ownerWaitMs);
    for (;;) {
      const result = await this.#offerAll(submission);
      if (result.isOk() || !ownerFailures.betweenOwners.has(result.error.kind)) return result;
      if (clock.now() >= endsAt) {
        return err(createFailure('noOwner', 'no shard has a reachable owner', 1));
      }
      await clock.sleep(retryMs);
    }
  }

  async #offerAll(submission: Submission): Promise<Result<RequestView, Failure>> {
    const { clock, router, recorder } = this.#parts;
    const { request, policy } = submission;
    const { team, idempotencyKey } = request;
    const home =
      idempotencyKey === undefined
        ? undefined
        : router.chooseHomeShard(policy, team, idempotencyKey);
    const shards = home === undefined ? router.orderShards(policy, request) : [home];
    let last = createFailure('notOwner', 'no shard has a reachable owner', 1);
    for (const shard of shards.slice(0, maxHops)) {
      const offered = { ...request, id: `${shard}.${request.id}` };
      recorder.record('requestRouted', { requestId: offered.id, shard, team });
      const accepted = { ...submission, request: offered, offeredAt: clock.now() };
      const result = await this.#offers.offer(shard, accepted);
      if (result.isOk()) return this.#waiter.answer(shard, accepted, result.value);
      last = result.error;
      if (!ownerFailures.passedOn.has(last.kind)) break;
    }
    return err(last);
  }
}
