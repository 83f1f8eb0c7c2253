import { createFailure, isAnswered } from '@toucanline/core';
import type { Failure, RequestView } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { OwnerClient } from './OwnerClient.js';
import { ownerFailures } from './ownerFailures.js';
import type { ServiceDependencies } from './ServiceDependencies.js';
import { requestTimings } from './requestTimings.js';

const { maxCallWaitMs, transportMarginMs, submitTimeoutMs, failoverTimeoutMs, retryDelayMs } =
  requestTimings;
/** Time within which every entry has resubmitted the requests that it holds to a new owner, in milliseconds. */
const resubmissionWindowMs = 10_000;

/** Waits for requests and cancels them by their id, including requests that another entry accepted. */
export class RequestQueries {
  readonly #dependencies: Pick<ServiceDependencies, 'clock' | 'router'>;
  readonly #ownerClient: OwnerClient;

  /**
   * @param dependencies - clock and router
   * @param ownerClient - calls the owners of shards
   */
  public constructor(
    dependencies: Pick<ServiceDependencies, 'clock' | 'router'>,
    ownerClient: OwnerClient,
  ) {
    this.#dependencies = dependencies;
    this.#ownerClient = ownerClient;
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait, in milliseconds
   * @returns the view of the request at the end of the wait; or the failure
   */
  public async wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
  ): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#dependencies;
    const endsAt = clock.now() + waitMs;
    for (;;) {
      const remainingMs = Math.max(0, Math.min(endsAt - clock.now(), maxCallWaitMs));
      const body = {
        call: 'wait',
        requestId,
        waitMs: remainingMs,
        ...(team === undefined ? {} : { team }),
      } as const;
      const result = await this.#ownerClient.call(requestId, body, remainingMs + transportMarginMs);
      const isOver = clock.now() >= endsAt;
      if (result.isOk() && (isAnswered(result.value.view) || isOver)) {
        return ok(result.value.view);
      }
      if (result.isErr() && (isOver || !this.#canRetry(requestId, result.error))) {
        return err(this.#convertToLinkLost(result.error));
      }
      if (result.isErr()) await clock.sleep(retryDelayMs);
    }
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns the view of the request; or the failure
   */
  public async cancel(
    requestId: string,
    team: string | undefined,
  ): Promise<Result<RequestView, Failure>> {
    const { clock, router } = this.#dependencies;
    const body = { call: 'cancel', requestId, ...(team === undefined ? {} : { team }) } as const;
    const isKnown = router.findLoad(requestId.split('.')[0] ?? '') !== undefined;
    const endsAt = clock.now() + (isKnown ? failoverTimeoutMs : 0);
    for (;;) {
      const result = await this.#ownerClient.call(requestId, body, submitTimeoutMs);
      if (result.isOk()) return ok(result.value.view);
      const isOver = !this.#canRetry(requestId, result.error) || clock.now() >= endsAt;
      if (isOver) return err(this.#convertToLinkLost(result.error));
      await clock.sleep(retryDelayMs);
    }
  }

  /**
   * Checks whether a retry may succeed: after a change of the owner, the entry that holds a request resubmits it within
   * seconds.
   */
  #canRetry(requestId: string, { kind }: Failure): boolean {
    if (ownerFailures.retryable.has(kind)) return true;
    const changedAt = this.#dependencies.router.findOwnerChangedAt(requestId.split('.')[0] ?? '');
    const isRecent = this.#dependencies.clock.now() - changedAt < resubmissionWindowMs;
    return ownerFailures.unknownToOwner.has(kind) && isRecent;
  }

  /**
   * Converts a failure of a call that reached no owner to `linkLost`, because the failure does not tell whether the
   * request ran.
   */
  #convertToLinkLost(failure: Failure): Failure {
    const { kind, detail } = failure;
    return ownerFailures.rejected.has(kind) ? createFailure('linkLost', detail, 1) : failure;
  }
}
