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

const { transportMarginMs, submitTimeoutMs, failoverTimeoutMs } = requestTimings;
/** Maximum age of the last load notice of an owner that counts as reachable, in milliseconds. */
const maxLoadAgeMs = 3000;
/** Number of best-ranked shards that are considered as successors of a lost shard; the lost shard itself is skipped. */
const maxSuccessors = 3;

/** Creates the view of a request that a shard may hold although its owner has not replied. */
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

/** Submits requests to the owner of one shard, and to a successor shard if the data centre is lost. */
export class ShardSubmitter {
  readonly #dependencies: ServiceDependencies;
  readonly #ownerClient: OwnerClient;

  /**
   * @param dependencies - dependencies of the request service
   * @param ownerClient - calls the owners of shards
   */
  public constructor(dependencies: ServiceDependencies, ownerClient: OwnerClient) {
    this.#dependencies = dependencies;
    this.#ownerClient = ownerClient;
  }

  /**
   * Submits a request to one shard. Once the shard may hold the request, it is resubmitted under the same id until
   * the shard replies or the time is up. Another shard receives it only after this shard was taken over, see
   * {@link followTakeover}.
   *
   * @param shard - name of the shard
   * @param submission - the request
   * @returns the first reply, of the shard or of its successor; a view in the state `waiting` that is not durable, if
   * the shard may hold the request but did not reply in time; or the failure
   */
  public async submit(
    shard: string,
    submission: SentSubmission,
  ): Promise<Result<OwnerReply, Failure>> {
    const { clock, random, router } = this.#dependencies;
    let heldEpoch: number | undefined;
    const endsAt = Math.max(submission.waitUntil, clock.now() + failoverTimeoutMs);
    for (let attempt = 0; clock.now() < endsAt; attempt += 1) {
      const remainingMs = submission.deadlineAt - clock.now();
      if (remainingMs <= 0) break;
      const epoch = router.findLoad(shard)?.epoch ?? 0;
      const result = await this.submitOnce(shard, submission, remainingMs, heldEpoch);
      if (result.isOk()) return result;
      const { kind } = result.error;
      const isRejected = heldEpoch === undefined && ownerFailures.rejected.has(kind);
      if (isRejected || !ownerFailures.retryable.has(kind)) return result;
      if (ownerFailures.indeterminate.has(kind)) heldEpoch ??= epoch;
      const followed = await this.followTakeover(
        shard,
        submission,
        heldEpoch === undefined ? undefined : Math.max(heldEpoch, epoch),
      );
      if (followed !== undefined) return followed;
      await clock.sleep(calculateRetryDelay(random, attempt));
    }
    if (heldEpoch === undefined) return err(createFailure('deadlinePassed', 'the deadline passed'));
    const isOpen = !submission.request.detached && clock.now() < submission.deadlineAt;
    if (isOpen)
      return ok({ view: createUnconfirmedView(submission.request), epoch: heldEpoch, shard });
    return err(createFailure('outcomeUnknown', 'the owner of the shard did not answer in time'));
  }

  /**
   * Submits a request to a shard with one call.
   *
   * @param shard - name of the shard
   * @param submission - the request
   * @param remainingMs - time until the deadline of the request, in milliseconds
   * @param heldEpoch - epoch of an owner that may already hold the request, 0 if the owner was unknown; undefined if
   * certainly no owner holds it
   * @returns the reply; or the failure
   */
  public submitOnce(
    shard: string,
    { request, detached, sentAt }: SentSubmission,
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
        : { heldEpoch, heldMs: this.#dependencies.clock.now() - sentAt }),
    };
    return this.#ownerClient.call(
      request.id,
      body,
      Math.min(submitTimeoutMs, remainingMs + transportMarginMs),
    );
  }

  /**
   * Submits a request to a successor shard if the data centre of its shard is lost. The successor
   * does not run a non-idempotent request, it only ends it, because the lost data centre may have started it.
   *
   * @param shard - shard that may hold the request
   * @param submission - the request
   * @param heldEpoch - highest epoch of an owner that may hold the request; undefined if no owner does
   * @returns the reply of the successor; undefined if the shard was not taken over, has an owner again or already has a
   * successor for this request, if the request is detached (its journal is taken over), or if no other shard has
   * accepted the request yet
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
    const hasOwnerAgain =
      (router.findLoad(shard, maxLoadAgeMs)?.epoch ?? 0) > (takeover?.epoch ?? 0);
    if (takeover === undefined || hasOwnerAgain) return undefined;
    // A detached request is in the journal of the lost shard, and the record of takeovers names its successor.
    if (request.detached) return undefined;
    for (const successor of router.orderShards(policy, request).slice(0, maxSuccessors)) {
      if (successor === shard) continue;
      const remainingMs = submission.deadlineAt - clock.now();
      this.#ownerClient.recordSuccessor(id, successor);
      const result = await this.submitOnce(successor, submission, remainingMs, undefined);
      if (result.isOk()) return result;
      if (!ownerFailures.rejected.has(result.error.kind)) return undefined;
      this.#ownerClient.removeSuccessor(id);
    }
    return undefined;
  }
}
