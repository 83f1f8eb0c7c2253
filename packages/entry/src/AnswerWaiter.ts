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

const {
  maxCallWaitMs: sliceMs,
  transportMarginMs: marginMs,
  maxRetryDelayMs: maxRetryMs,
} = requestTimings;
/** Time for a request to get into the journal before its caller is told that it is not there yet. */
const persistTimeoutMs = 4000;

/** States of a request that has ended. */
const finalStates: ReadonlySet<RequestView['state']> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'refused',
  'unknown',
]);

/** An answer of an older owner of the same shard, or of an older attempt under the same owner. */
const isStale = (next: OwnerReply, known: OwnerReply): boolean =>
  next.shard === known.shard &&
  (next.epoch < known.epoch ||
    (next.epoch === known.epoch && next.view.attempt < known.view.attempt));

/** A request that goes on and is lost if its entry and its owner fail. A running service goes on too. */
const canBeLost = ({ state, durable }: RequestView): boolean =>
  durable !== true && !finalStates.has(state);

/** Waits for the answer to a request that a shard took, and holds it until it is answered or durable. */
export class AnswerWaiter {
  readonly #dependencies: ServiceDependencies;
  readonly #ownerClient: OwnerClient;
  readonly #submitter: ShardSubmitter;
  readonly #openRequests: OpenRequestLimiter;

  /**
   * @param parts - what the service works with
   * @param owners - calls to the owners of shards
   * @param offers - hands requests in
   * @param open - counts the requests that are held
   */
  public constructor(
    parts: ServiceDependencies,
    owners: OwnerClient,
    offers: ShardSubmitter,
    open: OpenRequestLimiter,
  ) {
    this.#dependencies = parts;
    this.#ownerClient = owners;
    this.#submitter = offers;
    this.#openRequests = open;
  }

  /**
   * Waits for the answer as long as the caller does. An attached request that goes on after that is first
   * written to the journal, so that it outlasts this entry. Until the journal has it, no other process may
   * know of it: the entry keeps it and hands it in again after a failover.
   *
   * @param shard - shard that took the request
   * @param submission - the request
   * @param first - first answer of its owner
   * @returns its state when the wait ended; or the failure
   */
  public async waitForAnswer(
    shard: string,
    submission: SentSubmission,
    first: OwnerReply,
  ): Promise<Result<RequestView, Failure>> {
    const result = await this.#pollUntilAnswered(shard, submission, first);
    if (result.isErr() || !canBeLost(result.value.view)) return result.map(({ view }) => view);
    const kept = await this.#requestPersistence(submission, result.value);
    if (canBeLost(kept.view)) void this.#holdUntilDurable(shard, submission, kept);
    return ok(kept.view);
  }

  /** Asks the owner, and after a failover the next one, to write a request to the journal. */
  async #requestPersistence(submission: SentSubmission, first: OwnerReply): Promise<OwnerReply> {
    const { clock, random } = this.#dependencies;
    const endsAt = clock.now() + persistTimeoutMs;
    for (let failures = 0; clock.now() < endsAt; failures += 1) {
      const result = await this.#pollOwner(submission, first, { waitMs: 0, keep: true });
      // The owner tells at once if the store does not take the request.
      if (result.isOk() && !isStale(result.value, first)) return result.value;
      if (result.isErr() && !ownerFailures.retryable.has(result.error.kind)) break;
      await clock.sleep(calculateRetryDelay(random, failures));
    }
    return first;
  }

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

  /** Asks for a request. An owner that does not know it gets it again. */
  async #pollOwner(
    submission: SentSubmission,
    { view, epoch }: OwnerReply,
    options: Pick<WaitCall, 'waitMs' | 'keep'>,
  ): Promise<Result<OwnerReply, Failure>> {
    const { team } = submission.request;
    const body = { call: 'wait', requestId: view.id, team, handsIn: true, ...options } as const;
    const asked = await this.#ownerClient.call(view.id, body, options.waitMs + marginMs);
    if (asked.isOk() || asked.error.kind !== 'unknownRequest') return asked;
    const remainingMs = submission.deadlineAt - this.#dependencies.clock.now();
    // Under the id that the caller was told, which is that of the first request with the same key.
    const told = { ...submission, request: { ...submission.request, id: view.id } };
    const shard = this.#ownerClient.findShard(view.id);
    const handedIn = await this.#submitter.submitOnce(shard, told, remainingMs, epoch);
    if (handedIn.isErr() || options.keep !== true) return handedIn;
    const { id } = handedIn.value.view;
    return this.#ownerClient.call(id, { ...body, requestId: id, waitMs: 0 }, marginMs);
  }

  /**
   * Waits for the answer, and with `keep` also until the journal has a service that runs. An owner that does
   * not know the request gets it again, together with the epoch of the owner that held it: that is proof for
   * neither a start nor its absence.
   */
  async #pollUntilAnswered(
    shard: string,
    submission: SentSubmission,
    first: OwnerReply,
    keep = false,
  ): Promise<Result<OwnerReply, Failure>> {
    const { clock, random, recorder, router } = this.#dependencies;
    let answer = first;
    /** Highest epoch of an owner of the shard that may hold the request. */
    let heldEpoch = first.epoch;
    let failures = 0;
    const isOpen = ({ view }: OwnerReply): boolean =>
      !isAnswered(view) || (keep && canBeLost(view));
    while (isOpen(answer) && clock.now() < submission.waitUntil) {
      const waitMs = Math.min(sliceMs, submission.waitUntil - clock.now());
      heldEpoch = Math.max(heldEpoch, router.findLoad(shard)?.epoch ?? 0);
      const result = await this.#pollOwner(submission, answer, { waitMs, keep });
      if (result.isErr()) {
        if (!ownerFailures.retryable.has(result.error.kind))
          return err(this.#convertRefusal(result.error));
        const followed = await this.#submitter.followTakeover(shard, submission, heldEpoch);
        if (followed !== undefined) {
          if (followed.isErr()) return err(followed.error);
          answer = followed.value;
          failures = 0;
          continue;
        }
        await clock.sleep(calculateRetryDelay(random, failures));
        failures += 1;
      } else if (isStale(result.value, answer)) {
        recorder.record('lateAnswerDropped', { requestId: answer.view.id });
      } else {
        answer = result.value;
        failures = 0;
        // The owner of a service that runs answers at once, also if the journal does not have it.
        if (isOpen(answer) && isAnswered(answer.view)) await clock.sleep(maxRetryMs);
      }
    }
    if (isAnswered(answer.view)) this.#ownerClient.forgetSuccessor(answer.view.id);
    return ok(answer);
  }

  /** A new owner's refusal says nothing about what the former owner did. */
  #convertRefusal(failure: Failure): Failure {
    if (errorTable[failure.kind].ran !== 'no') return failure;
    const detail = `an earlier owner held the request; the new one refused it: ${failure.detail}`;
    return createFailure('outcomeUnknown', detail);
  }
}
