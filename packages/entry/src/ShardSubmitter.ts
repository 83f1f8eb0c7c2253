import { createFailure } from '@toucanline/core';
import type { Failure, Request, RequestView, SubmitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { calculateRetryDelay } from './calculateRetryDelay.js';
import type { SentSubmission } from './SentSubmission.js';
import type { OwnerReply } from './OwnerReply.js';
import type { OwnerClient } from './OwnerClient.js';
import { ownerFailures } from './ownerFailures.js';
import type { ServiceDependencies } from './ServiceDependencies.js';
import { requestTimings } from './requestTimings.js';

const {
  transportMarginMs: marginMs,
  submitTimeoutMs,
  failoverTimeoutMs: ownerWaitMs,
} = requestTimings;
/** Age of a load notice above which its owner counts as silent, in milliseconds. */
const maxLoadAgeMs = 3000;
/** Shards of other data centres that are asked to take over the request of a lost one. */
const maxSuccessors = 3;

/** A request that a shard may hold, although no answer of its owner came back. */
const createUnconfirmedView = ({ id, team, queue, kind, size }: Request): RequestView => ({
  id,
  team,
  queue,
  kind,
  size,
  state: 'waiting',
  ran: 'unknown',
  attempt: 0,
  tasks: [],
  durable: false,
  reason: 'the owner of the shard has not answered yet',
});

/** Hands requests in to the owner of one shard, and to its successor if the data centre is lost. */
export class ShardSubmitter {
  readonly #dependencies: ServiceDependencies;
  readonly #ownerClient: OwnerClient;

  /**
   * @param parts - what the service works with
   * @param owners - calls to the owners of shards
   */
  public constructor(parts: ServiceDependencies, owners: OwnerClient) {
    this.#dependencies = parts;
    this.#ownerClient = owners;
  }

  /**
   * Offers a request to one shard. Once the shard may hold it, it is handed in again, under the same
   * id, until the shard answers: no other shard may get it.
   *
   * @param shard - name of the shard
   * @param submission - the request
   * @returns the first answer; or the failure
   */
  public async submit(
    shard: string,
    submission: SentSubmission,
  ): Promise<Result<OwnerReply, Failure>> {
    const { clock, random, router } = this.#dependencies;
    let heldEpoch: number | undefined;
    const endsAt = Math.max(submission.waitUntil, clock.now() + ownerWaitMs);
    for (let handIn = 0; clock.now() < endsAt; handIn += 1) {
      const remainingMs = submission.deadlineAt - clock.now();
      if (remainingMs <= 0) break;
      const epoch = router.findLoad(shard)?.epoch ?? 0;
      const result = await this.submitOnce(shard, submission, remainingMs, heldEpoch);
      if (result.isOk()) return result;
      const { kind } = result.error;
      const isPassedOn = heldEpoch === undefined && ownerFailures.passedOn.has(kind);
      if (isPassedOn || !ownerFailures.retryable.has(kind)) return result;
      if (ownerFailures.undecided.has(kind)) heldEpoch ??= epoch;
      const followed = await this.followTakeover(
        shard,
        submission,
        heldEpoch === undefined ? undefined : Math.max(heldEpoch, epoch),
      );
      if (followed !== undefined) return followed;
      await clock.sleep(calculateRetryDelay(random, handIn));
    }
    if (heldEpoch === undefined) return err(createFailure('deadlinePassed', 'the deadline passed'));
    const isOpen = !submission.request.detached && clock.now() < submission.deadlineAt;
    if (isOpen)
      return ok({ view: createUnconfirmedView(submission.request), epoch: heldEpoch, shard });
    return err(createFailure('outcomeUnknown', 'the owner of the shard did not answer in time'));
  }

  /**
   * Hands a request in once.
   *
   * @param shard - name of the shard
   * @param submission - the request
   * @param remainingMs - time until its deadline, in milliseconds
   * @param heldEpoch - highest epoch of an owner that may hold it; undefined if none does
   * @returns the answer; or the failure
   */
  public submitOnce(
    shard: string,
    { request, detached, offeredAt }: SentSubmission,
    remainingMs: number,
    heldEpoch: number | undefined,
  ): Promise<Result<OwnerReply, Failure>> {
    const body: SubmitCall = {
      call: 'submit',
      shard,
      request,
      remainingMs,
      detached,
      stamp: this.#dependencies.recorder.stamp(),
      ...(heldEpoch === undefined
        ? {}
        : { heldEpoch, heldMs: this.#dependencies.clock.now() - offeredAt }),
    };
    return this.#ownerClient.call(
      request.id,
      body,
      Math.min(submitTimeoutMs, remainingMs + marginMs),
    );
  }

  /**
   * Hands a request whose shard lost its work to another one. A non-idempotent request only ends there,
   * because the lost data centre may have started it.
   *
   * @param shard - shard that may hold the request
   * @param submission - the request
   * @param heldEpoch - highest epoch of an owner that may hold it; undefined if none does
   * @returns undefined if the shard did not lose it, has an owner again, or no other shard took it yet
   */
  public async followTakeover(
    shard: string,
    submission: SentSubmission,
    heldEpoch: number | undefined,
  ): Promise<Result<OwnerReply, Failure> | undefined> {
    const { request, policy } = submission;
    const { router, clock, readTakeovers } = this.#dependencies;
    const { id, queue } = request;
    if (heldEpoch === undefined || this.#ownerClient.findShard(id) !== shard) return undefined;
    const takeover = readTakeovers().findTakeover(shard, queue, heldEpoch);
    const isBack = (router.findLoad(shard, maxLoadAgeMs)?.epoch ?? 0) > (takeover?.epoch ?? 0);
    if (takeover === undefined || isBack) return undefined;
    // The journal of the lost shard has a detached request, and the record says who takes it.
    if (request.detached) return undefined;
    for (const successor of router.orderShards(policy, request).slice(0, maxSuccessors)) {
      if (successor === shard) continue;
      const remainingMs = submission.deadlineAt - clock.now();
      this.#ownerClient.recordSuccessor(id, successor);
      const result = await this.submitOnce(successor, submission, remainingMs, undefined);
      if (result.isOk()) return result;
      if (!ownerFailures.passedOn.has(result.error.kind)) return undefined;
      this.#ownerClient.forgetSuccessor(id);
    }
    return undefined;
  }
}
