import { createFailure, isAnswered } from '@toucanline/core';
import type { Failure, RequestView } from '@toucanline/schema';
import { err, ok, type Result } from 'neverthrow';
import type { OwnerCalls } from './OwnerCalls.js';
import { ownerFailures } from './ownerFailures.js';
import type { ServiceParts } from './ServiceParts.js';
import { serviceTimes } from './serviceTimes.js';

const { sliceMs, marginMs, submitTimeoutMs, ownerWaitMs, retryMs } = serviceTimes;
/** Time within which each entry has handed in what it holds to a new owner, in milliseconds. */
const resubmissionMs = 10_000;

/** Waits for requests and cancels them by their id, also if another entry took them. */
export class RequestQueries {
  readonly #parts: Pick<ServiceParts, 'clock' | 'router'>;
  readonly #owners: OwnerCalls;

  /**
   * @param parts - what the service works with
   * @param owners - calls to the owners of shards
   */
  public constructor(parts: Pick<ServiceParts, 'clock' | 'router'>, owners: OwnerCalls) {
    this.#parts = parts;
    this.#owners = owners;
  }

  /**
   * Waits until a request is answered.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @param waitMs - longest wait in milliseconds
   * @returns its state when the wait ended; or the failure
   */
  public async wait(
    requestId: string,
    team: string | undefined,
    waitMs: number,
  ): Promise<Result<RequestView, Failure>> {
    const { clock } = this.#parts;
    const endsAt = clock.now() + waitMs;
    for (;;) {
      const leftMs = Math.max(0, Math.min(endsAt - clock.now(), sliceMs));
      const body = {
        call: 'wait',
        requestId,
        waitMs: leftMs,
        ...(team === undefined ? {} : { team }),
      } as const;
      const result = await this.#owners.call(requestId, body, leftMs + marginMs);
      const isOver = clock.now() >= endsAt;
      if (result.isOk() && (isAnswered(result.value.view) || isOver)) {
        return ok(result.value.view);
      }
      if (result.isErr() && (isOver || !this.#mayReturn(requestId, result.error))) {
        return err(this.#describeUnreached(result.error));
      }
      if (result.isErr()) await clock.sleep(retryMs);
    }
  }

  /**
   * Cancels a request.
   *
   * @param requestId - identifier of the request
   * @param team - team of the caller; undefined for an operator
   * @returns its state; or the failure
   */
  public async cancel(
    requestId: string,
    team: string | undefined,
  ): Promise<Result<RequestView, Failure>> {
    const { clock, router } = this.#parts;
    const body = { call: 'cancel', requestId, ...(team === undefined ? {} : { team }) } as const;
    const isKnown = router.findLoad(requestId.split('.')[0] ?? '') !== undefined;
    const endsAt = clock.now() + (isKnown ? ownerWaitMs : 0);
    for (;;) {
      const result = await this.#owners.call(requestId, body, submitTimeoutMs);
      if (result.isOk()) return ok(result.value.view);
      const isOver = !this.#mayReturn(requestId, result.error) || clock.now() >= endsAt;
      if (isOver) return err(this.#describeUnreached(result.error));
      await clock.sleep(retryMs);
    }
  }

  /** After a change of the owner, the entry that holds a request hands it in again within seconds. */
  #mayReturn(requestId: string, { kind }: Failure): boolean {
    if (ownerFailures.recoverable.has(kind)) return true;
    const changedAt = this.#parts.router.findOwnerChangedAt(requestId.split('.')[0] ?? '');
    const isRecent = this.#parts.clock.now() - changedAt < resubmissionMs;
    return ownerFailures.unrecorded.has(kind) && isRecent;
  }

  /** That a question about a request reached no owner does not tell whether the request ran. */
  #describeUnreached(failure: Failure): Failure {
    const { kind, detail } = failure;
    return ownerFailures.passedOn.has(kind) ? createFailure('linkLost', detail, 1) : failure;
  }
}
