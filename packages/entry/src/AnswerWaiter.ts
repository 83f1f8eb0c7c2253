import { createFailure, errorTable, isAnswered } from '@toucanline/core';
import type { Failure, RequestView, WaitCall } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import { calculateRetryDelay } from './calculateRetryDelay.js';
import type { SentSubmission } from './SentSubmission.js';
import type { OpenRequestLimiter } from './OpenRequestLimiter.js';
import type { OwnerReply } from './OwnerReply.js';
import type { OwnerClient } from './OwnerClient.js';
import { ownerFailures } from './ownerFailures.js';
import type { ServiceDependencies } from './ServiceDependencies.js';
import { requestTimings } from './requestTimings.js';
import type { ShardSubmitter } from './ShardSubmitter.js';

const { maxCallWaitMs, transportMarginMs, maxRetryDelayMs } = requestTimings;
/** Time for the journal to persist a request before its caller gets the answer `durable: false`, in milliseconds. */
const persistTimeoutMs = 4000;

/** States of a request that has ended. */
const finalStates: ReadonlySet<RequestView['state']> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'refused',
  'unknown',
]);

/** Checks whether a reply comes from a previous owner of the shard, or from an earlier attempt under the same owner. */
const isStale = (next: OwnerReply, known: OwnerReply): boolean =>
  next.shard === known.shard &&
  (next.epoch < known.epoch ||
    (next.epoch === known.epoch && next.view.attempt < known.view.attempt));

/**
 * Checks whether a request continues but would be lost if its entry and its owner fail. A running service counts as
 * continuing.
 */
const canBeLost = ({ state, durable }: RequestView): boolean =>
  durable !== true && !finalStates.has(state);

/** Waits for the answer to a request that a shard accepted, and holds the request until it is answered or durable. */
export class AnswerWaiter {
  readonly #dependencies: ServiceDependencies;
  readonly #ownerClient: OwnerClient;
  readonly #submitter: ShardSubmitter;
  readonly #openRequests: OpenRequestLimiter;

  /**
   * @param dependencies - dependencies of the request service
   * @param ownerClient - calls the owners of shards
   * @param submitter - submits requests to shards
   * @param openRequests - counts the requests that are held
   */
  public constructor(
    dependencies: ServiceDependencies,
    ownerClient: OwnerClient,
    submitter: ShardSubmitter,
    openRequests: OpenRequestLimiter,
  ) {
    this.#dependencies = dependencies;
    this.#ownerClient = ownerClient;
    this.#submitter = submitter;
    this.#openRequests = openRequests;
  }

  /**
   * Waits for the answer as long as the caller does. An attached request that continues after that is first
   * written to the journal, so that it survives the loss of this entry. Until the journal has it, possibly no
   * other process knows of it: the entry holds it and resubmits it after a failover.
   *
   * @param shard - shard that accepted the request
   * @param submission - the request
   * @param first - first reply of its owner
   * @returns the view of the request at the end of the wait; or the failure
   */
  public async waitForAnswer(
    shard: string,
    submission: SentSubmission,
    first: OwnerReply,
  ): Promise<Result<RequestView, Failure>> {
    const result = await this.#pollUntilAnswered(shard, submission, first);
    if (result.isErr() || !canBeLost(result.value.view)) return result.map(({ view }) => view);
    const persisted = await this.#requestPersistence(submission, result.value);
    if (canBeLost(persisted.view)) void this.#holdUntilDurable(shard, submission, persisted);
    return ok(persisted.view);
  }

  /** Asks the owner, and after a failover its successor, to write a request to the journal. */
  async #requestPersistence(submission: SentSubmission, first: OwnerReply): Promise<OwnerReply> {
    const { clock, random } = this.#dependencies;
    const endsAt = clock.now() + persistTimeoutMs;
    for (let failures = 0; clock.now() < endsAt; failures += 1) {
      const result = await this.#pollOwner(submission, first, { waitMs: 0, keep: true });
      // The owner replies without delay if the store does not accept the request.
      if (result.isOk() && !isStale(result.value, first)) return result.value;
      if (result.isErr() && !ownerFailures.retryable.has(result.error.kind)) break;
      await clock.sleep(calculateRetryDelay(random, failures));
    }
    return first;
  }

  /** Holds a request on behalf of its caller until it is answered or durable, at the latest until its deadline. */
  async #holdUntilDurable(
    shard: string,
    submission: SentSubmission,
    last: OwnerReply,
  ): Promise<void> {
    const { deadlineAt, request } = submission;
    this.#openRequests.add(request.team);
    await this.#pollUntilAnswered(shard, { ...submission, waitUntil: deadlineAt }, last, true);
    this.#openRequests.release(request.team);
  }

  /** Polls the owner for a request, and resubmits the request to an owner that does not know it. */
  async #pollOwner(
    submission: SentSubmission,
    { view, epoch }: OwnerReply,
    options: Pick<WaitCall, 'waitMs' | 'keep'>,
  ): Promise<Result<OwnerReply, Failure>> {
    const { team } = submission.request;
    const body = { call: 'wait', requestId: view.id, team, handsIn: true, ...options } as const;
    const reply = await this.#ownerClient.call(view.id, body, options.waitMs + transportMarginMs);
    if (reply.isOk() || reply.error.kind !== 'unknownRequest') return reply;
    const remainingMs = submission.deadlineAt - this.#dependencies.clock.now();
    // Resubmitted under the id that the caller received: the id of the first request with the same idempotency key.
    const resubmitted = { ...submission, request: { ...submission.request, id: view.id } };
    const shard = this.#ownerClient.findShard(view.id);
    const accepted = await this.#submitter.submitOnce(shard, resubmitted, remainingMs, epoch);
    if (accepted.isErr() || options.keep !== true) return accepted;
    const { id } = accepted.value.view;
    return this.#ownerClient.call(id, { ...body, requestId: id, waitMs: 0 }, transportMarginMs);
  }

  /**
   * Polls until the request is answered, and with `keep` also until the journal has a running service. An owner that
   * does not know the request receives it again, together with the epoch of the owner that held it: that it was held
   * proves neither that it was started nor that it was not.
   */
  async #pollUntilAnswered(
    shard: string,
    submission: SentSubmission,
    first: OwnerReply,
    keep = false,
  ): Promise<Result<OwnerReply, Failure>> {
    const { clock, random, recorder, router } = this.#dependencies;
    let latest = first;
    /** Highest epoch of an owner of the shard that may hold the request. */
    let heldEpoch = first.epoch;
    let failures = 0;
    const isOpen = ({ view }: OwnerReply): boolean =>
      !isAnswered(view) || (keep && canBeLost(view));
    while (isOpen(latest) && clock.now() < submission.waitUntil) {
      const waitMs = Math.min(maxCallWaitMs, submission.waitUntil - clock.now());
      heldEpoch = Math.max(heldEpoch, router.findLoad(shard)?.epoch ?? 0);
      const result = await this.#pollOwner(submission, latest, { waitMs, keep });
      if (result.isErr()) {
        if (!ownerFailures.retryable.has(result.error.kind))
          return err(this.#convertRefusal(result.error));
        const followed = await this.#submitter.followTakeover(shard, submission, heldEpoch);
        if (followed !== undefined) {
          if (followed.isErr()) return err(followed.error);
          latest = followed.value;
          failures = 0;
          continue;
        }
        await clock.sleep(calculateRetryDelay(random, failures));
        failures += 1;
      } else if (isStale(result.value, latest)) {
        recorder.record('lateAnswerDropped', { requestId: latest.view.id });
      } else {
        latest = result.value;
        failures = 0;
        // The owner of a running service replies without waiting, even if the journal does not have the service yet.
        if (isOpen(latest) && isAnswered(latest.view)) await clock.sleep(maxRetryDelayMs);
      }
    }
    if (isAnswered(latest.view)) this.#ownerClient.removeSuccessor(latest.view.id);
    return ok(latest);
  }

  /**
   * Converts a refusal into an unknown outcome: the refusal of a new owner does not tell whether the previous owner
   * started the request.
   */
  #convertRefusal(failure: Failure): Failure {
    if (errorTable[failure.kind].ran !== 'no') return failure;
    const detail = `a previous owner held the request; the new owner refused it: ${failure.detail}`;
    return createFailure('outcomeUnknown', detail);
  }
}
